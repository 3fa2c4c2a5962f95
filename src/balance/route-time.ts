/** What the calls of one route have taught of their work. */
import { DecayingMean, QuantileEstimate } from './estimate.js';

/** The work follows the answers of some seconds. */
const HALF_LIFE_MS = 3000;

/** Work of a call nothing is known of, before the first answer of its route, in milliseconds. */
const INITIAL_WORK_MS = 100;

/**
 * The part of the calls that the spread covers. A few of those that seemed to meet a quick target met a
 * slow one; they are not to count as spread of the work.
 */
const SPREAD_QUANTILE = 0.85;

/** Answers after which others are told what they taught. */
const MIN_ANSWERS = 10;

/** Taken before the first answer: work that varies by a third, as most does. */
const INITIAL_SPREAD = 1.4;

/** A call that took this many times longer than expected met a fault, which says nothing of the next. */
const MAX_RATIO = 4;

/** The work of the calls of one route, and how far their times lie from what was expected. */
export class RouteTime {
  readonly #work = new DecayingMean(HALF_LIFE_MS);

  readonly #spread = new QuantileEstimate(SPREAD_QUANTILE);

  #prior = { work: INITIAL_WORK_MS, spread: INITIAL_SPREAD };

  #answers = 0;

  #hasPrior = false;

  /** Whether anything is known of the calls. */
  get isKnown(): boolean {
    return this.#answers > 0 || this.#hasPrior;
  }

  /** Whether enough answers came to be of use to others. */
  get hasEnoughSamples(): boolean {
    return this.#answers >= MIN_ANSWERS;
  }

  /** Takes what others have learnt, until an answer comes here. */
  setPrior(prior: { readonly work: number; readonly spread: number }): void {
    this.#prior = prior;
    this.#hasPrior = true;
  }

  /** Learns from an answer whose target's slowdown was known. */
  recordWork(work: number, now: number): void {
    this.#work.add(work, now);
    this.#answers += 1;
  }

  /** Learns from the same answers. @param ratio its time, in multiples of the expected one */
  recordRatio(ratio: number): void {
    if (ratio < MAX_RATIO) this.#spread.add(ratio);
  }

  /** Time of a call at a usual, idle target, in milliseconds. */
  readWork(): number {
    return this.#work.read(this.#prior.work);
  }

  /** Most calls at a target as quick as expected take no longer than this many times the expected time. */
  readSpread(): number {
    return Math.max(1, this.#spread.read(this.#prior.spread));
  }
}
