/** Chooses the service of a split so that the shares follow the weights at every moment. */
import type { Route, Share } from './route.js';

interface WeightedShare {
  readonly share: Share;
  credit: number;
}

/**
 * Deals the requests of each route over its shares by smooth weighted round robin: after n requests
 * each share has had its part of n to within one, so the sum over all daemons is exact as well.
 */
export class TrafficSplitter {
  readonly #splits = new Map<string, readonly WeightedShare[]>();

  /** @param draw returns a number in [0, 1); it sets where each daemon begins */
  constructor(private readonly draw: () => number) {}

  /** Returns the service that gets the next request of a route; undefined when no weight is left. */
  pick(route: Route): string | undefined {
    if (route.shares.length === 1) return route.shares[0].service;
    const split = this.#findSplit(route);
    let total = 0;
    let best: WeightedShare | undefined;
    for (const entry of split) {
      total += entry.share.weight;
      entry.credit += entry.share.weight;
      if (entry.share.weight > 0 && (best === undefined || entry.credit > best.credit))
        best = entry;
    }
    if (best === undefined) return undefined;
    best.credit -= total;
    return best.share.service;
  }

  #findSplit(route: Route): readonly WeightedShare[] {
    const key = `${route.name} ${route.shares.map((s) => `${s.service}=${s.weight}`).join(' ')}`;
    const known = this.#splits.get(key);
    if (known !== undefined) return known;
    if (this.#splits.size > MAX_CACHED_SPLITS) this.#splits.clear();
    const split = route.shares.map((share) => ({ share, credit: this.draw() * share.weight }));
    this.#splits.set(key, split);
    return split;
  }
}

/** Splits remembered; operators change weights now and then, and old ones are of no use. */
const MAX_CACHED_SPLITS = 2000;
