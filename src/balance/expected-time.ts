/** Chooses the target at which one more call is expected to finish first. */
import type { Random } from '../kernel/index.js';

/** The load and the state of one target, as far as the choice depends on them. */
export interface CandidateLoad {
  /** Calls that the target runs at once. */
  readonly slots: number;
  /** Calls at the target now, running and waiting, from all daemons. */
  readonly calls: number;
  /** How long work takes there now, as a multiple of the usual time. */
  readonly slowdown: number;
  /** Factor by which the target is slower because it has just started; 1 once it is warm. */
  readonly coldFactor: number;
  /** Recent failures per success. */
  readonly failureRatio: number;
  /** Whether the last health check failed or calls have been stuck there. */
  readonly isSuspect: boolean;
  /** Whether the target is in another failure domain than this daemon. */
  readonly isOtherDomain: boolean;
}

/**
 * Extra time at a target whose slots are all busy, before calls wait there: it is already slower.
 */
const CROWDING = 0.35;

/**
 * Weight of failures in the choice between free targets: with as many failures as successes, the
 * cost of a target grows by this many times its duration. A failure uses up the retry budget or
 * reaches the caller.
 */
const FAILURE_WEIGHT = 3;

const SUSPECT_FACTOR = 3;

/** Cost factor of another failure domain: traffic between domains is paid for. */
const OTHER_DOMAIN_FACTOR = 1.12;

/** Body size in bytes at which another failure domain costs as much as working twice as long. */
const OTHER_DOMAIN_DOUBLING_BYTES = 60_000;

/** Costs this close are equal; without noise all daemons would choose the same target. */
const NOISE = 0.06;

/**
 * The same while targets are full. The daemons' counts of each other's calls are late then, so
 * smaller differences in load tell nothing; twice the usual time of a call still does.
 */
const FULL_NOISE = 0.5;

/**
 * Estimates the time of one more call, in multiples of its time at an idle target of usual speed.
 */
export function estimateTime(load: CandidateLoad): number {
  const { slots, calls, slowdown, coldFactor, failureRatio } = load;
  const busy = Math.min(1, calls / slots);
  const queueing = Math.max(0, calls - slots + 1) / slots;
  // A call needs one extra attempt per failure, so `failureRatio` extra ones per success.
  return slowdown * coldFactor * (1 + CROWDING * busy * busy + queueing) * (1 + failureRatio);
}

/**
 * Computes the cost of a target compared with waiting for another: the time, weighted by health and
 * domain.
 */
function computeDelayCost(load: CandidateLoad): number {
  const suspectFactor = load.isSuspect ? SUSPECT_FACTOR : 1;
  return estimateTime(load) * suspectFactor * (load.isOtherDomain ? OTHER_DOMAIN_FACTOR : 1);
}

/** Computes the cost of a target compared with other free ones. */
export function computeCost(load: CandidateLoad): number {
  const { failureRatio } = load;
  return (computeDelayCost(load) * (1 + FAILURE_WEIGHT * failureRatio)) / (1 + failureRatio);
}

/** The decision for a call that asks for a target. */
export type TargetChoice<T> =
  | {
      readonly kind: 'now';
      readonly candidate: T;
      readonly load: CandidateLoad;
      /** Whether the call finds out about a target that gets no other calls. */
      readonly isTrial?: boolean;
    }
  /** Every free target is slower than waiting for a busy one. */
  | {
      readonly kind: 'wait';
      /** Time between two starts while all targets are busy, in multiples of the usual time. */
      readonly pace: number;
      /** Slowdown of all targets together: their slots divided by their combined speed. */
      readonly slowdown: number;
      /** Why targets with free slots take no calls for now; undefined if none refuses them. */
      readonly limit?: LimitReason;
      /** Whether some target has a free slot, which is slower than waiting for another. */
      readonly hasFreeSlot?: boolean;
      /**
       * Position in the queue from which on a call would take a free slot; undefined if there is
       * none.
       */
      readonly startsAt?: number;
      /** Time until the first target takes calls again, in milliseconds; 0 if undefined. */
      readonly opensIn?: number;
    }
  /**
   * `wait` is the time until the first target takes calls again, in milliseconds; undefined if
   * unknown.
   */
  | { readonly kind: 'none'; readonly wait?: number };

