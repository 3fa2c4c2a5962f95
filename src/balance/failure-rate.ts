/**
 * How often a target fails, from the calls of one daemon: recent failures per recent success.
 *
 * Detects grey failures: targets with passing health checks that reject or fail half of their calls
 * for some seconds. A daemon sends each of hundreds of targets less than one call a second, so a
 * failure that is forgotten within a second or two is forgotten before the next call. A single
 * failure among many successes, on the other hand, is no reason to avoid a target. Both counts
 * therefore decay slowly, over several calls, and are compared.
 *
 * A target that has recovered shows it by answers: once the successes in a row are improbable for
 * a target that fails as often as recorded, what was recorded before them is forgotten. Likewise a
 * few failures in a row end what many successes before them tell.
 */

/**
 * Age at which an outcome has half its weight: several calls of one daemon to one of hundreds of
 * targets.
 */
const HALF_LIFE_MS = 6000;

/** Successes assumed in advance, so that the first call does not decide alone. */
const PRIOR_SUCCESSES = 1;

/** A series of successes of a lower probability shows that the target has recovered. */
const MIN_SERIES_PROBABILITY = 0.1;

/** So many failures in a row show that a target fails, however many calls it had answered before. */
const FAILURES_IN_ROW = 3;

/** From this ratio on other free targets are nearly always cheaper. */
const AVOIDED_RATIO = 0.02;

/** From this ratio on a target is failing: it answers hardly any call. */
const FAILING_RATIO = 4;

/** The recent outcomes of the calls to one target. */
export class FailureRate {
  #failures = 0;

  #successes = 0;

  #decayedAt = 0;

  #failuresInRow = 0;

  #successesInRow = 0;

  /** How probable the series of successes is for a target that fails as often as recorded. */
  #seriesProbability = 1;

  /** Successes since the last failure. */
  get successesInRow(): number {
    return this.#successesInRow;
  }

  /** Records a call that failed. */
  recordFailure(now: number): void {
    this.#decay(now);
    this.#failures += 1;
    this.#failuresInRow += 1;
    this.#successesInRow = 0;
    this.#seriesProbability = 1;
    if (this.#failuresInRow === FAILURES_IN_ROW) this.#successes = 0;
  }

  /** Records a call that succeeded. */
  recordSuccess(now: number): void {
    this.#seriesProbability /= 1 + this.read(now);
    this.#successesInRow += 1;
    this.#failuresInRow = 0;
    this.#successes += 1;
    if (this.#seriesProbability >= MIN_SERIES_PROBABILITY) return;
    this.#failures = 0;
    this.#successes = Math.min(this.#successes, this.#successesInRow);
    this.#seriesProbability = 1;
  }

  /** Forgets all outcomes. */
  clear(): void {
    this.#failures = 0;
    this.#successes = 0;
    this.#failuresInRow = 0;
    this.#successesInRow = 0;
    this.#seriesProbability = 1;
  }

  /** Returns the failures per success: 0 without failures, 1 after a first call that failed. */
  read(now: number): number {
    this.#decay(now);
    return this.#failures / (this.#successes + PRIOR_SUCCESSES);
  }

  /** Whether other free targets are preferred because of failures. */
  isAvoided(now: number): boolean {
    return this.read(now) >= AVOIDED_RATIO;
  }

  /** Whether nearly all recent calls failed. */
  isFailing(now: number): boolean {
    return this.read(now) >= FAILING_RATIO;
  }

  #decay(now: number): void {
    const kept = 0.5 ** ((now - this.#decayedAt) / HALF_LIFE_MS);
    this.#failures *= kept;
    this.#successes *= kept;
    this.#decayedAt = now;
  }
}
