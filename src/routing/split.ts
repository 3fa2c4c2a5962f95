/**
 * Splits the traffic of a route over several services so that it follows the weights at every
 * moment.
 */
import type { Route, Share } from './route.js';

interface WeightedShare {
  readonly share: Share;
  credit: number;
}

/**
 * Distributes the requests of each route over its services by smooth weighted round robin: after n
 * requests each service has got its share of n to within one, so the totals over all daemons are
 * accurate as well.
 */
export class TrafficSplitter {
  readonly #splits = new Map<string, readonly WeightedShare[]>();

  /**
   * @param draw returns a random number in [0, 1), so that daemons start at different points of the
   * rotation
   */
  constructor(private readonly draw: () => number) {}

  /**
   * Returns the service that gets the next request of a route; undefined when all weights are 0.
   */
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

/** The most splits kept. Each change of weights adds one, and earlier ones are no longer used. */
const MAX_CACHED_SPLITS = 2000;
