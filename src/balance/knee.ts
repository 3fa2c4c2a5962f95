/**
 * Learns whether the targets of a service slow down when nearly all of their slots are busy.
 *
 * If they do, the last slots add no throughput: three calls that each take 1.7 times as long finish
 * no sooner than two that don't. The estimate compares calls at nearly full targets with the
 * others.
 */
import { DecayingMean } from './estimate.js';

/** Share of busy slots from which a target counts as nearly full. */
const NEARLY_FULL_SHARE = 0.8;

const HALF_LIFE_MS = 10_000;

/** Samples of each kind that are needed before the limit is lowered. */
const MIN_SAMPLES = 30;

/**
 * Calls counted as one kind meet the other kind for part of their time, so the observed factor is
 * too small.
 */
const DILUTION = 0.6;

/** The estimate for one service. */
export class KneeEstimate {
  readonly #fullTime = new DecayingMean(HALF_LIFE_MS);

  readonly #lightTime = new DecayingMean(HALF_LIFE_MS);

  /** Factor used until there are enough samples here. */
  #prior = 1;

  #fullSamples = 0;

  #lightSamples = 0;

  /**
   * Learns from one call. Returns the factor by which the calls beside it made it slower.
   *
   * @param time its duration, in multiples of the usual time of its route at the reported slowdown
   * @param shares the shares of the slots that were busy at its start and at its end, including its
   * own
   */
  observe(time: number, [atStart, atEnd]: readonly [number, number], now: number): number {
    // A call that met both loads is no sample of either.
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

  /** Sets the factor used until there are enough samples here, as learned by other daemons. */
  setPrior(factor: number): void {
    this.#prior = factor;
  }

  /** Returns how many times longer a call takes at a nearly full target. */
  readFactor(): number {
    const hasEnoughSamples = this.#fullSamples >= MIN_SAMPLES && this.#lightSamples >= MIN_SAMPLES;
    if (!hasEnoughSamples) return this.#prior;
    return Math.max(1, this.#fullTime.read(1) / this.#lightTime.read(1));
  }

  /**
   * Returns the number of concurrent calls at which a target with these slots has the highest
   * throughput.
   */
  findConcurrencyLimit(slots: number): number {
    const reducedLimit = Math.max(1, Math.ceil(slots * NEARLY_FULL_SHARE) - 1);
    const maxFactor = 1 + (slots / reducedLimit - 1) * DILUTION;
    return this.readFactor() > maxFactor ? reducedLimit : slots;
  }
}
