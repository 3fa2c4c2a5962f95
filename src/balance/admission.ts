/**
 * Judges whether a call that finds no free target waits for one here, or is sent back at once.
 *
 * The pattern answered: more calls than the targets can end, as in a burst, in a storm of repeats, or
 * when all callers return at once after an outage. Whoever lets in all that might just be in time ends
 * up with a queue in which every call is just too late. So a call is let in among those that can be in
 * time only if most like it would be; the others take what those leave over, and wait only while
 * their turn is expected to come before their time is over. What can't be served is told so on arrival,
 * or as soon as the outlook changes, with the time at which its turn would be expected.
 *
 * Times are in milliseconds.
 */

/** What a call that has to wait brings. */
export interface WaitTerms {
  readonly now: number;
  /** When an answer stops to be fully useful. */
  readonly aimAt: number;
  /** When the call is given up. */
  readonly deadline: number;
  /** How long it is expected to run once it has a target. */
  readonly duration: number;
  /** Most calls run no longer than this many times the expected duration. */
  readonly spread: number;
}

/** What is ahead of it. */
export interface QueueOutlook {
  /** Time until the first start. */
  readonly opensIn: number;
  /** Time between two starts of this daemon's calls while all targets are busy. */
  readonly pace: number;
  /** Calls that can be in time, as a share of the starts: from 1 on they leave nothing over. */
  readonly demand: number;
  /** For how long they have left nothing over. */
  readonly overloadDuration: number;
  /** Calls that go first and can be in time. */
  readonly inTimeAhead: number;
  /** Calls that are late already and go first among those. */
  readonly lateAhead: number;
}

/** What becomes of a call that finds no free target. */
export type Admission =
  | { readonly kind: 'in-time' }
  | { readonly kind: 'late' }
  /** `wait` is the time after which its turn would be expected. */
  | { readonly kind: 'refuse'; readonly wait: number };

/** Less than this left over by calls that can be in time is within the error of the estimate. */
const MIN_LEFTOVER_SHARE = 0.05;

/** Whether a call that would start after `wait` is expected to be in time. */
export function isInTime({ now, aimAt, duration }: WaitTerms, wait = 0): boolean {
  return now + wait + duration <= aimAt;
}

/**
 * Estimates when the turn of a late call comes: after those that can be in time, in what they leave
 * over. An overload is expected to go on for as long as it has gone on; nothing else is known of it.
 */
export function estimateLateWait(outlook: QueueOutlook): number {
  const { opensIn, pace, demand, overloadDuration, inTimeAhead, lateAhead } = outlook;
  const leftover = 1 - demand;
  if (leftover > MIN_LEFTOVER_SHARE) {
    return opensIn + inTimeAhead * pace + ((lateAhead + 1) * pace) / leftover;
  }
  return opensIn + overloadDuration + (inTimeAhead + lateAhead + 1) * pace;
}

/** Judges a call that could still be in time if it started now. */
export function judgeArrival(call: WaitTerms, outlook: QueueOutlook): Admission {
  const pessimistic = { ...call, duration: call.duration * call.spread };
  const { opensIn, inTimeAhead, pace } = outlook;
  if (isInTime(pessimistic, opensIn + (inTimeAhead + 1) * pace)) return { kind: 'in-time' };
  return judgeLate(call, outlook);
}

/** Judges a call that is late, or not sure enough to be in time. */
export function judgeLate(call: WaitTerms, outlook: QueueOutlook): Admission {
  const wait = estimateLateWait(outlook);
  if (call.now + wait + call.duration * call.spread <= call.deadline) return { kind: 'late' };
  return { kind: 'refuse', wait };
}

/** How fast the rate of arrivals is followed: some dozens of calls, well within a burst. */
const RATE_HALF_LIFE_MS = 500;

/** The rate of arrivals of late, by which overload is seen within half a second. */
export class ArrivalRate {
  #count = 0;

  #countedAt = 0;

  /** Counts one arrival. */
  record(now: number): void {
    this.#count = this.#decay(now) + 1;
    this.#countedAt = now;
  }

  /** Arrivals a millisecond. */
  read(now: number): number {
    return (this.#decay(now) * Math.LN2) / RATE_HALF_LIFE_MS;
  }

  #decay(now: number): number {
    return this.#count * 0.5 ** ((now - this.#countedAt) / RATE_HALF_LIFE_MS);
  }
}
