/**
 * Learns how slow the targets of a service are overall, and how long a reported slowdown stays
 * valid.
 *
 * Targets share machines with neighbours, and some of them work several times slower until the
 * neighbours' load changes. A call runs as slowly as its target was when it began: of 1,178 calls
 * of 220 to 550 ms, those at fast targets that became slow meanwhile finished as soon as the
 * others, and those at targets that were slow at the start took five times as long whatever came
 * after. What matters is therefore the slowdown at that very moment, and how well a report predicts
 * it. That is learned from the reports themselves: from how much two reports of one target differ,
 * by the time between them.
 */
import { DecayingMean } from './estimate.js';

/** The learned parameters of a service. */
export interface SlowdownParameters {
  /** Mean slowdown over all targets. */
  readonly mean: number;
  /** Mean slowdown of the slow targets. */
  readonly slow: number;
  /** Age at which a report tells nothing any more, in milliseconds. */
  readonly life: number;
}

/** The means follow the reports within some seconds, because targets start, stop and fail. */
const MEAN_HALF_LIFE_MS = 2000;

/** Means assumed before there are reports: a quarter of the targets works several times slower. */
const INITIAL_MEAN = 2.5;
const INITIAL_SLOW_MEAN = 6;

/** Slowdown from which a target counts as slow; noise and crowding stay below it. */
const MIN_SLOW_SLOWDOWN = 1.8;

/** Assumed until there are enough samples: about the duration of a call. */
const INITIAL_LIFETIME_MS = 500;

/** Two reports closer than this reflect the same moment. */
const MIN_LAG_MS = 15;

/** Lags are grouped into classes, each this many times as long as the one before. */
const LAG_CLASS_FACTOR = 1.4;

const LAG_CLASS_COUNT = 16;

/** Number of pairs over which a class averages. */
const MAX_AVERAGED_PAIRS = 3000;

/** Pairs needed before a lifetime is fitted. */
const MIN_PAIRS = 150;

/** Lifetimes that the fit tries, in milliseconds; values above the last make no difference. */
const LIFETIMES_MS: readonly number[] = [
  60, 80, 110, 150, 200, 270, 360, 500, 670, 900, 1200, 1600, 2400,
];

const FIT_INTERVAL_MS = 1000;

interface LagClass {
  pairs: number;
  lag: number;
  /** Mean square of the difference between two speeds. */
  meanSquare: number;
}

/** Computes the squared error of the model with this lifetime. */
function computeFitError(classes: readonly LagClass[], lifetime: number): number {
  const computeShape = ({ lag }: LagClass) => Math.min(1, lag / lifetime);
  let crossSum = 0;
  let squareSum = 0;
  for (const entry of classes) {
    crossSum += entry.pairs * entry.meanSquare * computeShape(entry);
    squareSum += entry.pairs * computeShape(entry) ** 2;
  }
  const plateau = crossSum / squareSum;
  let error = 0;
  for (const entry of classes) {
    error += entry.pairs * (entry.meanSquare - plateau * computeShape(entry)) ** 2;
  }
  return error;
}

/** The slowdown model of one service. */
export class SlowdownModel {
  readonly #mean = new DecayingMean(MEAN_HALF_LIFE_MS);

  readonly #slowMean = new DecayingMean(MEAN_HALF_LIFE_MS);

