import { expect } from 'chai';
import type { GatewayTarget } from '../src/gateway/targets/target.js';
import type { TargetService } from '../src/gateway/targets/target-service.js';
import { ReachMonitor } from '../src/gateway/targets/reach-monitor.js';
import {
  ManualClock,
  TextMetrics,
  createSeededRandom,
  createSilentLog,
} from '../src/kernel/index.js';

interface Tried {
  count: number;
}

function createTarget(isListening: boolean, tried: Tried): GatewayTarget {
  const checkListening = () => {
    tried.count += 1;
    return Promise.resolve(isListening ? 'somebody' : 'nobody');
  };
  return { isUsable: true, connections: { checkListening } } as unknown as GatewayTarget;
}

function createService(targets: readonly GatewayTarget[]): TargetService {
  return { targets: new Map(targets.entries()) } as unknown as TargetService;
}

describe('the check whether a target has ended that refused a connection', () => {
  /** Refuses a connection to a target of the first service; returns what the check finds. */
  const confirm = async (services: readonly (readonly boolean[])[], seed: number) => {
    const tried = { count: 0 };
    const refusing = createTarget(false, tried);
    const [first = [], ...others] = services.map((states) =>
      states.map((isListening) => createTarget(isListening, tried)),
    );
    const monitor = new ReachMonitor({
      ...{ clock: new ManualClock(), random: createSeededRandom(seed), log: createSilentLog() },
      ...{ metrics: new TextMetrics(), countPartitionedPeers: () => 0 },
      listServices: () => [createService([refusing, ...first]), ...others.map(createService)],
    });
    return { isConfirmed: await monitor.confirmReach(refusing), tried: tried.count };
  };
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const ended = [false, false, false, false];
  const alive = [true, true, true, true];

  // Guards against a crashed service that hides that its targets ended one by one.
  it('is not misled when all targets of one service have ended', async () => {
    for (const seed of seeds) {
      expect((await confirm([ended, alive], seed)).isConfirmed).to.equal(true);
      expect((await confirm([ended, alive, alive], seed)).isConfirmed).to.equal(true);
    }
  });

  it('finds that no other target accepts a connection either', async () => {
    for (const seed of seeds) {
      expect((await confirm([ended, ended, ended], seed)).isConfirmed).to.equal(false);
    }
  });

  it('tries three targets, also of a single service', async () => {
    for (const services of [[alive], [alive, alive], [[], alive], [alive, alive, alive, alive]]) {
      expect((await confirm(services, 1)).tried).to.equal(3);
    }
  });

  it('decides without a check when there is no other target', async () => {
    expect(await confirm([[]], 1)).to.deep.equal({ isConfirmed: true, tried: 0 });
  });
});
