/** The number that stands for an incarnation in datagrams between daemons. */
import { hashPair } from '../../balance/home.js';

const HASHES = 2 ** 32;

/** Returns the number; two targets of one installation, or two starts of one, share one about never. */
export function hashIncarnation(incarnation: string, born: number): number {
  return hashPair('incarnation', `${incarnation}/${born}`) % HASHES;
}
