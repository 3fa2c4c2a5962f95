/** Randomness as a kernel service, so that a run can be repeated from its seed. */
import { randomBytes } from 'node:crypto';
import { createServiceKey } from './kernel.js';

/** The randomness service. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an identifier of 24 hexadecimal digits. */
  id(): string;
}

/** The key of the randomness service. */
export const randomService = createServiceKey<Random>('random');

const ID_BYTES = 12;

/** Identifiers whose random bytes are drawn together, because each draw is a system call. */
const IDS_PER_DRAW = 256;

/** Creates the system's randomness, which is not repeatable. */
export function createSystemRandom(): Random {
  let bytes = Buffer.alloc(0);
  let used = 0;
  const id = () => {
    if (used >= bytes.length) {
      bytes = randomBytes(ID_BYTES * IDS_PER_DRAW);
      used = 0;
    }
    used += ID_BYTES;
    return bytes.toString('hex', used - ID_BYTES, used);
  };
  return { next: () => Math.random(), id };
}

/** Creates a repeatable generator (mulberry32) from a 32-bit seed. */
export function createSeededRandom(seed: number): Random {
  /* eslint-disable no-bitwise -- the generator is defined on 32-bit words */
  let state = seed >>> 0;
  const next = () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let word = Math.imul(state ^ (state >>> 15), state | 1);
    word ^= word + Math.imul(word ^ (word >>> 7), word | 61);
    return ((word ^ (word >>> 14)) >>> 0) / 2 ** 32;
  };
  /* eslint-enable no-bitwise */
  const digit = () => Math.floor(next() * 16).toString(16);
  return { next, id: () => Array.from({ length: ID_BYTES * 2 }, digit).join('') };
}

/** Returns one of `items`, all with equal probability; undefined when the list is empty. */
export function pickItem<T>(items: readonly T[], random: Random): T {
  return items[Math.floor(random.next() * items.length)];
}

/** Returns a copy of `items` in random order. */
export function shuffleItems<T>(items: readonly T[], random: Random): readonly T[] {
  return items
    .map((item) => ({ item, rank: random.next() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ item }) => item);
}
