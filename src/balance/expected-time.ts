/** Chooses the target at which one more call is expected to end first. */
import type { Random } from '../kernel/index.js';

/** What the choice looks at; one value for each target. */
export interface CandidateLoad {
  readonly slots: number;
  /** Calls there now, running and waiting, of all daemons. */
  readonly calls: number;
  /** How long work takes there now, as a multiple of the usual. */
  readonly slowdown: number;
  /** How much slower it is because it has just started; 1 when it has not. */
  readonly coldFactor: number;
  /** Failures for each success of late. */
  readonly failureRatio: number;
  /** Whether its last health check failed, or calls have been stuck there. */
  readonly isSuspect: boolean;
  /** Whether the target is in another failure domain than this daemon. */
  readonly isOtherDomain: boolean;
}

/** A full target is slower even before calls wait there. */
const CROWDING = 0.35;

/**
 * As many failures as successes keep calls away as much as a target that works this many times longer besides, as
 * long as another one is free: a failure takes of the budget for repeats, or is the caller's.
 */
const FAILURE_WEIGHT = 3;

const SUSPECT_FACTOR = 3;

/** Weight of the way to another failure domain: bytes between domains are paid for. */
const OTHER_DOMAIN_FACTOR = 1.12;

/** A body of this many bytes makes a far target as dear as one that takes twice as long. */
const OTHER_DOMAIN_DOUBLING_BYTES = 60_000;

/** Costs this close are alike; without noise all daemons would choose the same target. */
const NOISE = 0.06;

/** Estimates the time of one more call, as a multiple of a call's time at an idle, usual target. */
export function estimateTime(load: CandidateLoad): number {
  const { slots, calls, slowdown, coldFactor, failureRatio } = load;
  const busy = Math.min(1, calls / slots);
  const queueing = Math.max(0, calls - slots + 1) / slots;
  // For each success there are as many tries more as there were failures.
  return slowdown * coldFactor * (1 + CROWDING * busy * busy + queueing) * (1 + failureRatio);
}

/** What going to a target costs against waiting for another one: the time, and what counts besides. */
function computeDelayCost(load: CandidateLoad): number {
  const suspectFactor = load.isSuspect ? SUSPECT_FACTOR : 1;
  return estimateTime(load) * suspectFactor * (load.isOtherDomain ? OTHER_DOMAIN_FACTOR : 1);
}

/** The cost of a target against others that are free. */
export function computeCost(load: CandidateLoad): number {
  const { failureRatio } = load;
  return (computeDelayCost(load) * (1 + FAILURE_WEIGHT * failureRatio)) / (1 + failureRatio);
}

/** What is best for a call that asks for a target. */
export type TargetChoice<T> =
  | { readonly kind: 'now'; readonly candidate: T; readonly load: CandidateLoad }
  /** Every target that is free is slower than waiting for one that is not. */
  | {
      readonly kind: 'wait';
      /** Time between two starts while all targets are busy, as a multiple of a call's usual time. */
      readonly pace: number;
      /** The slowdown of all targets on the whole. */
      readonly slowdown: number;
      /** Why targets that have slots take no more for now; undefined where none does so. */
      readonly limit?: LimitReason;
      /** Time until the first of them takes calls again, in milliseconds; 0 unless given. */
      readonly opensIn?: number;
    }
  /** `wait` is the time after which the first target takes calls again, in milliseconds; undefined when unknown. */
  | { readonly kind: 'none'; readonly wait?: number };

/** Why targets with free slots take no calls from this daemon for now: they have had their rate, or asked for a back-off. */
export type LimitReason = 'rate-limit' | 'backoff';

/** What an advice depends on besides the targets. */
export interface ChoiceTerms {
  readonly callsAhead: number;
  /** Length of the call's body in bytes; it crosses to a target in another failure domain. */
  readonly bodyBytes: number;
  readonly callRatio: number;
  /** How many targets stand behind each candidate; 1 where all of them are looked at. */
  readonly targetsPerCandidate: number;
  readonly random: Random;
}

/** What an idle slot of the target would cost a call that waits for it. */
function computeIdleCost(load: CandidateLoad): number {
  return computeDelayCost({ ...load, calls: 0 });
}

/**
 * Advises a call: the cheapest target with a free slot, or to wait for a better one.
 *
 * Work that waits here can still go to whichever target is quick when its turn comes; work that
 * waits at a target that has turned slow is lost. Times are multiples of a call's usual time.
 *
 * The way of a body decides between targets that are free, and never makes a call wait. Failures of late do so for no
 * more than the tries that they cost: when a service's targets have failed for some seconds, calls that waited for the
 * few that had not were seconds late while the others were well again and idle.
 *
 * @param terms.ahead calls that wait already and go first
 * @param terms.sharers how many times this daemon's calls all daemons have at the targets
 */
export function chooseTarget<T>(
  candidates: readonly T[],
  readLoad: (candidate: T) => CandidateLoad,
  { callsAhead, callRatio, targetsPerCandidate, random, bodyBytes }: ChoiceTerms,
): TargetChoice<T> {
  let best: { readonly candidate: T; readonly load: CandidateLoad } | undefined;
  let bestCost = Infinity;
  let bestTime = Infinity;
  let bestBusyCost = Infinity;
  let slots = 0;
  let slotsPerTime = 0;
  let busySlotsPerTime = 0;
  for (const candidate of candidates) {
    const load = readLoad(candidate);
    slots += load.slots;
    slotsPerTime += load.slots / (load.slowdown * load.coldFactor);
    if (load.calls >= load.slots) {
      bestBusyCost = Math.min(bestBusyCost, computeIdleCost(load));
      busySlotsPerTime += load.slots / (load.slowdown * load.coldFactor);
      continue;
    }
    const noise = 1 + NOISE * random.next();
    const cost =
      computeCost(load) *
      noise *
      (load.isOtherDomain ? 1 + bodyBytes / OTHER_DOMAIN_DOUBLING_BYTES : 1);
    if (cost >= bestCost) continue;
    best = { candidate, load };
    bestCost = cost;
    bestTime = computeDelayCost(load) * noise;
  }
  if (slotsPerTime === 0) return { kind: 'none' };
  const pace = Math.max(1, callRatio) / (slotsPerTime * targetsPerCandidate);
  // Whoever waits while some are free waits for those that are full.
  const wait =
    ((callsAhead + 1) * Math.max(1, callRatio)) / (busySlotsPerTime * targetsPerCandidate);
  if (best !== undefined && bestTime <= wait + bestBusyCost) return { kind: 'now', ...best };
  return { kind: 'wait', pace, slowdown: slots / slotsPerTime };
}