  readonly #classes: readonly LagClass[] = Array.from({ length: LAG_CLASS_COUNT }, () => ({
    ...{ pairs: 0, lag: 0, meanSquare: 0 },
  }));

  #pairs = 0;

  /** Parameters used until there are enough samples here. */
  #prior: SlowdownParameters = {
    mean: INITIAL_MEAN,
    slow: INITIAL_SLOW_MEAN,
    life: INITIAL_LIFETIME_MS,
  };

  #lifetime: number | undefined;

  #fittedAt = -Infinity;

  /** Whether there are enough samples for the parameters to be of use to other daemons. */
  get hasEnoughSamples(): boolean {
    return this.#pairs >= MIN_PAIRS;
  }

  /** Number of samples behind the parameters. */
  get sampleCount(): number {
    return this.#pairs;
  }

  /** Sets the parameters used until there are enough samples here, as learned by other daemons. */
  setPrior(prior: SlowdownParameters): void {
    this.#prior = prior;
  }

  /**
   * Records the slowdown of a target that was probed regardless of its speed, so that the means are
   * unbiased.
   */
  record(slowdown: number, now: number): void {
    this.#mean.add(slowdown, now);
    if (slowdown >= MIN_SLOW_SLOWDOWN) this.#slowMean.add(slowdown, now);
  }

  /** Records two reports of one target. @param lag time between them in milliseconds */
  recordPair(before: number, after: number, lag: number): void {
    if (lag < MIN_LAG_MS) return;
    const index = Math.floor(Math.log(lag / MIN_LAG_MS) / Math.log(LAG_CLASS_FACTOR));
    const entry = this.#classes[index];
    if (entry === undefined) return;
    entry.pairs = Math.min(MAX_AVERAGED_PAIRS, entry.pairs + 1);
    entry.lag += (lag - entry.lag) / entry.pairs;
    // Compares speeds rather than slowdowns, so that a few very slow targets don't dominate.
    entry.meanSquare += ((1 / after - 1 / before) ** 2 - entry.meanSquare) / entry.pairs;
    this.#pairs += 1;
  }

  /** Returns the current parameters. */
  read(now: number): SlowdownParameters {
    if (now - this.#fittedAt >= FIT_INTERVAL_MS) {
      this.#fittedAt = now;
      this.#lifetime = this.#fitLifetime();
    }
    return {
      mean: this.#mean.read(this.#prior.mean),
      slow: this.#slowMean.read(this.#prior.slow),
      life: this.#lifetime ?? this.#prior.life,
    };
  }

  #fitLifetime(): number | undefined {
    if (!this.hasEnoughSamples) return undefined;
    const observed = this.#classes.filter(({ pairs }) => pairs > 0);
    // Without any difference, every lifetime fits; a target is then as slow as the mean anyway.
    if (observed.every(({ meanSquare }) => meanSquare === 0)) return undefined;
    let best: number | undefined;
    let bestError = Infinity;
    for (const lifetime of LIFETIMES_MS) {
      const error = computeFitError(observed, lifetime);
      if (error >= bestError) continue;
      best = lifetime;
      bestError = error;
    }
    return best;
  }
}

/** Reports of one target that are paired with later ones. */
const MAX_REPORTS = 16;

/**
 * Minimum distance of the reports kept, so that they cover a second, which is longer than most
 * calls.
 */
const MIN_REPORT_DISTANCE_MS = 60;

/** Computes the weight of a report for a time this far before or after it. */
function computeWeight(interval: number, lifetime: number): number {
  return Math.max(0, 1 - interval / lifetime);
}

interface SlowdownReport {
  readonly slowdown: number;
  readonly at: number;
}

/** The last slowdown reports of one target. */
export class SlowdownHistory {
  #reports: readonly SlowdownReport[] = [];

  constructor(private readonly model: SlowdownModel) {}

  /** Records a report; ignored unless it is newer than the last. */
  record(slowdown: number, at: number): void {
    const last = this.#reports.at(-1);
    if (last !== undefined && at <= last.at) return;
    for (const past of this.#reports) this.model.recordPair(past.slowdown, slowdown, at - past.at);
    // Of reports that arrive close together, the last is kept.
    const isClose =
      last !== undefined &&
      last.at - (this.#reports.at(-2)?.at ?? -Infinity) < MIN_REPORT_DISTANCE_MS;
    const before = isClose ? this.#reports.slice(0, -1) : this.#reports;
    this.#reports = [...before.slice(1 - MAX_REPORTS), { slowdown, at }];
  }

  /** Estimates the slowdown of the target at a time, from the reports just before and after it. */
  estimate(at: number, { mean, life }: SlowdownParameters): number {
    // Nearly all queries are for the present, which the last report answers.
    let index = this.#reports.length - 1;
    while (index >= 0 && this.#reports[index].at > at) index -= 1;
    const before: SlowdownReport | undefined = this.#reports[index];
    const after: SlowdownReport | undefined = this.#reports[index + 1];
    const weightBefore = before === undefined ? 0 : computeWeight(at - before.at, life);
    const weightAfter = after === undefined ? 0 : computeWeight(after.at - at, life);
    const weightSum = Math.max(1, weightBefore + weightAfter);
    const weightedSlowdown =
      weightBefore * (before?.slowdown ?? 0) + weightAfter * (after?.slowdown ?? 0);
    return weightedSlowdown / weightSum + mean * Math.max(0, 1 - weightBefore - weightAfter);
  }
}
