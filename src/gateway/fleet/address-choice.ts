/**
 * Which homes a caller is told: the near ones, and one more for when those are gone.
 *
 * The pattern answered: homes of very different strength. Callers take any of the addresses that they are told, each
 * as often as another, so a machine with a fifth of a core got as many calls as one with a whole core, was busy all
 * the time, and made the first home plan for more homes, all of them weak. So a home is named the less often the
 * weaker it is.
 */
import type { Random } from '../../kernel/index.js';
import type { MemberInfo } from '../../peering/index.js';

/** A home that has at least this part of the strongest one's cores may be a spare. */
const SPARE_PART = 0.5;

function findStrongest(homes: readonly MemberInfo[]): number {
  return Math.max(0, ...homes.map(({ capacity }) => capacity));
}

/** Draws homes, each as often as it has cores; the strongest ones always. */
function drawByStrength(homes: readonly MemberInfo[], random: Random): readonly MemberInfo[] {
  const strongest = findStrongest(homes);
  return homes.filter(({ capacity }) => random.next() * strongest < capacity);
}

/**
 * Chooses the homes for a caller in a failure domain.
 *
 * The spare is the home that follows the near ones in order: a caller whose only address is gone has
 * nowhere to go. Each home is the spare of one other, so none gets more than its part.
 */
export function chooseHomes(
  homes: readonly MemberInfo[],
  domain: string,
  random: Random,
): readonly MemberInfo[] {
  const near = homes.filter((home) => home.domain === domain);
  if (near.length === 0) return drawByStrength(homes, random);
  const after = homes.indexOf(near[near.length - 1]) + 1;
  const strongest = findStrongest(homes);
  const spare = [...homes.slice(after), ...homes].find(
    (home) => !near.includes(home) && home.capacity >= SPARE_PART * strongest,
  );
  const named = drawByStrength(near, random);
  return spare === undefined ? named : [...named, spare];
}
