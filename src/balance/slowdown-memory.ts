/**
 * Learns how quick the targets of a service are on the whole, and for how long one of them stays as
 * quick as it was seen.
 *
 * The pattern answered: targets share machines with neighbours, and some of them work several times as
 * long until the neighbours' load changes. Where that takes longer than a call, the present speed tells
 * which target to take; where it changes within a call, only the average over the call matters, and
 * shunning targets that are slow at the moment crowds the others. Which of the two holds is read from
 * the reports themselves: how far two reports of one target lie apart, by the time between them.
 *
 * Speed is work done in a millisecond: 1 at a usual target, 0.2 where work takes five times as long.
 */
import { DecayingMean } from './estimate.js';

/** What the reports of a service's targets have taught. */
export interface SpeedPattern {
  /** Mean speed over all targets. */
  readonly mean: number;
  /** Time after which a report says nothing any more, in milliseconds. */
  readonly life: number;
}

/** The mean follows the reports within some seconds, since targets come, go and break. */
const MEAN_HALF_LIFE = 2000;

/** Before there are reports a target is taken to be quick. */
const FIRST_MEAN = 1;

/** Taken before enough has been seen: between what is shorter than calls and what outlasts them. */
const FIRST_LIFE = 500;

/** Two reports closer than this have been caused by the same moment. */
const LEAST_LAG = 15;

/** Lags are gathered in classes, each this many times as long as the one before. */
const LAG_STEP = 1.4;

const LAG_CLASSES = 16;

/** A class follows this many of its pairs. */
const PAIRS_FOLLOWED = 300;

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
export class SlowdownMemory {
  readonly #mean = new DecayingMean(MEAN_HALF_LIFE);

  readonly #classes: readonly LagClass[] = Array.from({ length: LAG_CLASSES }, () => ({
    ...{ pairs: 0, lag: 0, difference: 0 },
  }));

  #pairs = 0;

  #life = FIRST_LIFE;

  #fittedAt = -Infinity;

  /** Learns the speed of a target that was asked regardless of how quick it is. */
  noteSpeed(speed: number, now: number): void {
    this.#mean.add(speed, now);
  }

  /** Learns from two reports of one target. @param lag time between them in milliseconds */
  notePair(before: number, after: number, lag: number): void {
    if (lag < LEAST_LAG) return;
    const index = Math.floor(Math.log(lag / LEAST_LAG) / Math.log(LAG_STEP));
    const entry = this.#classes[index];
    if (entry === undefined) return;
    entry.pairs = Math.min(PAIRS_FOLLOWED, entry.pairs + 1);
    entry.lag += (lag - entry.lag) / entry.pairs;
    entry.difference += ((after - before) ** 2 - entry.difference) / entry.pairs;
    this.#pairs += 1;
  }

  /** What has been learnt so far. */
  read(now: number): SpeedPattern {
    if (now - this.#fittedAt >= FIT_PACE) {
      this.#fittedAt = now;
      this.#life = this.#fit();
    }
    return { mean: this.#mean.read(FIRST_MEAN), life: this.#life };
  }

  #fit(): number {
    if (this.#pairs < LEAST_PAIRS) return FIRST_LIFE;
    const seen = this.#classes.filter(({ pairs }) => pairs > 0);
    // Without any difference every life fits; the speed of a target is then its mean anyway.
    if (seen.every(({ difference }) => difference === 0)) return FIRST_LIFE;
    let best = FIRST_LIFE;
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
