/** How what a target gets rises after a time in which it got less: not all at once, as many daemons send there. */

/** A rise; times in milliseconds. */
export interface RateRamp {
  /** Requests a second that it begins with. */
  readonly from: number;
  /** It doubles in this time. */
  readonly doubling: number;
  /** After this long nothing limits any more. */
  readonly time: number;
}

/** Computes the requests a second that a target may get; undefined once nothing limits it. */
export function computeRampRate(
  { from, doubling, time }: RateRamp,
  elapsed: number,
): number | undefined {
  return elapsed >= time ? undefined : from * 2 ** (elapsed / doubling);
}
