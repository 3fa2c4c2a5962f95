/**
 * Reads a caller's request: checks its head against the operators' limits, reads its body, and
 * builds the headers for targets.
 */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { Clock } from '../../kernel/index.js';
import {
  BodyBuffer,
  MANY_FIELDS,
  PieceJoiner,
  type RequestMemory,
  findRequestMemory,
} from '../../overload/index.js';
import { checkHead, normalizeTarget } from '../../proxy/head-check.js';
import { listPairs } from '../../proxy/headers.js';
import { recordLongBody } from '../../proxy/unread-body.js';
import { HEADERS } from '../../platform/index.js';
import type { RequestLimits } from '../../routing/index.js';
import { CARRIED_HEADER } from '../carrying/carried-terms.js';
import type { LocalAnswer } from './answers.js';
import type { CallerIdentity } from './authentication.js';
import { NO_BODY, type OutgoingBody } from './outgoing-request.js';

/**
 * Bodies up to this many bytes are read whole before a target is chosen, so that they can be sent
 * again.
 */
export const MAX_BUFFERED_BODY_BYTES = 1_048_576;

const BODY_TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;

const REQUEST_TIMEOUT = 408;

/** Bytes that each header line takes at least, besides its name and value. */
const HEADER_LINE_BYTES = 3;

/** Bytes by which the head of a carried call may be longer, for the headers that daemons add. */
export const MAX_ADDED_HEADER_BYTES = 4096;

/** Estimated memory of a body that is streamed, in bytes. */
const STREAM_BYTES = 131_072;

/** Retry-After of a request that this daemon has no memory for, in milliseconds. */
const NO_MEMORY_RETRY_AFTER_MS = 500;

/** The answer to a request that this daemon has no memory for. */
export const NO_MEMORY_ANSWER: LocalAnswer = {
  ...{ kind: 'not-run', reason: 'no-memory', retryAfter: NO_MEMORY_RETRY_AFTER_MS },
};

function countHeaderBytes(request: IncomingMessage): number {
  let bytes = (request.url ?? '').length + (request.method ?? '').length;
  for (const part of request.rawHeaders) bytes += part.length;
  return bytes + (request.rawHeaders.length / 2) * HEADER_LINE_BYTES;
}

function reject(status: number, reason: string): LocalAnswer {
  return { kind: 'bad-request', status, reason };
}

/**
 * Checks the head of a request; returns the answer that rejects it, or undefined when it is
 * acceptable.
 */
export function checkRequest(
  request: IncomingMessage,
  limits: RequestLimits,
  isCarried = false,
): LocalAnswer | undefined {
  normalizeTarget(request);
  const refusal = checkHead(request);
  if (refusal !== undefined) return reject(refusal.status, refusal.detail);
  const maxHeaderBytes = limits.headerBytes + (isCarried ? MAX_ADDED_HEADER_BYTES : 0);
  if (countHeaderBytes(request) > maxHeaderBytes) {
    return reject(HEADERS_TOO_LARGE, `headers over ${limits.headerBytes} bytes`);
  }
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) {
    return rejectBody(limits);
  }
  return undefined;
}

/** Requests with longer bodies cost this daemon much more than others. */
const LONG_BODY_BYTES = 65_536;

/**
 * Whether a request takes more than its share of this daemon: others of its connection are in
 * progress, or it is long.
 */
export function isCostly(request: IncomingMessage): boolean {
  if (findRequestMemory(request)?.isPipelined === true) return true;
  if (request.rawHeaders.length / 2 > MANY_FIELDS) return true;
  return Number(request.headers['content-length'] ?? 0) > LONG_BODY_BYTES;
}

/** Whether the caller sends the body only after `100 Continue`. */
export function isContinueExpected(request: IncomingMessage): boolean {
  return request.headers.expect !== undefined && request.httpVersion === '1.1';
}

/** The outcome of reading a body. */
export type BodyResult =
  | { readonly kind: 'read'; readonly body: OutgoingBody }
  | { readonly kind: 'refused'; readonly answer: LocalAnswer }
  /** The caller has left. */
  | { readonly kind: 'gone' };

/** How a body is read. */
export interface BodyOptions {
  readonly limits: RequestLimits;
  readonly clock: Clock;
  /** Until when a body that is buffered has to be complete, on the clock. */
  readonly deadline: number;
  /** What the request holds; undefined where memory is not limited. */
  readonly memory: RequestMemory | undefined;
}

/** Reads a body whole, or returns its stream if it is too long to buffer. */
export function readBody(request: IncomingMessage, options: BodyOptions): Promise<BodyResult> {
  const { headers } = request;
  const length = Number(headers['content-length'] ?? 0);
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (!isChunked && length === 0) {
    const hasLength = headers['content-length'] !== undefined;
    const body = hasLength ? { kind: 'whole' as const, data: Buffer.alloc(0) } : NO_BODY;
    return Promise.resolve({ kind: 'read', body });
  }
  if (length > MAX_BUFFERED_BODY_BYTES) {
    options.memory?.charge(STREAM_BYTES);
    return Promise.resolve({
      kind: 'read',
      body: { kind: 'stream', source: request, length, request },
    });
  }
  return receiveBody(request, options);
}

