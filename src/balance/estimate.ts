/** Running estimates with constant memory. */

/**
 * An exponentially weighted mean; the weight of a sample depends on the time since the last one.
 */
export class DecayingMean {
  #value: number | undefined;

  #updatedAt = 0;

  /** @param halfLife age at which a sample has half its weight, in milliseconds */
  constructor(private readonly halfLife: number) {}

  /** Adds a sample taken at time `now`. */
  add(sample: number, now: number): void {
    if (this.#value === undefined) {
      this.#value = sample;
    } else {
      const weight = Math.max(
        MIN_SAMPLE_WEIGHT,
        1 - 0.5 ** ((now - this.#updatedAt) / this.halfLife),
      );
      this.#value += (sample - this.#value) * weight;
    }
    this.#updatedAt = now;
  }

  /** Returns the mean, or `fallback` before the first sample. */
  read(fallback: number): number {
    return this.#value ?? fallback;
  }
}

const MIN_SAMPLE_WEIGHT = 0.05;

/** Estimates one quantile of a stream by small steps up and down. */
export class QuantileEstimate {
  #value: number | undefined;

  /** @param quantile the quantile to estimate, between 0 and 1 */
  constructor(private readonly quantile: number) {}

  /** Adds a sample. */
  add(sample: number): void {
    if (this.#value === undefined) {
      this.#value = sample;
      return;
    }
    const step = Math.max(this.#value, 1) * RELATIVE_STEP;
    if (sample > this.#value) this.#value += step * this.quantile;
    else this.#value = Math.max(0, this.#value - step * (1 - this.quantile));
  }

  /** Returns the estimate, or `fallback` before the first sample. */
  read(fallback: number): number {
    return this.#value ?? fallback;
  }
}

const RELATIVE_STEP = 0.05;

/** Counts events and computes their rate over the last full window. */
export class RateMeter {
  #count = 0;

  #rate = 0;

  #windowStart: number;

  constructor(now: number) {
    this.#windowStart = now;
  }

  /** Adds `amount` events at time `now`. */
  add(now: number, amount = 1): void {
    this.#rollWindow(now);
    this.#count += amount;
  }

  /** Returns the events per second. */
  read(now: number): number {
    this.#rollWindow(now);
    return this.#rate;
  }

  #rollWindow(now: number): void {
    const span = now - this.#windowStart;
    if (span < RATE_WINDOW_MS) return;
    this.#rate = (this.#count * 1000) / span;
    this.#count = 0;
    this.#windowStart = now;
  }
}

const RATE_WINDOW_MS = 1000;
