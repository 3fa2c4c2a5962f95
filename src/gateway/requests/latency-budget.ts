/**
 * How much of a route's target latency is left when a request arrives.
 *
 * A caller counts from its first try: before a request is sent it may have looked up addresses,
 * opened a connection, or been refused or disconnected by this daemon. The remaining time that the
 * request states shows how long all that took, compared with the time that callers of the route
 * have at first.
 *
 * It handles callers with different time-outs. Where the times of first tries differ by 15% and a
 * route's target latency is shorter than that difference, comparing all requests with the longest
 * time would treat nearly all of them as late; late ones queue behind the others and are given up
 * sooner. So the spread of first tries is estimated, and requests are compared with the shortest
 * time of a first try.
 */
import type { Route } from '../../routing/index.js';

/** Round trip between caller and daemon, in milliseconds: callers are about 8 ms away. */
const ROUND_TRIP_MS = 16;

/** A time counts as that of first tries once this many requests stated as much. */
const MIN_STATED_COUNT = 3;

/** Times that no request stated during two such periods are forgotten, in milliseconds. */
const PERIOD_MS = 30_000;

/** Number of latest stated times from which the spread of first tries is estimated. */
const MAX_SAMPLES = 64;

/** The spread is estimated anew, and first, after this many stated times. */
const SPREAD_UPDATE_COUNT = 16;

/**
 * Retries state less time than any first try, and there may be many of them. So only the upper
 * quarter of the stated times is used, and the spread is estimated as four times its range.
 */
const UPPER_FRACTION = 0.25;

/** The longest times stated by callers of one route in a period, in descending order. */
type LongestTimes = readonly number[];

/** The times stated by callers of one route. */
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

  /** Estimates the shortest time that a first try of this route states. */
  estimateShortest(): number {
    return this.#estimateLongest() - this.#spread;
  }

  /** Estimates the difference between the longest and the shortest time of first tries. */
  #estimateSpread(): number {
    const sorted = [...this.#samples].sort((a, b) => b - a);
    const upperQuartile = sorted[Math.floor(sorted.length * UPPER_FRACTION)];
    return Math.max(0, (this.#estimateLongest() - upperQuartile) / UPPER_FRACTION);
  }

  /** The longest time of first tries; a single outlier does not make all other requests late. */
  #estimateLongest(): number {
    const known = Math.max(this.#current[MIN_STATED_COUNT - 1] ?? 0, this.#previous.at(-1) ?? 0);
    return known > 0 ? known : (this.#current[0] ?? 0);
  }
}

/** Latency budgets by route, learnt from the remaining times that callers state. */
export class LatencyBudgets {
  readonly #routes = new Map<string, StatedTimes>();

  /**
   * Returns for how long an answer that leaves this daemon is fully useful, in milliseconds;
   * negative when it is late already. Also records the stated time.
   *
   * @param timeLeft the remaining time that the request states, in milliseconds; NaN when it
   *   states none
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
