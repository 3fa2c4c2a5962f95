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
const WAY = 16;

/** A stated time counts as what callers have at first once this many stated as much. */
const LEAST_STATEMENTS = 3;

/** What nobody has stated for two such periods is forgotten, in milliseconds. */
const PERIOD = 30_000;

/** Stated times of late from which it is learnt how far those of first tries lie apart. */
const SAMPLES = 64;

/** It is worked out anew after this many, and from so many on. */
const REFRESH = 16;

/**
 * Callers that return state less than all first tries do, and may be many: so only the upper quarter is looked at, and
 * the spread taken for four times what separates it from the longest.
 */
const UPPER_PART = 0.25;

/** The longest times that callers of one route stated in a period, longest first. */
type Longest = readonly number[];

/** What is known of the callers of one route. */
class RouteCallers {
  #current: Longest = [];

  #previous: Longest = [];

  #since = -Infinity;

  readonly #samples: number[] = [];

  #noted = 0;

  #spread = 0;

  note(stated: number, now: number): void {
    if (now - this.#since >= PERIOD) {
      this.#previous = this.#current;
      this.#current = [];
      this.#since = now;
    }
    const [, , least = 0] = this.#current;
    if (stated > least) {
      this.#current = [...this.#current, stated].sort((a, b) => b - a).slice(0, LEAST_STATEMENTS);
    }
    this.#samples[this.#noted % SAMPLES] = stated;
    this.#noted += 1;
    if (this.#noted % REFRESH === 0) this.#spread = this.#measureSpread();
  }

  /** The time that the least patient callers have at first. */
  readFull(): number {
    return this.#readLongest() - this.#spread;
  }

  /** How far the times of first tries lie apart. */
  #measureSpread(): number {
    const sorted = [...this.#samples].sort((a, b) => b - a);
    const upper = sorted[Math.floor(sorted.length * UPPER_PART)];
    return Math.max(0, (this.#readLongest() - upper) / UPPER_PART);
  }

  /** The longest time that callers have at first; a single odd one does not make the others late. */
  #readLongest(): number {
    const known = Math.max(this.#current[LEAST_STATEMENTS - 1] ?? 0, this.#previous.at(-1) ?? 0);
    return known > 0 ? known : (this.#current[0] ?? 0);
  }
}

/** The time that callers have, by route. */
export class LatencyBudgets {
  readonly #routes = new Map<string, RouteCallers>();

  /**
   * Returns for how long an answer that leaves here is fully useful, in milliseconds; below 0 when it
   * is late already.
   */
  read(route: Route, timeLeft: number, now: number): number {
    const full = route.targetLatency - WAY;
    if (!Number.isFinite(timeLeft) || timeLeft <= 0) return full;
    const callers = this.#find(route.name);
    callers.note(timeLeft, now);
    return full - Math.max(0, callers.readFull() - timeLeft);
  }

  #find(name: string): RouteCallers {
    const known = this.#routes.get(name);
    if (known !== undefined) return known;
    const callers = new RouteCallers();
    this.#routes.set(name, callers);
    return callers;
  }
}
