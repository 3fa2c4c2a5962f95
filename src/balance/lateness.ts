/** Why an answer came after its aim: what to look at first when callers say that it is slow. */

/** Where the time of an answered request went, in milliseconds. */
export interface RequestTimings {
  /** What was left of the aim when it arrived; below 0 when its caller had used it up. */
  readonly aimLeft: number;
  /** From its arrival until it was first sent to a target. */
  readonly waited: number;
  /** From its arrival until its answer was passed on. */
  readonly held: number;
  readonly attempts: number;
}

/** What made an answer late. */
export type LatenessCause =
  | 'in-time'
  /** Its caller had spent the aim on earlier tries, look-ups or connections. */
  | 'came-late'
  /** It waited here for so long that a usual call would have been late as well. */
  | 'waited'
  /** The first target failed it or was slow, and the second answered too late. */
  | 'second-attempt'
  /** Its one target took too long. */
  | 'slow-target';

/** Judges why an answer is late. @param usualTime how long a call takes from its sending, as expected */
export function findLatenessCause(timings: RequestTimings, usualTime: number): LatenessCause {
  const { aimLeft, waited, held, attempts } = timings;
  if (held <= aimLeft) return 'in-time';
  if (aimLeft < usualTime) return 'came-late';
  if (waited + usualTime > aimLeft) return 'waited';
  return attempts > 1 ? 'second-attempt' : 'slow-target';
}
