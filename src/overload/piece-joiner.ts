/** Streams a body whose pieces may be very short. */
import { Transform, type TransformCallback } from 'node:stream';
import { BodyBuffer } from '../kernel/index.js';

/** Pieces are joined up to this size, in bytes. */
const JOINED_PIECE_BYTES = 16_384;

/**
 * Joins the pieces of a chunked body that arrive together: each one would be sent on as a chunk of
 * its own, however short it is.
 */
export class PieceJoiner extends Transform {
  readonly #buffer = new BodyBuffer();

  #isScheduled = false;

  #bytes = 0;

  /** @param onTooLong called when the body is longer than `maxBytes`; nothing more is passed on */
  constructor(
    private readonly maxBytes = Infinity,
    private readonly onTooLong: () => void = () => undefined,
  ) {
    super();
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.maxBytes) {
      this.onTooLong();
      return;
    }
    if (chunk.length >= JOINED_PIECE_BYTES) {
      this.#pushJoined();
      done(null, chunk);
      return;
    }
    this.#buffer.append(chunk);
    if (this.#buffer.length >= JOINED_PIECE_BYTES) this.#pushJoined();
    else this.#schedulePush();
    done();
  }

  override _flush(done: TransformCallback): void {
    this.#pushJoined();
    done();
  }

  #schedulePush(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      if (!this.destroyed && !this.readableEnded) this.#pushJoined();
    });
  }

  #pushJoined(): void {
    if (this.#buffer.length > 0) this.push(this.#buffer.take());
  }
}
