/**
 * Reads a caller's request: checks its head against the operators' limits, reads its body, and
 * builds the headers for targets.
 */
import type { IncomingMessage } from 'node:http';
import { type Readable, Transform } from 'node:stream';
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

/** Bytes that each header line takes besides its name and value. */
const HEADER_LINE_BYTES = 4;

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
): LocalAnswer | undefined {
  normalizeTarget(request);
  const refusal = checkHead(request);
  if (refusal !== undefined) return reject(refusal.status, refusal.detail);
  if (countHeaderBytes(request) > limits.headerBytes) {
    return reject(HEADERS_TOO_LARGE, `headers over ${limits.headerBytes} bytes`);
  }
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) {
    return rejectBody(limits);
  }
  return undefined;
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

/** Reads a body whole, or returns its stream if it is too long to buffer. */
export function readBody(request: IncomingMessage, limits: RequestLimits): Promise<BodyResult> {
  const { headers } = request;
  const length = Number(headers['content-length'] ?? 0);
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (!isChunked && length === 0) {
    const hasLength = headers['content-length'] !== undefined;
    const body = hasLength ? { kind: 'whole' as const, data: Buffer.alloc(0) } : NO_BODY;
    return Promise.resolve({ kind: 'read', body });
  }
  if (length > MAX_BUFFERED_BODY_BYTES) {
    return Promise.resolve({ kind: 'read', body: { kind: 'stream', source: request, length } });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limits.bodyBytes) {
        request.pause();
        request.removeListener('data', onData);
        resolve({ kind: 'refused', answer: rejectBody(limits) });
        return;
      }
      chunks.push(chunk);
      if (bytes <= MAX_BUFFERED_BODY_BYTES) return;
      // Too long to buffer: what was read is put back, and the whole body is streamed.
      request.pause();
      request.removeListener('data', onData);
      request.unshift(Buffer.concat(chunks));
      recordLongBody(request);
      const source = createLimiter(request, limits);
      resolve({ kind: 'read', body: { kind: 'stream', source, length: undefined } });
    };
    request.on('data', onData);
    request.on('end', () =>
      resolve({ kind: 'read', body: { kind: 'whole', data: Buffer.concat(chunks) } }),
    );
    request.on('close', () => resolve({ kind: 'gone' }));
    request.on('error', () => resolve({ kind: 'gone' }));
  });
}

function rejectBody({ bodyBytes }: RequestLimits): LocalAnswer {
  return reject(BODY_TOO_LARGE, `a body over ${bodyBytes} bytes`);
}

/** Streams a body up to the limit; a longer one destroys the request. */
function createLimiter(request: IncomingMessage, { bodyBytes }: RequestLimits): Readable {
  let bytes = 0;
  const limiter = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      bytes += chunk.length;
      if (bytes > bodyBytes) request.destroy();
      else done(null, chunk);
    },
  });
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
  const headers: string[] = [];
  for (const [name, value] of listPairs(request.rawHeaders)) {
    const lower = name.toLowerCase();
    if (DROPPED_HEADERS.has(lower) || options.has(lower) || identityHeaders.has(lower)) continue;
    headers.push(name, value);
  }
  const { organisation } = identity ?? {};
  if (organisation !== undefined) headers.push(HEADERS.organisation, organisation.name);
  return headers;
}
