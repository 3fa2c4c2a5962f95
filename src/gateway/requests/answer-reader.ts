/** Reads answers from targets and from daemons that carry calls. */
import type { IncomingMessage } from 'node:http';
import type { SocketEndWatch } from '../../kernel/index.js';
import { type RequestMemory, findAnswerMemory } from '../../overload/index.js';
import { HEADERS } from '../../platform/index.js';
import { AnswerEnd, type AnswerFault } from '../../proxy/answer-end.js';
import { findFraming } from '../../proxy/answer-framing.js';

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
  /** Observes the body, that of `rest` included, and judges whether it is whole. */
  readonly end: AnswerEnd;
}

/** Longest answer that is buffered, in bytes: many times the users' longest. */
const MAX_BUFFERED_ANSWER_BYTES = 262_144;

/** Estimated memory of a piece of the body besides its bytes, in bytes. */
const PIECE_BYTES = 384;

/** Receives an answer, or learns why it is not whole. */
export interface AnswerListener {
  onAnswer(answer: TargetAnswer): void;
  onBroken(fault: AnswerFault): void;
}

/** Fields of which each answer of a target has one, and that other texts hardly quote. */
const ANSWER_FIELDS: ReadonlySet<string> = new Set([
  HEADERS.requestId.toLowerCase(),
  HEADERS.signature.toLowerCase(),
]);

/** What is known of an answer when its head has arrived. */
export interface AnswerContext {
  /** The method of the request. */
  readonly method: string;
  /** The connection on which it arrives. */
  readonly connection: SocketEndWatch;
  /** Whether the target has signed it. */
  readonly isSigned: boolean;
  /** What the caller's request and its answer hold; undefined where memory is not limited. */
  readonly memory: RequestMemory | undefined;
}

/** Reads the body of an answer up to the limit; a longer one is passed on as a stream. */
export function readAnswer(
  response: IncomingMessage,
  { method, connection, isSigned, memory }: AnswerContext,
  { onAnswer, onBroken }: AnswerListener,
): void {
  const { statusCode: status = 0, rawHeaders } = response;
  const framing = findFraming({ method, status, rawHeaders });
  const end = new AnswerEnd({ framing, connection, fields: ANSWER_FIELDS });
  const chunks: Buffer[] = [];
  const answerMemory = findAnswerMemory(response);
  const createAnswer = (rest: IncomingMessage | undefined): TargetAnswer => {
    // From now on it is the caller's slowness that holds it.
    answerMemory?.releaseAll();
    memory?.charge(end.bodyBytes);
    return { status, rawHeaders, isSigned, body: Buffer.concat(chunks), rest, end };
  };
  const onData = (chunk: Buffer) => {
    chunks.push(chunk);
    end.observe(chunk);
    answerMemory?.charge(chunk.length + PIECE_BYTES);
    if (end.hasSecondAnswer) {
      response.destroy();
      onBroken('second-answer');
      return;
    }
    if (end.bodyBytes <= MAX_BUFFERED_ANSWER_BYTES) return;
    response.pause();
    response.removeListener('data', onData);
    response.removeListener('end', onEnd);
    onAnswer(createAnswer(response));
  };
  const onEnd = () => {
    const verdict = end.judge(response.complete);
    if (verdict === 'whole') onAnswer(createAnswer(undefined));
    else onBroken(verdict);
  };
  response.on('data', onData);
  response.on('end', onEnd);
  response.on('aborted', () => onBroken('truncated'));
}
