/**
 * Chooses the homes whose addresses a caller gets: those in its failure domain, and one spare for
 * when they are gone.
 *
 * It serves homes of very different capacity. Callers use each address that they get equally often.
 * So a machine with a fifth of a core would get as many calls as one with a whole core, be busy all
 * the time, and make the first home plan for more homes, all of them weak. Therefore a home is
 * included with a probability in proportion to its capacity.
 */
import type { Random } from '../../kernel/index.js';
import type { MemberInfo } from '../../peering/index.js';

/** Smallest capacity of a spare, as a fraction of the strongest home's. */
const MIN_SPARE_CAPACITY_FRACTION = 0.5;

function findMaxCapacity(homes: readonly MemberInfo[]): number {
  return Math.max(0, ...homes.map(({ capacity }) => capacity));
}

/**
 * Draws homes with a probability in proportion to their capacity; the strongest are always
 * included.
 */
function drawByCapacity(homes: readonly MemberInfo[], random: Random): readonly MemberInfo[] {
  const maxCapacity = findMaxCapacity(homes);
  return homes.filter(({ capacity }) => random.next() * maxCapacity < capacity);
}

/**
 * Chooses the homes for a caller in a failure domain.
 *
 * The spare is the home that follows the near ones in order, because a caller whose only address is
 * gone has nowhere to go. Each home is the spare for one other, so none gets more than its part.
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
