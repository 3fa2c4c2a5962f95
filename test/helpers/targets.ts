/** Fleet views and target sets that report their changes to no one. */
import { WindowBudget, planReachTimes } from '../../src/balance/index.js';
import { TargetSet } from '../../src/gateway/targets/target-set.js';
import { type Clock, createSeededRandom, openTcpSocket } from '../../src/kernel/index.js';
import { FleetView, type ViewListener } from '../../src/view/index.js';
import { noopListener } from './listener.js';

/** Creates an empty fleet view. */
export function createView(listener: Pick<ViewListener, 'onFull'> = {}): FleetView {
  return new FleetView({
    onTable: () => undefined,
    onTarget: () => undefined,
    onEvacuations: () => undefined,
    onFault: () => undefined,
    ...listener,
  });
}

/** Options of target sets whose connections nobody watches. */
export const UNWATCHED_CONNECTIONS = {
  openSocket: openTcpSocket,
  reachTimes: planReachTimes(3000),
  confirmReach: () => Promise.resolve(true),
  onContact: () => undefined,
  onConnectionFailed: () => undefined,
} as const;

/** Creates the target set of the only home, or of one of several, in failure domain d1. */
export function createTargets(
  clock: Clock,
  { seed = 1, retrySlack = 5, homes = 1 } = {},
): TargetSet {
  return new TargetSet({
    ...{ clock, random: createSeededRandom(seed), domain: 'd1' },
    ...{
      countHomes: () => homes,
      countReportingHomes: () => homes - 1,
      findRegion: () => undefined,
    },
    ...UNWATCHED_CONNECTIONS,
    listener: noopListener,
    readColdStartLimits: () => ({ rate: Infinity, overshoot: 1, slack: 0, duration: 0 }),
    readShare: () => ({ part: 1, homes: ['127.0.0.1'], self: '127.0.0.1' }),
    createRetryBudget: () =>
      new WindowBudget(clock, () => ({ ratio: 0.2, window: 10_000, slack: retrySlack })),
  });
}
