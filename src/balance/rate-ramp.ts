/** How what a target gets rises after a time in which it got less: not all at once, as many daemons send there. */

/** A rise; times in milliseconds. */
export interface RateRamp {
  /** Requests a second that it begins with. */
  readonly startRate: number;
  /** It doubles in this time. */
  readonly doublingTime: number;
  /** After this long nothing limits any more. */
  readonly duration: number;
}

/** Computes the requests a second that a target may get; undefined once nothing limits it. */
export function computeRampRate(
  { startRate, doublingTime, duration }: RateRamp,
  elapsed: number,
): number | undefined {
  return elapsed >= duration ? undefined : startRate * 2 ** (elapsed / doublingTime);
}
