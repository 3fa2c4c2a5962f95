/**
 * A body that is read piece by piece. Each piece that the parser passes on costs an object of its
 * own, many times its size if it is short, so pieces are copied into one growing buffer.
 *
 * A buffer that nobody else has seen is used again. Memory that is left to the garbage collector
 * occupies the machine until it runs, and buffers hardly make it run.
 */

/** Capacities of the buffers, in bytes; longer ones have the length that they need. */
const CAPACITIES: readonly number[] = [16_384, 65_536, 262_144, 1_048_576];

/** What is kept for later use, in bytes. */
const MAX_POOLED_BYTES = 8_388_608;

/** Buffers that were given back, by capacity. */
class BufferPool {
  readonly #free = new Map<number, Buffer[]>();

  #bytes = 0;

  take(capacity: number): Buffer {
    const pooled = this.#free.get(capacity)?.pop();
    if (pooled === undefined) return Buffer.allocUnsafeSlow(capacity);
    this.#bytes -= capacity;
    return pooled;
  }

  put(buffer: Buffer): void {
    const { length: capacity } = buffer;
    if (!CAPACITIES.includes(capacity) || this.#bytes + capacity > MAX_POOLED_BYTES) return;
    this.#bytes += capacity;
    const free = this.#free.get(capacity);
    if (free === undefined) this.#free.set(capacity, [buffer]);
    else free.push(buffer);
  }
}

const pool = new BufferPool();

const EMPTY = Buffer.alloc(0);

/** Collects the pieces of one body. */
export class BodyBuffer {
  #data: Buffer = EMPTY;

  #length = 0;

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
    if (needed > this.#data.length) this.#grow(needed);
    piece.copy(this.#data, this.#length);
    this.#length = needed;
  }

  #grow(needed: number): void {
    const grown = pool.take(CAPACITIES.find((capacity) => capacity >= needed) ?? 2 * needed);
    this.#data.copy(grown, 0, 0, this.#length);
    pool.put(this.#data);
    this.#data = grown;
  }

  /** Returns what was added and starts anew. */
  take(): Buffer {
    const taken = this.#data.subarray(0, this.#length);
    this.#clear();
    return taken;
  }

  /** Drops what was added, so that its memory is used again. */
  discard(): void {
    pool.put(this.#data);
    this.#clear();
  }

  #clear(): void {
    this.#data = EMPTY;
    this.#length = 0;
  }
}
