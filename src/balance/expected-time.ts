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

const DOUBT = 3;

/** Weight of the way to another failure domain: bytes between domains are paid for. */
const FAR = 1.12;

/** A body of this many bytes makes a far target as dear as one that takes twice as long. */
const FAR_BYTES = 60_000;

/** Costs this close are alike; without noise all daemons would choose the same target. */
const NOISE = 0.06;

/** Estimates the time of one more call, as a multiple of a call's time at an idle, usual target. */
export function estimateTime(prospect: CandidateLoad): number {
  const { slots, calls, slowdown, coldFactor: cold, failureRatio: failures } = prospect;
  const crowd = Math.min(1, calls / slots);
  const waits = Math.max(0, calls - slots + 1) / slots;
  // For each success there are as many tries more as there were failures.
  return slowdown * cold * (1 + CROWDING * crowd * crowd + waits) * (1 + failures);
}

/** What going to a target costs against waiting for another one: the time, and what counts besides. */
function measureDelay(prospect: CandidateLoad): number {
  const doubt = prospect.isSuspect ? DOUBT : 1;
  return estimateTime(prospect) * doubt * (prospect.isOtherDomain ? FAR : 1);
}

/** The cost of a target against others that are free. */
export function computeCost(prospect: CandidateLoad): number {
  const { failureRatio: failures } = prospect;
  return (measureDelay(prospect) * (1 + FAILURE_WEIGHT * failures)) / (1 + failures);
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
function measureIdleDelay(prospect: CandidateLoad): number {
  return measureDelay({ ...prospect, calls: 0 });
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
  view: (candidate: T) => CandidateLoad,
  {
    callsAhead: ahead,
    callRatio: sharers,
    targetsPerCandidate: standsFor,
    random,
    bodyBytes,
  }: ChoiceTerms,
): TargetChoice<T> {
  let best: { readonly candidate: T; readonly load: CandidateLoad } | undefined;
  let bestCost = Infinity;
  let bestTime = Infinity;
  let bestFull = Infinity;
  let slots = 0;
  let slotsPerTime = 0;
  let fullPerTime = 0;
  for (const candidate of candidates) {
    const prospect = view(candidate);
    slots += prospect.slots;
    slotsPerTime += prospect.slots / (prospect.slowdown * prospect.coldFactor);
    if (prospect.calls >= prospect.slots) {
      bestFull = Math.min(bestFull, measureIdleDelay(prospect));
      fullPerTime += prospect.slots / (prospect.slowdown * prospect.coldFactor);
      continue;
    }
    const noise = 1 + NOISE * random.next();
    const cost =
      computeCost(prospect) * noise * (prospect.isOtherDomain ? 1 + bodyBytes / FAR_BYTES : 1);
    if (cost >= bestCost) continue;
    best = { candidate, load: prospect };
    bestCost = cost;
    bestTime = measureDelay(prospect) * noise;
  }
  if (slotsPerTime === 0) return { kind: 'none' };
  const pace = Math.max(1, sharers) / (slotsPerTime * standsFor);
  // Whoever waits while some are free waits for those that are full.
  const wait = ((ahead + 1) * Math.max(1, sharers)) / (fullPerTime * standsFor);
  if (best !== undefined && bestTime <= wait + bestFull) return { kind: 'now', ...best };
  return { kind: 'wait', pace, slowdown: slots / slotsPerTime };
}