/**
 * Why targets with free slots take no calls from this daemon for now: their rate is used up, or
 * they asked for a back-off.
 */
export type LimitReason = 'rate-limit' | 'backoff';

/** What the choice depends on besides the targets. */
export interface ChoiceTerms {
  /** Calls that wait already and go first. */
  readonly callsAhead: number;
  /** Position in the queue of a call that waits, 0 for the first; `callsAhead` if undefined. */
  readonly position?: number;
  /** Length of the call's body in bytes, which makes targets in other failure domains cost more. */
  readonly bodyBytes: number;
  /** Calls of all daemons at the targets per call of this daemon. */
  readonly callRatio: number;
  /** Whether a target has been full recently. */
  readonly hasFullTarget?: boolean;
  /** Number of targets that each candidate represents; 1 when all targets are compared. */
  readonly targetsPerCandidate: number;
  readonly random: Random;
}

/** Computes the cost of an idle slot of the target for a call that waits for it. */
function computeIdleCost(load: CandidateLoad): number {
  return computeDelayCost({ ...load, calls: 0 });
}

/** A target with a free slot, as a call compares it. */
interface FreeTarget<T> {
  readonly candidate: T;
  readonly load: CandidateLoad;
  /** Cost compared with other free targets. */
  readonly cost: number;
  /** Cost compared with waiting. */
  readonly delayCost: number;
  /** The same for a target without failures. */
  readonly reliableDelayCost: number;
}

function findCheapest<T>(
  free: readonly FreeTarget<T>[],
  maxReliableDelayCost: number,
): FreeTarget<T> | undefined {
  let cheapest: FreeTarget<T> | undefined;
  for (const target of free) {
    if (target.reliableDelayCost > maxReliableDelayCost) continue;
    if (cheapest === undefined || target.cost < cheapest.cost) cheapest = target;
  }
  return cheapest;
}

/**
 * Chooses the cheapest target with a free slot, or decides that the call waits for a better one.
 *
 * A call that waits here can still go to whichever target is fast when its turn comes; a call that
 * waits at a target that has become slow can't be moved. Times are multiples of a call's usual
 * time.
 *
 * The body size only decides between free targets and never makes a call wait. Recent failures make
 * a call wait only for as long as the extra attempts would take.
 *
 * Waiting calls are compared with a slow target as if each were first: a call that runs there holds
 * the slot beyond the time at which the target is fast again. For recent failures the position
 * counts, because the target may have recovered.
 */
export function chooseTarget<T>(
  candidates: readonly T[],
  readLoad: (candidate: T) => CandidateLoad,
  terms: ChoiceTerms,
): TargetChoice<T> {
  const { callsAhead, position = callsAhead, callRatio, targetsPerCandidate } = terms;
  const free: FreeTarget<T>[] = [];
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
    } else free.push(describeFreeTarget(candidate, load, terms));
  }
  if (slotsPerTime === 0) return { kind: 'none' };
  const share = Math.max(1, callRatio) / targetsPerCandidate;
  // A call that waits although some targets are free waits for one of the busy ones.
  const busyPace = share / busySlotsPerTime;
  const best = findCheapest(free, (callsAhead + 1) * busyPace + bestBusyCost);
  if (best !== undefined && best.delayCost <= (position + 1) * busyPace + bestBusyCost) {
    return { kind: 'now', candidate: best.candidate, load: best.load };
  }
  return {
    ...{ kind: 'wait', pace: share / slotsPerTime, slowdown: slots / slotsPerTime },
    hasFreeSlot: free.length > 0,
    startsAt: best && Math.ceil((best.delayCost - bestBusyCost) / busyPace) - 1,
  };
}

function describeFreeTarget<T>(
  candidate: T,
  load: CandidateLoad,
  { random, bodyBytes, hasFullTarget }: ChoiceTerms,
): FreeTarget<T> {
  const noise = 1 + (hasFullTarget === true ? FULL_NOISE : NOISE) * random.next();
  const delayCost = computeDelayCost(load) * noise;
  return {
    ...{ candidate, load, delayCost },
    cost:
      computeCost(load) *
      noise *
      (load.isOtherDomain ? 1 + bodyBytes / OTHER_DOMAIN_DOUBLING_BYTES : 1),
    reliableDelayCost: delayCost / (1 + load.failureRatio),
  };
}
