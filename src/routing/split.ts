/** Chooses the service of a split so that the shares follow the weights at every moment. */
import type { Route, Share } from './route.js';

interface Turn {
  readonly share: Share;
  credit: number;
}

/**
 * Deals the requests of each route over its shares by smooth weighted round robin: after n requests
 * each share has had its part of n to within one, so the sum over all daemons is exact as well.
 */
export class TrafficSplitter {
  readonly #turns = new Map<string, readonly Turn[]>();

  /** @param draw returns a number in [0, 1); it sets where each daemon begins */
  constructor(private readonly draw: () => number) {}

  /** Returns the service that gets the next request of a route; undefined when no weight is left. */
  pick(route: Route): string | undefined {
    if (route.shares.length === 1) return route.shares[0].service;
    const turns = this.#findTurns(route);
    let total = 0;
    let best: Turn | undefined;
    for (const turn of turns) {
      total += turn.share.weight;
      turn.credit += turn.share.weight;
      if (turn.share.weight > 0 && (best === undefined || turn.credit > best.credit)) best = turn;
    }
    if (best === undefined) return undefined;
    best.credit -= total;
    return best.share.service;
  }

  #findTurns(route: Route): readonly Turn[] {
    const key = `${route.name} ${route.shares.map((s) => `${s.service}=${s.weight}`).join(' ')}`;
    const known = this.#turns.get(key);
    if (known !== undefined) return known;
    if (this.#turns.size > MAX_KNOWN_SPLITS) this.#turns.clear();
    const turns = route.shares.map((share) => ({ share, credit: this.draw() * share.weight }));
    this.#turns.set(key, turns);
    return turns;
  }
}

/** Splits remembered; operators change weights now and then, and old ones are of no use. */
const MAX_KNOWN_SPLITS = 2000;
