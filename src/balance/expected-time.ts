/** Chooses the target at which one more call is expected to end first. */
import type { Random } from '../kernel/index.js';

/** What the choice looks at; one value for each target. */
export interface Prospect {
  readonly slots: number;
  /** Calls there now, running and waiting, of all daemons. */
  readonly calls: number;
  /** How long work takes there now, as a multiple of the usual. */
  readonly slowdown: number;
  /** How much slower it is because it has just started; 1 when it has not. */
  readonly cold: number;
  /** Failures of late, each counting less as it ages. */
  readonly failures: number;
  /** Whether its last health check failed, or calls have been stuck there. */
  readonly doubtful: boolean;
  /** Whether the target is in another failure domain than this daemon. */
  readonly isFar: boolean;
}

/** A full target is slower even before calls wait there. */
const CROWDING = 0.35;

/** One failure of late counts as much as a target that works this many times longer. */
const FAILURE_WEIGHT = 3;

const DOUBT = 3;

/** Weight of the way to another failure domain: bytes between domains are paid for. */
const FAR = 1.12;

/** Costs this close are alike; without noise all daemons would choose the same target. */
const NOISE = 0.06;

/** Estimates the time of one more call, as a multiple of a call's time at an idle, usual target. */
export function estimateTime(prospect: Prospect): number {
  const { slots, calls, slowdown, cold, failures } = prospect;
  const crowd = Math.min(1, calls / slots);
  const waits = Math.max(0, calls - slots + 1) / slots;
  return slowdown * cold * (1 + CROWDING * crowd * crowd + waits) * (1 + FAILURE_WEIGHT * failures);
}

/** The cost of a target: the estimated time, and what counts besides. */
export function measureCost(prospect: Prospect): number {
  const doubt = prospect.doubtful ? DOUBT : 1;
  return estimateTime(prospect) * doubt * (prospect.isFar ? FAR : 1);
}

/** Picks the cheapest of the candidates; undefined when there is none. */
export function pickTarget<T>(
  candidates: readonly T[],
  view: (candidate: T) => Prospect,
  random: Random,
): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = measureCost(view(candidate)) * (1 + NOISE * random.next());
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}
