/**
 * A body that is read piece by piece. Each piece that the parser passes on costs an object of its
 * own, many times its size if it is short, so pieces are copied into one growing buffer.
 */

const MIN_CAPACITY_BYTES = 16_384;

/** Each growth leaves a buffer behind that occupies memory until it is collected. */
const GROWTH_FACTOR = 4;

/** Collects the pieces of one body. */
export class BodyBuffer {
  #data: Buffer = Buffer.alloc(0);

  #length = 0;

  /** @param maxLength length that the body will not exceed, if it is known */
  constructor(private readonly maxLength = Infinity) {}

  /** Bytes that were added. */
  get length(): number {
    return this.#length;
  }

  /** Bytes that are occupied. */
  get capacity(): number {
    return this.#data.length;
  }

  /** Adds a piece. */
  append(piece: Buffer): void {
    const needed = this.#length + piece.length;
    if (needed > this.#data.length) {
      const grown = Buffer.allocUnsafeSlow(this.#chooseCapacity(needed));
      this.#data.copy(grown, 0, 0, this.#length);
      this.#data = grown;
    }
    piece.copy(this.#data, this.#length);
    this.#length = needed;
  }

  #chooseCapacity(needed: number): number {
    const grown = Math.max(MIN_CAPACITY_BYTES, this.#data.length * GROWTH_FACTOR);
    return Math.max(needed, Math.min(grown, this.maxLength));
  }

  /** Returns what was added and starts anew. */
  take(): Buffer {
    const taken = this.#data.subarray(0, this.#length);
    this.#data = Buffer.alloc(0);
    this.#length = 0;
    return taken;
  }
}
