/**
 * Chooses which targets a call looks at, where there are hundreds.
 *
 * The pattern answered: a service of hundreds of targets, a quarter of which work several times as long, and
 * some hundred calls a second at one home. Looking at all of them each time a call asks for a place takes a good
 * part of the processor. The best of some dozens drawn at random is as quick: with 64 drawn, a tenth of which are
 * quick and free, nearly always one of those is among them. And homes that draw for themselves do not all send to
 * the same target. Most are drawn from this daemon's own failure domain, as reports from there are its own and
 * bytes to other domains are paid for.
 */
import type { Random } from '../kernel/index.js';

/** Up to this many targets all are looked at: pooling of few slots is worth more than the time. */
export const MAX_CANDIDATES = 64;

/** Targets drawn from where there are more: of the own failure domain, and of the others. */
const SAME_DOMAIN_SAMPLE = 40;
const OTHER_DOMAINS_SAMPLE = 24;

/** Takes up to `count` usable items that stand together from a random place on, going round. */
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

/** What drawing depends on. */
export interface DrawOptions<T> {
  readonly random: Random;
  /** Whether the call may go there. */
  readonly isUsable: (candidate: T) => boolean;
}

/** The targets of a service, in an order that says nothing of them. */
export interface CandidatePool<T> {
  /** Those in the failure domain of this daemon. */
  readonly sameDomain: readonly T[];
  readonly otherDomains: readonly T[];
}

/** Draws the targets that a call looks at; all of them where they are few. */
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
