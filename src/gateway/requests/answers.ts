/** Writes answers to callers: those that the gateway generates itself and those of targets. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../../kernel/index.js';
import { abortAnswer, setResetOnClose } from '../../proxy/answer-abort.js';
import { cancelClose } from '../../proxy/closing-answers.js';
import type { AnswerEnd, AnswerFault } from '../../proxy/answer-end.js';
import { listPairs } from '../../proxy/headers.js';
import { closeAfterLongBody } from '../../proxy/unread-body.js';
import { HEADERS } from '../../platform/index.js';
import type { TargetAnswer } from './answer-reader.js';

/** Why a request is not identified: it has no key, or one that no organisation holds. */
export type KeyRejectionReason = 'missing-key' | 'unknown-key';

/**
 * An answer that the gateway generates when it has no target's answer to forward.
 *
 * `not-run` and `over-quota` promise that the request has not run and never will; `unknown` promises
 * nothing.
 */
export type LocalAnswer =
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfter: number }
  /** The request has not run, as its organisation is over its quota. */
  | { readonly kind: 'over-quota'; readonly retryAfter: number }
  | { readonly kind: 'unknown'; readonly reason: 'timeout' | 'lost' }
  | { readonly kind: 'no-route' }
  /** The request needs a key and has none that is known; it has not run. */
  | { readonly kind: 'unauthenticated'; readonly reason: KeyRejectionReason }
  | { readonly kind: 'bad-request'; readonly status: number; readonly reason: string };

const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const BAD_GATEWAY = 502;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const TOO_MANY_REQUESTS = 429;

function chooseStatus(answer: LocalAnswer): number {
  switch (answer.kind) {
    case 'not-run':
      return SERVICE_UNAVAILABLE;
    case 'over-quota':
      return TOO_MANY_REQUESTS;
    case 'unknown':
      return answer.reason === 'timeout' ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    case 'no-route':
      return NOT_FOUND;
    case 'unauthenticated':
      return UNAUTHORIZED;
    case 'bad-request':
      return answer.status;
    default:
      return answer satisfies never;
  }
}

/** Headers that apply to one connection only and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  ...['connection', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer'],
  ...['transfer-encoding', 'upgrade'],
]);

/** Ends a response with a local answer; does nothing if the response has begun or was closed. */
export function writeLocalAnswer(
  response: ServerResponse,
  requestId: string,
  answer: LocalAnswer,
): void {
  if (response.headersSent || response.destroyed) return;
  closeAfterLongBody(response);
  const status = chooseStatus(answer);
  const reason = 'reason' in answer ? answer.reason : answer.kind;
  // Daemons of the previous build read these answers of a carrier, and know no other word for them.
  const isNotRun = answer.kind === 'unauthenticated' || answer.kind === 'over-quota';
  const outcome = isNotRun ? 'not-run' : answer.kind;
  const body = JSON.stringify({ outcome, reason });
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  };
  if (requestId !== '') headers[HEADERS.requestId] = requestId;
  if ('retryAfter' in answer) headers['Retry-After'] = (answer.retryAfter / 1000).toFixed(3);
  response.writeHead(status, headers);
  response.end(body);
}

/** Why a streamed answer was not forwarded to its end. */
export type CutReason = 'deadline' | AnswerFault;

/** Until when an answer may be streamed to its caller. */
export interface StreamLimit {
  readonly clock: Clock;
  /** In milliseconds on the clock. */
  readonly deadline: number;
  /** Called when the answer is cut off. */
  readonly onCut: (reason: CutReason) => void;
}

/** An answer whose head and first part have been forwarded. */
interface StreamedAnswer {
  readonly rest: IncomingMessage;
  readonly end: AnswerEnd;
}

/**
 * Forwards the remainder of an answer; ends the other side when one side breaks off. An answer that
 * is not whole, or not complete at the deadline, reaches its caller as a reset.
 */
function forwardRest(
  response: ServerResponse,
  { rest, end }: StreamedAnswer,
  { clock, deadline, onCut }: StreamLimit,
): void {
  const endRest = () => {
    if (!rest.readableEnded) rest.destroy();
  };
  if (response.destroyed) {
    endRest();
    return;
  }
  let isCut = false;
  const cut = (reason: CutReason) => {
    if (isCut || response.writableEnded || response.destroyed) return;
    isCut = true;
    onCut(reason);
    abortAnswer(response);
  };
  const timer = clock.schedule(deadline - clock.now(), () => {
    if (!rest.complete) cut('deadline');
  });
  response.once('close', () => {
    timer.cancel();
    endRest();
  });
  rest.on('data', (part: Buffer) => {
    end.observe(part);
    if (end.hasSecondAnswer) cut('second-answer');
  });
  rest.on('aborted', () => cut('truncated'));
  rest.on('error', () => cut('truncated'));
  rest.on('end', () => {
    const verdict = end.judge(rest.complete);
    if (verdict === 'whole') response.end();
    else cut(verdict);
  });
  rest.pipe(response, { end: false });
}

const NO_CONTENT = 204;

/** Whether the length that an answer states is forwarded: for a HEAD, it is the length of no body. */
function isLengthForwarded({ status, end: { framing } }: TargetAnswer): boolean {
  return framing === 'length' || (framing === 'none' && status !== NO_CONTENT);
}

/**
 * Builds the headers of a forwarded answer, which states its own end: without a length or chunks,
 * whatever closes the caller's connection would look like it.
 */
function buildForwardedHeaders(answer: TargetAnswer): string[] {
  const headers: string[] = [];
  for (const [name, value] of listPairs(answer.rawHeaders)) {
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || lower === HEADERS.load.toLowerCase()) continue;
    if (lower === 'content-length' && !isLengthForwarded(answer)) continue;
    headers.push(name, value);
  }
  const { framing } = answer.end;
  if (answer.rest === undefined && (framing === 'chunked' || framing === 'close')) {
    headers.push('Content-Length', String(answer.body.length));
  }
  return headers;
}

/**
 * Forwards a target's answer, unchanged but for headers that apply to its connection only and the
 * framing of its body.
 */
export function forwardAnswer(
  response: ServerResponse,
  answer: TargetAnswer,
  limit: StreamLimit,
): void {
  const { rest, body, status, end } = answer;
  if (rest !== undefined) cancelClose(response);
  closeAfterLongBody(response);
  response.writeHead(status, buildForwardedHeaders(answer));
  if (rest === undefined) {
    response.end(body);
    return;
  }
  setResetOnClose(response, end.framing);
  response.write(body);
  forwardRest(response, { rest, end }, limit);
}
