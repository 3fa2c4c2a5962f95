/**
 * How often a target fails, from the calls of one daemon: recent failures per recent success.
 *
 * Detects grey failures: targets with passing health checks that reject or fail half of their calls
 * for some seconds. A daemon sends each of hundreds of targets less than one call a second, so a
 * failure that is forgotten within a second or two is forgotten before the next call. A single
 * failure among many successes, on the other hand, is no reason to avoid a target. Both counts
 * therefore decay slowly, over several calls, and are compared.
 */

/**
 * Age at which an outcome has half its weight: several calls of one daemon to one of hundreds of
 * targets.
 */
const HALF_LIFE_MS = 6000;

/** Successes assumed in advance, so that the first call does not decide alone. */
const PRIOR_SUCCESSES = 1;

/** The recent outcomes of the calls to one target. */
export class FailureRate {
  #failures = 0;

  #successes = 0;

  #decayedAt = 0;

  /** Records a call that failed. */
  recordFailure(now: number): void {
    this.#decay(now);
    this.#failures += 1;
  }

  /** Records a call that succeeded. */
  recordSuccess(now: number): void {
    this.#decay(now);
    this.#successes += 1;
  }

  /** Returns the failures per success: 0 without failures, 1 after a first call that failed. */
  read(now: number): number {
    this.#decay(now);
    return this.#failures / (this.#successes + PRIOR_SUCCESSES);
  }

  #decay(now: number): void {
    const kept = 0.5 ** ((now - this.#decayedAt) / HALF_LIFE_MS);
    this.#failures *= kept;
    this.#successes *= kept;
    this.#decayedAt = now;
  }
}
