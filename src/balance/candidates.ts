/**
 * Samples the targets that are compared for a call when a service has hundreds.
 *
 * Comparing all targets for each call takes a large part of the processor where a service has
 * hundreds of targets, a quarter of them several times slower, and one home has about a hundred
 * calls a second. The best of some dozens drawn at random is as fast: among 64 drawn targets there
 * is nearly always a fast and free one, even if only a tenth are. Homes that draw independently
 * also don't all send to the same target. Most targets are drawn from this daemon's own failure
 * domain, because reports from there are its own and traffic to other domains is paid for.
 */
import type { Random } from '../kernel/index.js';

/** Up to this many targets are all compared: with few slots, pooling them is worth the time. */
export const MAX_CANDIDATES = 64;

/** Sample sizes of a larger service: from the own failure domain, and from the others. */
const SAME_DOMAIN_SAMPLE = 40;
const OTHER_DOMAINS_SAMPLE = 24;

/**
 * Yields up to `count` usable items: consecutive ones from a random position on, wrapping around.
 */
function* drawRange<T>(
  items: readonly T[],
  count: number,
  { random, isUsable }: DrawOptions<T>,
): Iterable<T> {
  const start = Math.floor(random.next() * items.length);
  let taken = 0;
  for (let step = 0; step < items.length && taken < count; step += 1) {
    const item = items[(start + step) % items.length];
    if (!isUsable(item)) continue;
    taken += 1;
    yield item;
  }
}

/** Options of {@link drawCandidates}. */
export interface DrawOptions<T> {
  readonly random: Random;
  /** Whether the call may go to the target. */
  readonly isUsable: (candidate: T) => boolean;
}

/** The targets of a service, in an order that does not depend on their state. */
export interface CandidatePool<T> {
  /** Targets in the failure domain of this daemon. */
  readonly sameDomain: readonly T[];
  readonly otherDomains: readonly T[];
}

/** Draws the targets that are compared for a call; all of them up to {@link MAX_CANDIDATES}. */
export function drawCandidates<T>(
  { sameDomain, otherDomains }: CandidatePool<T>,
  options: DrawOptions<T>,
): readonly T[] {
  if (sameDomain.length + otherDomains.length <= MAX_CANDIDATES) {
    return [...sameDomain, ...otherDomains].filter(options.isUsable);
  }
  const sameDomainCount = Math.max(SAME_DOMAIN_SAMPLE, MAX_CANDIDATES - otherDomains.length);
  const drawn = [...drawRange(sameDomain, sameDomainCount, options)];
  const otherDomainsCount = Math.max(OTHER_DOMAINS_SAMPLE, MAX_CANDIDATES - drawn.length);
  return [...drawn, ...drawRange(otherDomains, otherDomainsCount, options)];
}
