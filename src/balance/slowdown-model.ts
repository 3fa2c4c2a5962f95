/**
 * Learns how slow the targets of a service are on the whole, and for how long one of them stays as it
 * was seen.
 *
 * The pattern answered: targets share machines with neighbours, and some of them work several times as
 * long until the neighbours' load changes. A call runs as slowly as its target was when it began: in
 * 1,178 calls of 220 to 550 ms, quick targets that turned slow meanwhile ended them as soon as the
 * others, and those that were slow at the start took five times as long whatever came after. So what
 * counts is how a target is at that very moment, and how well a report tells it: from the reports
 * themselves, how far two of one target lie apart by the time between them.
 */
import { DecayingMean } from './estimate.js';

/** What the reports of a service's targets have taught. */
export interface SlowdownParameters {
  /** Mean slowdown over all targets. */
  readonly mean: number;
  /** Mean slowdown of those that are slow. */
  readonly slow: number;
  /** Time after which a report says nothing any more, in milliseconds. */
  readonly life: number;
}

/** The means follow the reports within some seconds, since targets come, go and break. */
const MEAN_HALF_LIFE_MS = 2000;

/** Taken before there are reports: a quarter of the targets works several times as long. */
const INITIAL_MEAN = 2.5;
const INITIAL_SLOW_MEAN = 6;

/** A target is called slow from this slowdown on: what noise and crowding do stays below. */
const MIN_SLOW_SLOWDOWN = 1.8;

/** Taken before enough has been seen: about the time of a call. */
const INITIAL_LIFETIME_MS = 500;

/** Two reports closer than this have been caused by the same moment. */
const MIN_LAG_MS = 15;

/** Lags are gathered in classes, each this many times as long as the one before. */
const LAG_CLASS_FACTOR = 1.4;

const LAG_CLASS_COUNT = 16;

/** A class follows this many of its pairs. */
const MAX_AVERAGED_PAIRS = 3000;

/** Pairs needed in all before anything is concluded. */
const MIN_PAIRS = 150;

/** Lives that are tried, in milliseconds; a longer one than the last differs in nothing. */
const LIFETIMES_MS: readonly number[] = [
  60, 80, 110, 150, 200, 270, 360, 500, 670, 900, 1200, 1600, 2400,
];

/** The fit is made anew after this long, in milliseconds. */
const FIT_INTERVAL_MS = 1000;

interface LagClass {
  pairs: number;
  lag: number;
  /** Mean square of the difference of two speeds. */
  meanSquare: number;
}

/** Returns the squared error of a life, and how much speeds vary in it. */
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

/** What is learnt of one service. */
export class SlowdownModel {
  readonly #mean = new DecayingMean(MEAN_HALF_LIFE_MS);

  readonly #slowMean = new DecayingMean(MEAN_HALF_LIFE_MS);

  readonly #classes: readonly LagClass[] = Array.from({ length: LAG_CLASS_COUNT }, () => ({
    ...{ pairs: 0, lag: 0, meanSquare: 0 },
  }));

  #pairs = 0;

  /** What is taken until enough has been seen here. */
  #prior: SlowdownParameters = {
    mean: INITIAL_MEAN,
    slow: INITIAL_SLOW_MEAN,
    life: INITIAL_LIFETIME_MS,
  };

  #lifetime: number | undefined;

  #fittedAt = -Infinity;

  /** Whether enough has been seen to be of use to others. */
  get hasEnoughSamples(): boolean {
    return this.#pairs >= MIN_PAIRS;
  }

  /** Takes what others have learnt, until enough has been seen here. */
  setPrior(prior: SlowdownParameters): void {
    this.#prior = prior;
  }

  /** Learns the slowdown of a target that was asked regardless of how slow it is. */
  record(slowdown: number, now: number): void {
    this.#mean.add(slowdown, now);
    if (slowdown >= MIN_SLOW_SLOWDOWN) this.#slowMean.add(slowdown, now);
  }

  /** Learns from two reports of one target. @param lag time between them in milliseconds */
  recordPair(before: number, after: number, lag: number): void {
    if (lag < MIN_LAG_MS) return;
    const index = Math.floor(Math.log(lag / MIN_LAG_MS) / Math.log(LAG_CLASS_FACTOR));
    const entry = this.#classes[index];
    if (entry === undefined) return;
    entry.pairs = Math.min(MAX_AVERAGED_PAIRS, entry.pairs + 1);
    entry.lag += (lag - entry.lag) / entry.pairs;
    // Of speeds rather than slowdowns, so that a few very slow targets don't outweigh the others.
    entry.meanSquare += ((1 / after - 1 / before) ** 2 - entry.meanSquare) / entry.pairs;
    this.#pairs += 1;
  }

  /** What has been learnt so far. */
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
    // Without any difference every life fits; a target is then as slow as the mean anyway.
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

/** Reports kept lie this far apart, so that they tell of a second, which is longer than most calls. */
const MIN_REPORT_DISTANCE_MS = 60;

/** How much a report tells of a moment that lies some time before or after it. */
function computeWeight(interval: number, lifetime: number): number {
  return Math.max(0, 1 - interval / lifetime);
}

interface SlowdownReport {
  readonly slowdown: number;
  readonly at: number;
}

/** The last reports of one target. */
export class SlowdownHistory {
  #reports: readonly SlowdownReport[] = [];

  constructor(private readonly model: SlowdownModel) {}

  /** Takes a report that is newer than those before. */
  record(slowdown: number, at: number): void {
    const last = this.#reports.at(-1);
    if (last !== undefined && at <= last.at) return;
    for (const past of this.#reports) this.model.recordPair(past.slowdown, slowdown, at - past.at);
    // Of reports that come close together the last is kept.
    const isClose =
      last !== undefined &&
      last.at - (this.#reports.at(-2)?.at ?? -Infinity) < MIN_REPORT_DISTANCE_MS;
    const before = isClose ? this.#reports.slice(0, -1) : this.#reports;
    this.#reports = [...before.slice(1 - MAX_REPORTS), { slowdown, at }];
  }

  /** Estimates how slow the target was or is at a moment, from the reports next to it. */
  estimate(at: number, { mean, life }: SlowdownParameters): number {
    // Nearly all questions are about now, and the last report answers those.
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
