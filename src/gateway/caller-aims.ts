/**
 * How much of a route's aim is left when a request arrives.
 *
 * A caller counts from its first try: before a request is sent it may have looked up addresses, opened
 * a connection, or been sent back or cut off here already. The time left that it states tells how long
 * all that took, against the time that callers of the route have at first.
 */
import type { Route } from '../routing/index.js';

/** The way of a request and its answer, in milliseconds: callers are about 8 ms away. */
const WAY = 16;

/** A stated time counts as what callers have at first once this many stated as much. */
const LEAST_STATEMENTS = 3;

/** What nobody has stated for two such periods is forgotten, in milliseconds. */
const PERIOD = 30_000;

/** The longest times that callers of one route stated in a period, longest first. */
type Longest = readonly number[];

/** What is known of the callers of one route. */
class RouteCallers {
  #current: Longest = [];

  #previous: Longest = [];

  #since = -Infinity;

  note(stated: number, now: number): void {
    if (now - this.#since >= PERIOD) {
      this.#previous = this.#current;
      this.#current = [];
      this.#since = now;
    }
    const [, , least = 0] = this.#current;
    if (stated <= least) return;
    this.#current = [...this.#current, stated].sort((a, b) => b - a).slice(0, LEAST_STATEMENTS);
  }

  /** The time that callers have at first; a single odd one does not make the others late. */
  readFull(): number {
    const known = Math.max(this.#current[LEAST_STATEMENTS - 1] ?? 0, this.#previous.at(-1) ?? 0);
    return known > 0 ? known : (this.#current[0] ?? 0);
  }
}

/** The time that callers have, by route. */
export class CallerAims {
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
