/**
 * Decides whether an answer that has ended is whole. Nothing else may conclude it: neither Node's
 * `complete` nor the lack of an error tells, for an answer without a length, whether its connection
 * was reset.
 *
 * | framing | whole when |
 * |---|---|
 * | none | its head is valid |
 * | length | as many bytes have arrived |
 * | chunked | its last chunk and its trailers have arrived |
 * | close | its target has ended the connection in order, and its body holds no second answer |
 */
import type { SocketEndWatch } from '../kernel/index.js';
import type { AnswerFraming } from './answer-framing.js';
import { SecondAnswerScanner } from './second-answer.js';

/** Why an answer is not whole. */
export type AnswerFault =
  /** It ended before its length or its last chunk. */
  | 'truncated'
  /** It has no length, and its connection was not ended in order by its target. */
  | 'reset'
  /** It has no length, and another answer follows in its body. */
  | 'second-answer';

/** How an answer has ended. */
export type AnswerVerdict = 'whole' | AnswerFault;

/** What an answer is judged by. */
export interface AnswerEndOptions {
  readonly framing: AnswerFraming;
  /** The connection on which it arrives. */
  readonly connection: SocketEndWatch;
  /** Names of header fields that any answer has, in lower case. */
  readonly fields: ReadonlySet<string>;
}

/** Observes the body of one answer, and judges its end. */
export class AnswerEnd {
  readonly framing: AnswerFraming;

  readonly #connection: SocketEndWatch;

  readonly #scanner: SecondAnswerScanner | undefined;

  #bodyBytes = 0;

  constructor({ framing, connection, fields }: AnswerEndOptions) {
    this.framing = framing;
    this.#connection = connection;
    this.#scanner = framing === 'close' ? new SecondAnswerScanner(fields) : undefined;
  }

  /** Observes the next part of the body. */
  observe(part: Buffer): void {
    this.#bodyBytes += part.length;
    this.#scanner?.add(part);
  }

  /** Length of what has arrived of the body, in bytes. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Whether another answer has begun in the body. */
  get hasSecondAnswer(): boolean {
    return this.#scanner?.hasFound === true;
  }

  /** Judges the answer, once no more of it comes; `isComplete` is what its parser says. */
  judge(isComplete: boolean): AnswerVerdict {
    switch (this.framing) {
      case 'none':
      case 'length':
      case 'chunked':
        return isComplete ? 'whole' : 'truncated';
      case 'close':
        if (this.hasSecondAnswer) return 'second-answer';
        if (this.#connection.end !== 'orderly') return 'reset';
        return this.#scanner?.isInHead === true ? 'second-answer' : 'whole';
      default:
        return this.framing satisfies never;
    }
  }
}
