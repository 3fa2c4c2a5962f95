/**
 * Writes the body of an answer to its caller. Pieces that arrive together are joined, as each one
 * would be sent on as a chunk of its own, however short it is.
 */
import type { ServerResponse } from 'node:http';
import { BodyBuffer, findRequestMemory } from '../overload/index.js';

/** Pieces are joined up to this size, in bytes. */
const JOINED_PIECE_BYTES = 16_384;

/** What the connection to a target may hold while its answer is not read, in bytes. */
const PAUSED_SOCKET_BYTES = 131_072;

/** The body of one answer. */
export class AnswerWriter {
  readonly #joined = new BodyBuffer();

  #isScheduled = false;

  #charged = 0;

  constructor(private readonly response: ServerResponse) {}

  /** Adds a piece; returns whether more may be added before the response drains. */
  add(piece: Buffer): boolean {
    if (piece.length >= JOINED_PIECE_BYTES) {
      this.#writeJoined();
      this.response.write(piece);
    } else {
      this.#joined.append(piece);
      if (this.#joined.length >= JOINED_PIECE_BYTES) this.#writeJoined();
      else this.#scheduleWrite();
    }
    this.updateCharge();
    return !this.response.writableNeedDrain;
  }

  /** Charges the caller's connection for what is held now. */
  updateCharge(): void {
    const { writableLength, writableNeedDrain } = this.response;
    const paused = writableNeedDrain ? PAUSED_SOCKET_BYTES : 0;
    const held = this.#joined.capacity + writableLength + paused;
    const more = held - this.#charged;
    this.#charged = held;
    const memory = findRequestMemory(this.response.req);
    if (more > 0) memory?.charge(more);
    else memory?.release(-more);
  }

  /** Writes what was added, as the answer ends. */
  finish(): void {
    this.#writeJoined();
  }

  /** Drops what was added, as the answer has broken off. */
  discard(): void {
    this.#joined.discard();
  }

  #scheduleWrite(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#writeJoined();
    });
  }

  #writeJoined(): void {
    if (this.#joined.length > 0) this.response.write(this.#joined.take());
  }
}
