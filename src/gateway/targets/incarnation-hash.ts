/** The hash that identifies an incarnation in datagrams between daemons. */
import { hashPair } from '../../balance/home.js';

const HASHES = 2 ** 32;

/**
 * Hashes an incarnation of a target to 32 bits. Collisions between the targets of one installation,
 * or two starts of one target, are negligible.
 */
export function hashIncarnation(incarnation: string, born: number): number {
  return hashPair('incarnation', `${incarnation}/${born}`) % HASHES;
}
