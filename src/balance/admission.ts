/**
 * Decides whether a call that finds no free target waits in the queue or is refused at once.
 *
 * Guards against sustained overload: more calls than the targets can complete, as in a burst, a
 * retry storm, or when all callers return at once after an outage. A queue that admits every call
 * that might just be in time ends up with every call slightly too late. A call is therefore
 * admitted as in time only if most calls like it would be in time. Other calls get the capacity
 * that those leave over, and wait only while their turn is expected before their deadline. A call
 * that can't be served is refused on arrival, or as soon as the outlook changes, with the time at
 * which its turn would be expected.
 *
 * Times are in milliseconds.
 */

/** The timing of a call that has to wait. Times are on the clock of `now`. */
export interface WaitTerms {
  readonly now: number;
  /** Time after which an answer is late: still wanted, but no longer fully useful. */
  readonly aimAt: number;
  /** Time at which the call is abandoned. */
  readonly deadline: number;
  /** Expected run time once the call has a target. */
  readonly duration: number;
  /** Factor by which most calls stay within the expected duration. */
  readonly spread: number;
}

/** The state of the queue from the point of view of one call. */
export interface QueueOutlook {
  /** Time until the first start. */
  readonly opensIn: number;
  /** Time between two starts of this daemon's calls while all targets are busy. */
  readonly pace: number;
  /** Arrivals that can be in time per possible start; from 1 on they leave no capacity over. */
  readonly demand: number;
  /** How long the demand has left no capacity over. */
  readonly overloadDuration: number;
  /** Waiting calls that go first and can be in time. */
  readonly inTimeAhead: number;
  /** Waiting calls that go first and are late already. */
  readonly lateAhead: number;
}

/** The decision on a call that finds no free target. */
export type Admission =
  | { readonly kind: 'in-time' }
  | { readonly kind: 'late' }
  /** `wait` is the time until its turn would be expected. */
  | { readonly kind: 'refuse'; readonly wait: number };

/** A smaller share of left-over capacity is within the error of the estimate. */
const MIN_LEFTOVER_SHARE = 0.05;

/** Whether a call that starts after `wait` is expected to be in time. */
export function isInTime({ now, aimAt, duration }: WaitTerms, wait = 0): boolean {
  return now + wait + duration <= aimAt;
}

/**
 * Estimates the wait of a late call, which is served from the capacity that calls in time leave
 * over. An overload is expected to last as long again as it has lasted; nothing else is known of
 * it.
 */
export function estimateLateWait(outlook: QueueOutlook): number {
  const { opensIn, pace, demand, overloadDuration, inTimeAhead, lateAhead } = outlook;
  const leftover = 1 - demand;
  if (leftover > MIN_LEFTOVER_SHARE) {
    return opensIn + inTimeAhead * pace + ((lateAhead + 1) * pace) / leftover;
  }
  return opensIn + overloadDuration + (inTimeAhead + lateAhead + 1) * pace;
}

/** Decides on a call that would be in time if it started now. */
export function judgeArrival(call: WaitTerms, outlook: QueueOutlook): Admission {
  const pessimistic = { ...call, duration: call.duration * call.spread };
  const { opensIn, inTimeAhead, pace } = outlook;
  if (isInTime(pessimistic, opensIn + (inTimeAhead + 1) * pace)) return { kind: 'in-time' };
  return judgeLate(call, outlook);
}

/** Decides on a call that is late or not certain enough to be in time. */
export function judgeLate(call: WaitTerms, outlook: QueueOutlook): Admission {
  const wait = estimateLateWait(outlook);
  if (call.now + wait + call.duration * call.spread <= call.deadline) return { kind: 'late' };
  return { kind: 'refuse', wait };
}

/** Some dozens of calls, and well within a burst. */
const RATE_HALF_LIFE_MS = 500;

/** The recent rate of arrivals. Overload shows in it within half a second. */
export class ArrivalRate {
  #count = 0;

  #countedAt = 0;

  /** Counts one arrival. */
  record(now: number): void {
    this.#count = this.#decay(now) + 1;
    this.#countedAt = now;
  }

  /** Returns the arrivals per millisecond. */
  read(now: number): number {
    return (this.#decay(now) * Math.LN2) / RATE_HALF_LIFE_MS;
  }

  #decay(now: number): number {
    return this.#count * 0.5 ** ((now - this.#countedAt) / RATE_HALF_LIFE_MS);
  }
}
