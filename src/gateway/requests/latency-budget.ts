/**
 * How much of a route's aim is left when a request arrives.
 *
 * A caller counts from its first try: before a request is sent it may have looked up addresses, opened
 * a connection, or been sent back or cut off here already. The time left that it states tells how long
 * all that took, against the time that callers of the route have at first.
 *
 * The pattern answered: callers who are not equally patient. Where first tries state times that lie 15 in 100 apart, and
 * a route's aim is shorter than that, measuring all against the longest one takes nearly every request for late, and
 * late ones go behind and are given up sooner. So how far first tries lie apart is learnt, and the least patient ones
 * are what others are measured against.
 */
import type { Route } from '../../routing/index.js';

/** The way of a request and its answer, in milliseconds: callers are about 8 ms away. */
const ROUND_TRIP_MS = 16;

/** A stated time counts as what callers have at first once this many stated as much. */
const MIN_STATED_COUNT = 3;

/** What nobody has stated for two such periods is forgotten, in milliseconds. */
const PERIOD_MS = 30_000;

/** Stated times of late from which it is learnt how far those of first tries lie apart. */
const MAX_SAMPLES = 64;

/** It is worked out anew after this many, and from so many on. */
const SPREAD_UPDATE_COUNT = 16;

/**
 * Callers that return state less than all first tries do, and may be many: so only the upper quarter is looked at, and
 * the spread taken for four times what separates it from the longest.
 */
const UPPER_FRACTION = 0.25;

/** The longest times that callers of one route stated in a period, longest first. */
type LongestTimes = readonly number[];

/** What is known of the callers of one route. */
class StatedTimes {
  #current: LongestTimes = [];

  #previous: LongestTimes = [];

  #periodStart = -Infinity;

  readonly #samples: number[] = [];

  #recordedCount = 0;

  #spread = 0;

  record(statedTime: number, now: number): void {
    if (now - this.#periodStart >= PERIOD_MS) {
      this.#previous = this.#current;
      this.#current = [];
      this.#periodStart = now;
    }
    const [, , lowest = 0] = this.#current;
    if (statedTime > lowest) {
      this.#current = [...this.#current, statedTime]
        .sort((a, b) => b - a)
        .slice(0, MIN_STATED_COUNT);
    }
    this.#samples[this.#recordedCount % MAX_SAMPLES] = statedTime;
    this.#recordedCount += 1;
    if (this.#recordedCount % SPREAD_UPDATE_COUNT === 0) this.#spread = this.#estimateSpread();
  }

  /** The time that the least patient callers have at first. */
  estimateShortest(): number {
    return this.#estimateLongest() - this.#spread;
  }

  /** How far the times of first tries lie apart. */
  #estimateSpread(): number {
    const sorted = [...this.#samples].sort((a, b) => b - a);
    const upperQuartile = sorted[Math.floor(sorted.length * UPPER_FRACTION)];
    return Math.max(0, (this.#estimateLongest() - upperQuartile) / UPPER_FRACTION);
  }

  /** The longest time that callers have at first; a single odd one does not make the others late. */
  #estimateLongest(): number {
    const known = Math.max(this.#current[MIN_STATED_COUNT - 1] ?? 0, this.#previous.at(-1) ?? 0);
    return known > 0 ? known : (this.#current[0] ?? 0);
  }
}

/** The time that callers have, by route. */
export class LatencyBudgets {
  readonly #routes = new Map<string, StatedTimes>();

  /**
   * Returns for how long an answer that leaves here is fully useful, in milliseconds; below 0 when it
   * is late already.
   */
  read(route: Route, timeLeft: number, now: number): number {
    const fullBudget = route.targetLatency - ROUND_TRIP_MS;
    if (!Number.isFinite(timeLeft) || timeLeft <= 0) return fullBudget;
    const statedTimes = this.#find(route.name);
    statedTimes.record(timeLeft, now);
    return fullBudget - Math.max(0, statedTimes.estimateShortest() - timeLeft);
  }

  #find(name: string): StatedTimes {
    const known = this.#routes.get(name);
    if (known !== undefined) return known;
    const statedTimes = new StatedTimes();
    this.#routes.set(name, statedTimes);
    return statedTimes;
  }
}
