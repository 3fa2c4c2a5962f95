/** One small HTTP exchange with JSON in both directions. Every outcome is a value. */
import http from 'node:http';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import { BodyBuffer } from './body-buffer.js';
import { scheduleLagTolerantTimeout } from './lag-tolerant-timeout.js';
import { type Address, formatAddress } from './network.js';

/** What is exceeded: the limits of one answer, or the memory for all of them. */
export type AnswerExcess = 'answer' | 'memory';

/** How the answer to one request is watched. */
export interface AnswerWatch {
  /** Longest body, in bytes; unlimited unless given. */
  readonly maxBodyBytes?: number;
  /** Called when the answer is given up; its connection is closed after that. */
  readonly onExcess: (reason: string, cause: AnswerExcess) => void;
}

/** Bounds what answers make this process read and hold. */
export interface AnswerWatcher {
  /** Watches the answer to a request that has just been created. */
  watch(request: http.ClientRequest, watch: AnswerWatch): void;
}

/** The request of an exchange. */
export interface HttpExchangeOptions {
  readonly agent: http.Agent;
  readonly address: Address;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** The longest body that is read, in bytes, and the longest one after unpacking. */
  readonly maxBodyBytes: number;
  /** Watches the answer; it is not limited unless given. */
  readonly guard?: AnswerWatcher;
  /** Longest wait for the whole answer, in milliseconds. */
  readonly timeout: number;
  /** Cancels the exchange when it aborts. */
  readonly signal?: AbortSignal;
}

/** A complete answer; `body` is undefined when it was empty. */
export interface HttpReply {
  readonly kind: 'reply';
  readonly status: number;
  readonly body: unknown;
}

/** No complete answer; `sent` tells whether the other side may have received the request. */
export interface HttpFailure {
  readonly kind: 'failure';
  readonly sent: boolean;
  readonly reason: string;
  /** Set when the answer was given up because of its length, as it will be whenever it is asked for. */
  readonly cause?: 'too-long';
}

/** Content encoding of answers between daemons. */
export const PEER_CONTENT_ENCODING = 'gzip';

const gunzipAsync = promisify(gunzip);

/** The code of zlib's error for an output beyond its limit. */
const OUTPUT_TOO_LONG = 'ERR_BUFFER_TOO_LARGE';

/**
 * Objects and lists in one answer, at most. Each one takes two bytes of text and dozens of bytes of
 * memory.
 */
const MAX_COMPOSITES = 250_000;

const OPENING_BRACE = 0x7b;
const OPENING_BRACKET = 0x5b;

/** Whether a text may hold too many objects and lists; brackets within texts count as well. */
function hasManyComposites(bytes: Buffer): boolean {
  if (bytes.length / 2 <= MAX_COMPOSITES) return false;
  let count = 0;
  for (const byte of bytes) {
    if (byte === OPENING_BRACE || byte === OPENING_BRACKET) count += 1;
  }
  return count > MAX_COMPOSITES;
}

function createTooLong(question: HttpExchangeOptions, length: string): HttpFailure {
  const [path] = question.path.split('?');
  const where = `${formatAddress(question.address)}${path}`;
  const reason = `${where}: body of ${length}; expected at most ${question.maxBodyBytes} bytes`;
  return { kind: 'failure', sent: true, reason, cause: 'too-long' };
}

/** Reads the body into one buffer. It is given up, with its connection, when it is too long. */
function readBody(
  response: http.IncomingMessage,
  question: HttpExchangeOptions,
): Promise<Buffer | HttpFailure> {
  const { maxBodyBytes } = question;
  const buffer = new BodyBuffer();
  return new Promise((resolve) => {
    const fail = (failure: HttpFailure) => {
      resolve(failure);
      buffer.discard();
      response.destroy();
    };
    response.on('error', ({ message: reason }) => fail({ kind: 'failure', sent: true, reason }));
    const announced = Number(response.headers['content-length'] ?? 0);
    if (announced > maxBodyBytes) {
      fail(createTooLong(question, `${announced} bytes`));
      return;
    }
    response.on('data', (chunk: Buffer) => {
      if (response.destroyed) return;
      if (buffer.length + chunk.length > maxBodyBytes) fail(createTooLong(question, 'more'));
      else buffer.append(chunk);
    });
    response.on('end', () => {
      if (response.complete) resolve(buffer.take());
      else fail({ kind: 'failure', sent: true, reason: 'the answer broke off' });
    });
  });
}

async function decodeBody(
  response: http.IncomingMessage,
  bytes: Buffer,
  question: HttpExchangeOptions,
): Promise<Buffer | HttpFailure> {
  if (response.headers['content-encoding'] !== PEER_CONTENT_ENCODING) return bytes;
  try {
    return await gunzipAsync(bytes, { maxOutputLength: question.maxBodyBytes });
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === OUTPUT_TOO_LONG) {
      return createTooLong(question, 'more, unpacked');
    }
    return { kind: 'failure', sent: true, reason: 'the answer is not in its encoding' };
  }
}

async function readReply(
  response: http.IncomingMessage,
  question: HttpExchangeOptions,
): Promise<HttpReply | HttpFailure> {
  const status = response.statusCode ?? 0;
  const packed = await readBody(response, question);
  if (!Buffer.isBuffer(packed)) return packed;
  if (packed.length === 0) return { kind: 'reply', status, body: undefined };
  const bytes = await decodeBody(response, packed, question);
  if (!Buffer.isBuffer(bytes)) return bytes;
  if (hasManyComposites(bytes)) return createTooLong(question, `${bytes.length} bytes of brackets`);
  try {
    return { kind: 'reply', status, body: JSON.parse(bytes.toString()) };
  } catch {
    return { kind: 'failure', sent: true, reason: 'the answer is not JSON' };
  }
}

/** Makes the exchange. A connection whose answer did not arrive is not used again. */
export function exchangeHttp(question: HttpExchangeOptions): Promise<HttpReply | HttpFailure> {
  const { agent, address, method, path, body, timeout, signal, guard } = question;
  return new Promise((resolve, reject) => {
    let sent = false;
    const request = http.request({
      ...{ agent, host: address.host, port: address.port, method, path, signal },
      headers:
        body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
    });
    const timer = scheduleLagTolerantTimeout(timeout, () => request.destroy(new Error('timeout')));
    const settle = (outcome: HttpReply | HttpFailure) => {
      timer.cancel();
      resolve(outcome);
    };
    request.on('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => {
          sent = true;
        });
      } else sent = true;
    });
    request.on('error', (error: NodeJS.ErrnoException) =>
      settle({ kind: 'failure', sent, reason: error.code ?? error.message }),
    );
    guard?.watch(request, {
      onExcess: (reason) => settle({ kind: 'failure', sent: true, reason }),
    });
    let hasResponse = false;
    request.on('close', () => {
      // When the other side switches protocols, Node closes the connection without any other event.
      if (!hasResponse) settle({ kind: 'failure', sent, reason: 'closed without an answer' });
    });
    request.on('response', (response) => {
      hasResponse = true;
      readReply(response, question).then(settle).catch(reject);
    });
    request.end(body);
  });
}
