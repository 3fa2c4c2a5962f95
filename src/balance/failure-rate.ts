/**
 * How much a target fails, from the calls of one daemon: failures of late against successes of late.
 *
 * The pattern answered: grey targets. Their health check is good, and they reject or fail half of their calls for
 * some seconds. Where a daemon sends each of hundreds of targets less than a call a second, a failure that is
 * forgotten within a second or two is forgotten before the next call; and one failure among many successes is no
 * reason to keep away. So both are remembered over some calls, and one is weighed against the other.
 */

/** What came of a call counts half after this time, in milliseconds: some calls of one daemon at one of hundreds. */
const HALF_LIFE_MS = 6000;

/** Successes that a target is taken to have had: nothing is known of the first call. */
const PRIOR_SUCCESSES = 1;

/** The record of one target. */
export class FailureRate {
  #failures = 0;

  #successes = 0;

  #decayedAt = 0;

  /** Notes a call that failed. */
  recordFailure(now: number): void {
    this.#decay(now);
    this.#failures += 1;
  }

  /** Notes a call that was answered well. */
  recordSuccess(now: number): void {
    this.#decay(now);
    this.#successes += 1;
  }

  /** Failures for each success: 0 where there are none, 1 after the first call if it failed. */
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
