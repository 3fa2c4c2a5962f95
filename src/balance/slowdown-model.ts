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
const MEAN_HALF_LIFE = 2000;

/** Taken before there are reports: a quarter of the targets works several times as long. */
const FIRST_MEAN = 2.5;
const FIRST_SLOW = 6;

/** A target is called slow from this slowdown on: what noise and crowding do stays below. */
const SLOW = 1.8;

/** Taken before enough has been seen: about the time of a call. */
const FIRST_LIFE = 500;

/** Two reports closer than this have been caused by the same moment. */
const LEAST_LAG = 15;

/** Lags are gathered in classes, each this many times as long as the one before. */
const LAG_STEP = 1.4;

const LAG_CLASSES = 16;

/** A class follows this many of its pairs. */
const PAIRS_FOLLOWED = 3000;

/** Pairs needed in all before anything is concluded. */
const LEAST_PAIRS = 150;

/** Lives that are tried, in milliseconds; a longer one than the last differs in nothing. */
const LIVES: readonly number[] = [60, 80, 110, 150, 200, 270, 360, 500, 670, 900, 1200, 1600, 2400];

/** The fit is made anew after this long, in milliseconds. */
const FIT_PACE = 1000;

interface LagClass {
  pairs: number;
  lag: number;
  /** Mean square of the difference of two speeds. */
  difference: number;
}

/** Returns the squared error of a life, and how much speeds vary in it. */
function measureFit(classes: readonly LagClass[], life: number): number {
  const measureShape = ({ lag }: LagClass) => Math.min(1, lag / life);
  let both = 0;
  let squares = 0;
  for (const entry of classes) {
    both += entry.pairs * entry.difference * measureShape(entry);
    squares += entry.pairs * measureShape(entry) ** 2;
  }
  const plateau = both / squares;
  let error = 0;
  for (const entry of classes) {
    error += entry.pairs * (entry.difference - plateau * measureShape(entry)) ** 2;
  }
  return error;
}

/** What is learnt of one service. */
export class SlowdownModel {
  readonly #mean = new DecayingMean(MEAN_HALF_LIFE);

  readonly #slow = new DecayingMean(MEAN_HALF_LIFE);

  readonly #classes: readonly LagClass[] = Array.from({ length: LAG_CLASSES }, () => ({
    ...{ pairs: 0, lag: 0, difference: 0 },
  }));

  #pairs = 0;

  /** What is taken until enough has been seen here. */
  #first: SlowdownParameters = { mean: FIRST_MEAN, slow: FIRST_SLOW, life: FIRST_LIFE };

  #life: number | undefined;

  #fittedAt = -Infinity;

  /** Whether enough has been seen to be of use to others. */
  get hasEnoughSamples(): boolean {
    return this.#pairs >= LEAST_PAIRS;
  }

  /** Takes what others have learnt, until enough has been seen here. */
  setPrior(pattern: SlowdownParameters): void {
    this.#first = pattern;
  }

  /** Learns the slowdown of a target that was asked regardless of how slow it is. */
  record(slowdown: number, now: number): void {
    this.#mean.add(slowdown, now);
    if (slowdown >= SLOW) this.#slow.add(slowdown, now);
  }

  /** Learns from two reports of one target. @param lag time between them in milliseconds */
  recordPair(before: number, after: number, lag: number): void {
    if (lag < LEAST_LAG) return;
    const index = Math.floor(Math.log(lag / LEAST_LAG) / Math.log(LAG_STEP));
    const entry = this.#classes[index];
    if (entry === undefined) return;
    entry.pairs = Math.min(PAIRS_FOLLOWED, entry.pairs + 1);
    entry.lag += (lag - entry.lag) / entry.pairs;
    // Of speeds rather than slowdowns, so that a few very slow targets don't outweigh the others.
    entry.difference += ((1 / after - 1 / before) ** 2 - entry.difference) / entry.pairs;
    this.#pairs += 1;
  }

  /** What has been learnt so far. */
  read(now: number): SlowdownParameters {
    if (now - this.#fittedAt >= FIT_PACE) {
      this.#fittedAt = now;
      this.#life = this.#fit();
    }
    return {
      mean: this.#mean.read(this.#first.mean),
      slow: this.#slow.read(this.#first.slow),
      life: this.#life ?? this.#first.life,
    };
  }

  #fit(): number | undefined {
    if (!this.hasEnoughSamples) return undefined;
    const seen = this.#classes.filter(({ pairs }) => pairs > 0);
    // Without any difference every life fits; a target is then as slow as the mean anyway.
    if (seen.every(({ difference }) => difference === 0)) return undefined;
    let best: number | undefined;
    let bestError = Infinity;
    for (const life of LIVES) {
      const error = measureFit(seen, life);
      if (error >= bestError) continue;
      best = life;
      bestError = error;
    }
    return best;
  }
}

/** Reports of one target that are paired with later ones. */
const REPORTS_KEPT = 16;

/** Reports kept lie this far apart, so that they tell of a second, which is longer than most calls. */
const KEEP_PACE = 60;

/** How much a report tells of a moment that lies some time before or after it. */
function computeTrust(distance: number, life: number): number {
  return Math.max(0, 1 - distance / life);
}

interface Report {
  readonly slowdown: number;
  readonly at: number;
}

/** The last reports of one target. */
export class SlowdownHistory {
  #kept: readonly Report[] = [];

  constructor(private readonly memory: SlowdownModel) {}

  /** Takes a report that is newer than those before. */
  record(slowdown: number, at: number): void {
    const last = this.#kept.at(-1);
    if (last !== undefined && at <= last.at) return;
    for (const past of this.#kept) this.memory.recordPair(past.slowdown, slowdown, at - past.at);
    // Of reports that come close together the last is kept.
    const isClose =
      last !== undefined && last.at - (this.#kept.at(-2)?.at ?? -Infinity) < KEEP_PACE;
    const before = isClose ? this.#kept.slice(0, -1) : this.#kept;
    this.#kept = [...before.slice(1 - REPORTS_KEPT), { slowdown, at }];
  }

  /** Estimates how slow the target was or is at a moment, from the reports next to it. */
  estimate(at: number, { mean, life }: SlowdownParameters): number {
    // Nearly all questions are about now, and the last report answers those.
    let index = this.#kept.length - 1;
    while (index >= 0 && this.#kept[index].at > at) index -= 1;
    const before: Report | undefined = this.#kept[index];
    const after: Report | undefined = this.#kept[index + 1];
    const trustBefore = before === undefined ? 0 : computeTrust(at - before.at, life);
    const trustAfter = after === undefined ? 0 : computeTrust(after.at - at, life);
    const sum = Math.max(1, trustBefore + trustAfter);
    const told = trustBefore * (before?.slowdown ?? 0) + trustAfter * (after?.slowdown ?? 0);
    return told / sum + mean * Math.max(0, 1 - trustBefore - trustAfter);
  }
}
