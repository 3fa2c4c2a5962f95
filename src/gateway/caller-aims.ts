/**
 * How much of a route's aim is left when a request arrives.
 *
 * A caller counts from its own first step: before a request is sent it may look up addresses and open
 * a connection. The time left that it states tells how long that took, against the most that callers
 * of the route state.
 */
import type { Route } from '../routing/index.js';

/** The way of a request and its answer, in milliseconds: callers are about 8 ms away. */
const WAY = 16;

/** A caller that has spent more of the aim than this tries again; its aim counts from here. */
const FIRST_TRY_PART = 0.75;

/** The most time that callers have stated, by route. */
export class CallerAims {
  readonly #full = new Map<string, number>();

  /** Returns for how long an answer that leaves here is fully useful, in milliseconds. */
  read(route: Route, timeLeft: number): number {
    const stated = Number.isFinite(timeLeft) ? timeLeft : 0;
    const full = Math.max(this.#full.get(route.name) ?? 0, stated);
    this.#full.set(route.name, full);
    const spent = stated === 0 ? 0 : full - stated;
    const isFirst = spent < route.targetLatency * FIRST_TRY_PART;
    return Math.max(0, route.targetLatency - WAY - (isFirst ? spent : 0));
  }
}
