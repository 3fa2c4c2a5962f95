/** Learns how long the calls of one route take. */
import { DecayingMean, QuantileEstimate } from './estimate.js';
import { RefusalEvidence, type TrialDecision } from './refusal-evidence.js';

const HALF_LIFE_MS = 3000;

/** Duration assumed before the first answer of a route. */
const INITIAL_WORK_MS = 100;

/**
 * Share of the calls that the spread covers. A few calls at targets that seemed fast ran at slow
 * ones; those must not count as spread.
 */
const SPREAD_QUANTILE = 0.85;

/** Answers after which other daemons get the estimate. */
const MIN_ANSWERS = 10;

/** Spread assumed before the first answer: durations that vary by a third, as most do. */
const INITIAL_SPREAD = 1.4;

/**
 * A call that takes more than this multiple of the expected time met a fault, which predicts
 * nothing for the next: it does not count as spread, and counts as work with this multiple only, so
 * that a few such calls don't displace the estimate.
 */
const MAX_RATIO = 4;

/** The largest spread. */
export const MAX_SPREAD = MAX_RATIO;

/** Where an estimate comes from: nowhere, the store, or answers to calls of this daemon. */
export type EstimateSource = 'assumed' | 'stored' | 'own';

/** The current estimates of a route and what they rest on. */
export interface RouteTimeState {
  /** Duration of a call at an idle target of usual speed, in milliseconds. */
  readonly work: number;
  readonly spread: number;
  readonly source: EstimateSource;
  /** Answers that were recorded here. */
  readonly samples: number;
  /** Time since the last of them, in milliseconds; Infinity before the first. */
  readonly age: number;
}

/** The work of a route's calls, and how far their durations lie from the expected ones. */
export class RouteTime {
  #work = new DecayingMean(HALF_LIFE_MS);

  #spread = new QuantileEstimate(SPREAD_QUANTILE);

  readonly #evidence = new RefusalEvidence();

  #prior = { work: INITIAL_WORK_MS, spread: INITIAL_SPREAD };

  #answers = 0;

  #hasPrior = false;

  #recordedAt = -Infinity;

  /** Whether there is an estimate, from answers here or from other daemons. */
  get isKnown(): boolean {
    return this.#answers > 0 || this.#hasPrior;
  }

  /** Whether there are enough answers for the estimate to be of use to other daemons. */
  get hasEnoughSamples(): boolean {
    return this.#answers >= MIN_ANSWERS;
  }

  /** Sets the estimate used until an answer arrives here, as learned by other daemons. */
  setPrior(prior: { readonly work: number; readonly spread: number }): void {
    this.#prior = prior;
    this.#hasPrior = true;
  }

  /**
   * Whether the estimates rest on outcomes seen here, so that calls may be refused for them. Stored
   * estimates don't: nobody here has seen that they hold.
   */
  hasEvidence(now: number): boolean {
    return this.isKnown && this.#evidence.isPresent(now);
  }

  /** Decides on a call that the estimates would refuse. A trial has to be finished. */
  decideTrial(now: number, isRepeatable: boolean): TrialDecision {
    return this.isKnown ? this.#evidence.decideTrial(now, isRepeatable) : 'no-evidence';
  }

  /** Records that a trial has ended, whatever its outcome. */
  finishTrial(): void {
    this.#evidence.finishTrial();
  }

  /** Records the work of an answered call whose target's slowdown was known, in milliseconds. */
  recordWork(work: number, now: number): void {
    this.#work.add(this.#limitOutlier(work), now);
    this.#answers += 1;
    this.#recordedAt = now;
    this.#evidence.record(now);
  }

  #limitOutlier(work: number): number {
    if (!this.hasEnoughSamples) return work;
    const usual = this.readWork();
    return Math.min(Math.max(work, usual / MAX_RATIO), usual * MAX_RATIO);
  }

  /**
   * Corrects the estimates by a trial that was answered in time, so that the next calls are not
   * refused for them. Work can't be longer than the whole call, as no target is faster than an idle
   * one of usual speed by much.
   *
   * @param time duration of the call in milliseconds
   * @param slowdown expected slowdown of its target
   */
  recordTrialAnswer(time: number, slowdown: number, now: number): void {
    if (time < this.readWork()) {
      this.#work = new DecayingMean(HALF_LIFE_MS);
      this.#work.add(time, now);
    }
    const ratio = Math.max(1, time / (this.readWork() * slowdown));
    if (ratio < this.readSpread()) {
      this.#spread = new QuantileEstimate(SPREAD_QUANTILE);
      this.#spread.add(ratio);
    }
    this.#answers = Math.max(1, this.#answers);
    this.#recordedAt = now;
    this.#evidence.record(now);
  }

  /** Records that a trial was not answered in time, as the estimates had predicted. */
  recordTrialTimeout(now: number): void {
    this.#evidence.record(now);
  }

  /** Records the ratio of the duration to the expected duration, for the same calls. */
  recordRatio(ratio: number): void {
    if (ratio < MAX_RATIO) this.#spread.add(ratio);
  }

  /** Returns the duration of a call at an idle target of usual speed, in milliseconds. */
  readWork(): number {
    return this.#work.read(this.#prior.work);
  }

  /** Describes the estimates, for logs and metrics. */
  describe(now: number): RouteTimeState {
    return {
      ...{ work: this.readWork(), spread: this.readSpread(), source: this.#findSource() },
      ...{ samples: this.#answers, age: now - this.#recordedAt },
    };
  }

  #findSource(): EstimateSource {
    if (this.#answers > 0) return 'own';
    return this.#hasPrior ? 'stored' : 'assumed';
  }

  /**
   * Returns the factor by which most calls stay within the expected time, at targets of the
   * expected speed.
   */
  readSpread(): number {
    return Math.min(MAX_SPREAD, Math.max(1, this.#spread.read(this.#prior.spread)));
  }
}
