/** Reads answers from targets and from daemons that carry calls. */
import type { IncomingMessage } from 'node:http';
import type { RequestMemory } from '../../overload/index.js';
import { readHeader } from '../../platform/index.js';

/**
 * A target's answer. The body is complete, or `body` is its first part and `rest` the stream of the
 * remainder.
 */
export interface TargetAnswer {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly rest: IncomingMessage | undefined;
  /** Whether the target signed it. */
  readonly isSigned: boolean;
  /**
   * Whether it has a Content-Length or is chunked; otherwise only the close of the connection ends
   * it.
   */
  readonly isDelimited: boolean;
}

/** Longest answer that is buffered, in bytes: many times the users' longest. */
const MAX_BUFFERED_ANSWER_BYTES = 262_144;

/** Receives an answer, or learns that it broke off before it was complete. */
export interface AnswerListener {
  onAnswer(answer: TargetAnswer): void;
  onBroken(): void;
}

/** What is known of an answer when its head has arrived. */
export interface AnswerContext {
  /** Whether the target has signed it. */
  readonly isSigned: boolean;
  /** What the caller's request and its answer hold; undefined where memory is not limited. */
  readonly memory: RequestMemory | undefined;
}

/** Reads the body of an answer up to the limit; a longer one is passed on as a stream. */
export function readAnswer(
  response: IncomingMessage,
  { isSigned, memory }: AnswerContext,
  { onAnswer, onBroken }: AnswerListener,
): void {
  const chunks: Buffer[] = [];
  let length = 0;
  const createAnswer = (rest: IncomingMessage | undefined): TargetAnswer => ({
    status: response.statusCode ?? 0,
    rawHeaders: response.rawHeaders,
    body: Buffer.concat(chunks),
    rest,
    isSigned,
    isDelimited:
      readHeader(response.headers, 'content-length') !== undefined ||
      readHeader(response.headers, 'transfer-encoding') !== undefined,
  });
  const onData = (chunk: Buffer) => {
    chunks.push(chunk);
    length += chunk.length;
    memory?.charge(chunk.length);
    if (length <= MAX_BUFFERED_ANSWER_BYTES) return;
    response.pause();
    response.removeListener('data', onData);
    response.removeListener('end', onEnd);
    onAnswer(createAnswer(response));
  };
  const onEnd = () => {
    if (response.complete) onAnswer(createAnswer(undefined));
    else onBroken();
  };
  response.on('data', onData);
  response.on('end', onEnd);
  response.on('aborted', onBroken);
}
