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

/** What is best for a call that asks for a target. */
export type Advice<T> =
  | { readonly kind: 'now'; readonly candidate: T; readonly prospect: Prospect }
  /** Every target that is free is slower than waiting for one that is not. */
  | { readonly kind: 'wait'; readonly time: number }
  | { readonly kind: 'none' };

/** What an advice depends on besides the targets. */
export interface AdviceTerms {
  readonly ahead: number;
  readonly sharers: number;
  readonly random: Random;
}

/** What an idle slot of the target costs, whether or not one is free now. */
function measureIdleCost(prospect: Prospect): number {
  return measureCost({ ...prospect, calls: 0 });
}

/**
 * Advises a call: the cheapest target with a free slot, or to wait for a better one.
 *
 * Work that waits here can still go to whichever target is quick when its turn comes; work that
 * waits at a target that has turned slow is lost. Times are multiples of a call's usual time.
 *
 * @param terms.ahead calls that wait already and go first
 * @param terms.sharers daemons that share the targets, each with as many calls
 */
export function choosePlace<T>(
  candidates: readonly T[],
  view: (candidate: T) => Prospect,
  { ahead, sharers, random }: AdviceTerms,
): Advice<T> {
  let best: { readonly candidate: T; readonly prospect: Prospect } | undefined;
  let bestCost = Infinity;
  let bestFull = Infinity;
  let slotsPerTime = 0;
  for (const candidate of candidates) {
    const prospect = view(candidate);
    slotsPerTime += prospect.slots / (prospect.slowdown * prospect.cold);
    if (prospect.calls >= prospect.slots) {
      bestFull = Math.min(bestFull, measureIdleCost(prospect));
      continue;
    }
    const cost = measureCost(prospect) * (1 + NOISE * random.next());
    if (cost >= bestCost) continue;
    best = { candidate, prospect };
    bestCost = cost;
  }
  if (slotsPerTime === 0) return { kind: 'none' };
  const wait = ((ahead + 1) * Math.max(1, sharers)) / slotsPerTime;
  if (best !== undefined && bestCost <= wait + bestFull) return { kind: 'now', ...best };
  return { kind: 'wait', time: wait };
}
