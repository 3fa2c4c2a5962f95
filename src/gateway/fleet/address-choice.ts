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
const MIN_SPARE_CAPACITY_FRACTION = 0.5;

function findMaxCapacity(homes: readonly MemberInfo[]): number {
  return Math.max(0, ...homes.map(({ capacity }) => capacity));
}

/** Draws homes, each as often as it has cores; the strongest ones always. */
function drawByCapacity(homes: readonly MemberInfo[], random: Random): readonly MemberInfo[] {
  const maxCapacity = findMaxCapacity(homes);
  return homes.filter(({ capacity }) => random.next() * maxCapacity < capacity);
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
  if (near.length === 0) return drawByCapacity(homes, random);
  const afterNear = homes.indexOf(near[near.length - 1]) + 1;
  const maxCapacity = findMaxCapacity(homes);
  const spare = [...homes.slice(afterNear), ...homes].find(
    (home) => !near.includes(home) && home.capacity >= MIN_SPARE_CAPACITY_FRACTION * maxCapacity,
  );
  const chosen = drawByCapacity(near, random);
  return spare === undefined ? chosen : [...chosen, spare];
}