/** Buffers a body. One that turns out to be too long for that is streamed. */
function receiveBody(request: IncomingMessage, options: BodyOptions): Promise<BodyResult> {
  const { limits, clock, deadline, memory } = options;
  return new Promise((resolve) => {
    const buffer = new BodyBuffer();
    let isSettled = false;
    const settle = (result: BodyResult) => {
      isSettled = true;
      timer.cancel();
      request.removeListener('data', onData);
      if (memory !== undefined) memory.onEvict = undefined;
      resolve(result);
    };
    const refuse = (answer: LocalAnswer) => {
      request.pause();
      // The listeners below keep it until the connection is closed.
      buffer.discard();
      settle({ kind: 'refused', answer });
    };
    const timer = clock.schedule(deadline - clock.now(), () =>
      refuse(reject(REQUEST_TIMEOUT, 'the body was not complete in time')),
    );
    const onData = (chunk: Buffer) => {
      const capacityBefore = buffer.capacity;
      buffer.append(chunk);
      if (buffer.length > limits.bodyBytes) {
        refuse(rejectBody(limits));
        return;
      }
      memory?.charge(buffer.capacity - capacityBefore);
      // The charge may have ended the reading.
      if (isSettled || buffer.length <= MAX_BUFFERED_BODY_BYTES) return;
      // What was read is put back, and the whole body is streamed.
      request.pause();
      memory?.release(buffer.capacity);
      settle({ kind: 'read', body: forwardRest(request, buffer, options) });
    };
    if (memory !== undefined) {
      memory.onEvict = () => refuse(NO_MEMORY_ANSWER);
    }
    request.on('data', onData);
    request.on('end', () => settle({ kind: 'read', body: { kind: 'whole', data: buffer.take() } }));
    const leave = () => {
      buffer.discard();
      settle({ kind: 'gone' });
    };
    request.on('close', leave);
    request.on('error', leave);
  });
}

function forwardRest(
  request: IncomingMessage,
  buffer: BodyBuffer,
  { limits, memory }: BodyOptions,
): OutgoingBody {
  memory?.charge(MAX_BUFFERED_BODY_BYTES + STREAM_BYTES);
  request.unshift(buffer.take());
  recordLongBody(request);
  return { kind: 'stream', source: createLimiter(request, limits), length: undefined, request };
}

function rejectBody({ bodyBytes }: RequestLimits): LocalAnswer {
  return reject(BODY_TOO_LARGE, `a body over ${bodyBytes} bytes`);
}

/** Streams a body up to the limit; a longer one destroys the request. */
function createLimiter(request: IncomingMessage, { bodyBytes }: RequestLimits): Readable {
  const limiter = new PieceJoiner(bodyBytes, () => request.destroy());
  request.once('close', () => {
    // A pipe does not end when its source breaks off.
    if (!request.readableEnded) limiter.destroy();
  });
  return request.pipe(limiter);
}

/** Headers that apply to the caller's connection only, and those that this daemon sets itself. */
const DROPPED_HEADERS = new Set([
  ...['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer'],
  ...['transfer-encoding', 'upgrade', 'expect', 'content-length'],
  ...[HEADERS.timeLeft, HEADERS.expectedIncarnation, CARRIED_HEADER].map((name) =>
    name.toLowerCase(),
  ),
]);

function listConnectionOptions(request: IncomingMessage): ReadonlySet<string> {
  const value = request.headers.connection ?? '';
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}

/** Headers that this daemon drops or sets itself where callers are identified by keys. */
const IDENTITY_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.apiKey.toLowerCase(),
  HEADERS.organisation.toLowerCase(),
]);

const NO_HEADERS: ReadonlySet<string> = new Set();

/**
 * Builds the headers that are the same for every hop.
 *
 * @param identity undefined where requests need no key, and its headers are ordinary ones
 */
export function buildCommonHeaders(
  request: IncomingMessage,
  identity?: CallerIdentity,
): readonly string[] {
  const options = listConnectionOptions(request);
  const identityHeaders = identity === undefined ? NO_HEADERS : IDENTITY_HEADERS;
  const { organisation } = identity ?? {};
  const headers = organisation === undefined ? [] : [HEADERS.organisation, organisation.name];
  for (const [name, value] of listPairs(request.rawHeaders)) {
    const lower = name.toLowerCase();
    if (DROPPED_HEADERS.has(lower) || options.has(lower) || identityHeaders.has(lower)) continue;
    headers.push(name, value);
  }
  return headers;
}
