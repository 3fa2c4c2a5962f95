/** Which homes a caller is told: the near ones, and one more for when those are gone. */
import type { MemberInfo } from '../peering/index.js';

/**
 * Chooses the homes for a caller in a failure domain.
 *
 * The spare is the home that follows the near ones in order: a caller whose only address is gone has
 * nowhere to go. Each home is the spare of one other, so none gets more than its part.
 */
export function chooseHomes(homes: readonly MemberInfo[], domain: string): readonly MemberInfo[] {
  const near = homes.filter((home) => home.domain === domain);
  if (near.length === 0) return homes;
  const after = homes.indexOf(near[near.length - 1]) + 1;
  const spare = [...homes.slice(after), ...homes].find((home) => !near.includes(home));
  return spare === undefined ? near : [...near, spare];
}
