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
const NEAR_DRAWN = 40;
const FAR_DRAWN = 24;

/** Takes up to `count` usable items that stand together from a random place on, going round. */
function* pickFrom<T>(
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
  { sameDomain: near, otherDomains: far }: CandidatePool<T>,
  terms: DrawOptions<T>,
): readonly T[] {
  if (near.length + far.length <= MAX_CANDIDATES) {
    return [...near, ...far].filter(terms.isUsable);
  }
  const nearCount = Math.max(NEAR_DRAWN, MAX_CANDIDATES - far.length);
  const drawn = [...pickFrom(near, nearCount, terms)];
  const farCount = Math.max(FAR_DRAWN, MAX_CANDIDATES - drawn.length);
  return [...drawn, ...pickFrom(far, farCount, terms)];
}
