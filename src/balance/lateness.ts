/**
 * Classifies why an answer missed its target latency, for the log: where to look when callers
 * report slow answers.
 */

/** Timings of an answered request, in milliseconds. */
export interface RequestTimings {
  /**
   * Time left until the answer is late, at the arrival of the request; below 0 if its caller had
   * used it up.
   */
  readonly aimLeft: number;
  /** From the arrival until the first attempt. */
  readonly waited: number;
  /** From the arrival until the answer was forwarded. */
  readonly held: number;
  /** Number of attempts at targets. */
  readonly attempts: number;
}

/** Why an answer was late. */
export type LatenessCause =
  | 'in-time'
  /** The caller had used up the time on earlier attempts, look-ups or connections. */
  | 'came-late'
  /** It waited here for so long that a call of usual duration would have been late too. */
  | 'waited'
  /** The first target failed or was slow, and the second answered too late. */
  | 'second-attempt'
  /** Its only target took too long. */
  | 'slow-target';

/**
 * Finds why an answer was late.
 *
 * @param usualTime expected time from the attempt to the answer, in milliseconds
 */
export function findLatenessCause(timings: RequestTimings, usualTime: number): LatenessCause {
  const { aimLeft, waited, held, attempts } = timings;
  if (held <= aimLeft) return 'in-time';
  if (aimLeft < usualTime) return 'came-late';
  if (waited + usualTime > aimLeft) return 'waited';
  return attempts > 1 ? 'second-attempt' : 'slow-target';
}
