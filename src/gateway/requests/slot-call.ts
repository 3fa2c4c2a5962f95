/** A request as the queue of its service sees it. */
import type { CallRunTime } from '../../balance/index.js';
import type { SlotCall, SuspectConstraints } from '../targets/slot-queue.js';
import type { GatewayTarget } from '../targets/target.js';
import type { RoutedRequest } from './routed-request.js';

/** What the placement of a request depends on besides the request. */
export interface SlotCallTerms {
  /** Targets that it has been sent to already. */
  readonly tried: ReadonlySet<GatewayTarget>;
  readonly suspect: SuspectConstraints | undefined;
  readonly isRepeatable: boolean;
  /** Whether no attempt was started yet. */
  readonly isUnsent: boolean;
}

/** Creates the call for the queue; its estimates follow the run time of the route. */
export function createSlotCall(
  request: RoutedRequest,
  runTime: CallRunTime,
  { tried, suspect, isRepeatable, isUnsent }: SlotCallTerms,
): SlotCall {
  const { route, aimAt, deadline, bodyBytes, isCostly: isSecondary = false } = request;
  return {
    ...{ priority: route.priority, aimAt: Math.min(aimAt, deadline), deadline, bodyBytes },
    ...{ tried, regions: route.regions, suspect, isSecondary },
    trial: isUnsent ? { isRepeatable } : undefined,
    get work() {
      return runTime.work;
    },
    get spread() {
      return runTime.spread;
    },
    get isWorkKnown() {
      return runTime.isKnown;
    },
    get mayBeRefused() {
      return isUnsent && !runTime.isTrial;
    },
    takeTrial: () => runTime.takeTrial(),
  };
}
