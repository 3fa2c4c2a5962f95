/** Reads a caller's request: its head against the operators' limits, its route, its body. */
import type { IncomingMessage } from 'node:http';
import { type Readable, Transform } from 'node:stream';
import { checkHead, normalizeTarget } from '../../proxy/head-check.js';
import { listPairs } from '../../proxy/headers.js';
import { HEADERS } from '../../platform/index.js';
import type { RequestLimits } from '../../routing/index.js';
import type { Told } from './answers.js';
import type { GatewayTarget } from '../targets/target.js';

/** Bodies up to this length are read whole before a target is chosen, so that they can be sent again. */
export const HELD_BODY = 1_048_576;

const TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;

/** Bytes that each header line needs besides its name and value. */
const LINE_BYTES = 4;

function countHeaderBytes(request: IncomingMessage): number {
  let bytes = (request.url ?? '').length + (request.method ?? '').length;
  for (const part of request.rawHeaders) bytes += part.length;
  return bytes + (request.rawHeaders.length / 2) * LINE_BYTES;
}

function reject(status: number, reason: string): Told {
  return { kind: 'bad-request', status, reason };
}

/** Checks the head of a request; undefined lets it in. */
export function checkRequest(request: IncomingMessage, limits: RequestLimits): Told | undefined {
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

/** What became of reading a body. */
export type BodyResult =
  | { readonly kind: 'whole'; readonly data: Buffer | undefined }
  /** Too long to hold: the stream of a body that can be sent once. */
  | { readonly kind: 'stream'; readonly source: Readable }
  | { readonly kind: 'refused'; readonly told: Told }
  /** The caller went away. */
  | { readonly kind: 'gone' };

/** Reads a body whole, as far as it may be held. */
export function readBody(request: IncomingMessage, limits: RequestLimits): Promise<BodyResult> {
  const { headers } = request;
  const length = Number(headers['content-length'] ?? 0);
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (!isChunked && length === 0) {
    return Promise.resolve({
      kind: 'whole',
      data: headers['content-length'] === undefined ? undefined : Buffer.alloc(0),
    });
  }
  if (length > HELD_BODY) return Promise.resolve({ kind: 'stream', source: request });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limits.bodyBytes) {
        resolve({ kind: 'refused', told: rejectBody(limits) });
        return;
      }
      chunks.push(chunk);
      if (bytes <= HELD_BODY) return;
      // Too long to hold: what was read goes back, and the rest passes through.
      request.pause();
      request.removeListener('data', onData);
      request.unshift(Buffer.concat(chunks));
      resolve({ kind: 'stream', source: createLimiter(request, limits) });
    };
    request.on('data', onData);
    request.on('end', () => resolve({ kind: 'whole', data: Buffer.concat(chunks) }));
    request.on('close', () => resolve({ kind: 'gone' }));
    request.on('error', () => resolve({ kind: 'gone' }));
  });
}

function rejectBody({ bodyBytes }: RequestLimits): Told {
  return reject(TOO_LARGE, `a body over ${bodyBytes} bytes`);
}

/** Passes a body on while it stays within the limit; a longer one ends the request. */
function createLimiter(request: IncomingMessage, { bodyBytes }: RequestLimits): Readable {
  let bytes = 0;
  const limiter = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      bytes += chunk.length;
      if (bytes > bodyBytes) request.destroy();
      else done(null, chunk);
    },
  });
  return request.pipe(limiter);
}

/** Headers that end at this daemon, and those that it sets itself. */
const NOT_PASSED_ON = new Set([
  ...['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer'],
  ...['transfer-encoding', 'upgrade', 'expect', 'content-length'],
  ...[HEADERS.timeLeft.toLowerCase(), HEADERS.expectedIncarnation.toLowerCase()],
]);

function listConnectionOptions(request: IncomingMessage): ReadonlySet<string> {
  const value = request.headers.connection ?? '';
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}

/** Builds the headers that each target gets, but for what depends on the target. */
export function buildPassedHeaders(request: IncomingMessage): readonly string[] {
  const options = listConnectionOptions(request);
  const passed: string[] = [];
  for (const [name, value] of listPairs(request.rawHeaders)) {
    const lower = name.toLowerCase();
    if (NOT_PASSED_ON.has(lower) || options.has(lower)) continue;
    passed.push(name, value);
  }
  return passed;
}

/** Adds what one target is told: the time left, who must answer, and the length of the body. */
export function buildTargetHeaders(
  passed: readonly string[],
  target: GatewayTarget,
  { timeLeft, length }: { readonly timeLeft: number; readonly length: number | undefined },
): readonly string[] {
  const headers = [
    ...passed,
    ...[HEADERS.timeLeft, String(Math.max(1, Math.floor(timeLeft)))],
    ...[HEADERS.expectedIncarnation, target.record.incarnation],
  ];
  if (length !== undefined) headers.push('Content-Length', String(length));
  return headers;
}
