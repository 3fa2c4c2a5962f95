/**
 * Learns whether the targets of a service slow down when they are nearly full.
 *
 * Where they do, the last slots bring nothing: three calls that each take 1.7 times as long end no
 * sooner than two that don't. Calls that ran at a nearly full target are compared with the others.
 */
import { DecayingMean } from './estimate.js';

/** From this share of the slots on a target counts as nearly full. */
const NEARLY_FULL_SHARE = 0.8;

/** Both means follow some seconds of calls. */
const HALF_LIFE_MS = 10_000;

/** Samples of each kind that are needed before the limit is lowered. */
const MIN_SAMPLES = 30;

/** Calls of both kinds are partly full and partly not in between, so the factor seen is too small. */
const DILUTION = 0.6;

/** The comparison for one service. */
export class KneeEstimate {
  readonly #fullTime = new DecayingMean(HALF_LIFE_MS);

  readonly #lightTime = new DecayingMean(HALF_LIFE_MS);

  /** What is taken until enough has been seen here. */
  #prior = 1;

  #fullSamples = 0;

  #lightSamples = 0;

  /**
   * Learns from one call, and returns how many times longer it took for the calls beside it.
   *
   * @param time how long it took, in multiples of its route's usual time at the slowdown told
   * @param shares the shares of the slots that were busy at its start and at its end, its own included
   */
  observe(time: number, [atStart, atEnd]: readonly [number, number], now: number): number {
    // A call that met both says nothing of either.
    if (Math.min(atStart, atEnd) >= NEARLY_FULL_SHARE) {
      this.#fullTime.add(time, now);
      this.#fullSamples += 1;
      return this.readFactor();
    }
    if (Math.max(atStart, atEnd) < NEARLY_FULL_SHARE) {
      this.#lightTime.add(time, now);
      this.#lightSamples += 1;
      return 1;
    }
    return Math.sqrt(this.readFactor());
  }

  /** Takes what others have learnt, until enough has been seen here. */
  setPrior(factor: number): void {
    this.#prior = factor;
  }

  /** How many times longer a call takes at a nearly full target. */
  readFactor(): number {
    const hasEnoughSamples = this.#fullSamples >= MIN_SAMPLES && this.#lightSamples >= MIN_SAMPLES;
    if (!hasEnoughSamples) return this.#prior;
    return Math.max(1, this.#fullTime.read(1) / this.#lightTime.read(1));
  }

  /** The number of calls at which a target with these slots does the most work. */
  findConcurrencyLimit(slots: number): number {
    const reducedLimit = Math.max(1, Math.ceil(slots * NEARLY_FULL_SHARE) - 1);
    const maxFactor = 1 + (slots / reducedLimit - 1) * DILUTION;
    return this.readFactor() > maxFactor ? reducedLimit : slots;
  }
}
