/**
 * Chooses which targets a call looks at, where there are hundreds.
 *
 * The pattern answered: a service of hundreds of targets, a quarter of which work several times as long, and
 * some hundred calls a second at one home. Looking at 416 targets takes 150 us each time a call asks
 * for a place, with warm code; at 64, 50 us. The best of some dozens drawn at random is as quick: with 64 drawn, a tenth of
 * which are quick and free, none is among them once in 800 calls. And homes that draw for themselves do not all
 * send to the same target. Most are drawn from this daemon's own failure domain, as reports from there are its
 * own and bytes to other domains are paid for.
 */
import type { Random } from '../kernel/index.js';

/** Up to this many targets all are looked at: pooling of few slots is worth more than the time. */
const MOST_LOOKED_AT = 64;

/** Targets drawn from where there are more: of the own failure domain, and of the others. */
const NEAR_DRAWN = 40;
const FAR_DRAWN = 24;

/** Moves `count` random items to the front and returns those. */
function drawItems<T>(items: T[], count: number, random: Random): readonly T[] {
  const most = Math.min(count, items.length);
  for (let at = 0; at < most; at += 1) {
    const other = at + Math.floor(random.next() * (items.length - at));
    [items[at], items[other]] = [items[other], items[at]];
  }
  return items.slice(0, most);
}

/** Draws the targets that a call looks at; all of them where they are few. */
export function drawCandidates<T>(
  candidates: readonly T[],
  isFar: (candidate: T) => boolean,
  random: Random,
): readonly T[] {
  if (candidates.length <= MOST_LOOKED_AT) return candidates;
  const near: T[] = [];
  const far: T[] = [];
  for (const candidate of candidates) (isFar(candidate) ? far : near).push(candidate);
  const nearCount = Math.max(NEAR_DRAWN, MOST_LOOKED_AT - far.length);
  const drawn = drawItems(near, nearCount, random);
  const farCount = Math.max(FAR_DRAWN, MOST_LOOKED_AT - drawn.length);
  return [...drawn, ...drawItems(far, farCount, random)];
}
