/**
 * Ramps up the rate of a target after a restriction ends: many daemons send there, so not all at
 * once.
 */

/** A ramp-up; times in milliseconds. */
export interface RateRamp {
  /** Initial rate in requests a second. */
  readonly startRate: number;
  /** Time in which the rate doubles. */
  readonly doublingTime: number;
  /** Time after which nothing limits the target any more. */
  readonly duration: number;
}

/**
 * Computes the rate in requests a second after `elapsed` milliseconds; undefined once the ramp-up
 * is over.
 */
export function computeRampRate(
  { startRate, doublingTime, duration }: RateRamp,
  elapsed: number,
): number | undefined {
  return elapsed >= duration ? undefined : startRate * 2 ** (elapsed / doublingTime);
}
