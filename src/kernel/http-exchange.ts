/** One small HTTP exchange with JSON in both directions. Every outcome is a value. */
import http from 'node:http';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import { scheduleLagTolerantTimeout } from './lag-tolerant-timeout.js';
import type { Address } from './network.js';

/** How the answer to one request is watched. */
export interface AnswerWatch {
  /** Longest body, in bytes; unlimited unless given. */
  readonly maxBodyBytes?: number;
  /** Called when the answer exceeds a limit; its connection is closed after that. */
  readonly onExcess: (reason: string) => void;
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
}

/** Content encoding of answers between daemons. */
export const PEER_CONTENT_ENCODING = 'gzip';

/** Longest answer after unpacking: many times the member list of a large fleet. */
const MAX_UNPACKED_BYTES = 67_108_864;

const gunzipAsync = promisify(gunzip);

async function decodeBody(response: http.IncomingMessage, bytes: Buffer): Promise<Buffer> {
  if (response.headers['content-encoding'] !== PEER_CONTENT_ENCODING) return bytes;
  return gunzipAsync(bytes, { maxOutputLength: MAX_UNPACKED_BYTES });
}

async function parseReply(
  response: http.IncomingMessage,
  bytes: Buffer,
): Promise<HttpReply | HttpFailure> {
  const status = response.statusCode ?? 0;
  if (bytes.length === 0) return { kind: 'reply', status, body: undefined };
  try {
    return {
      kind: 'reply',
      status,
      body: JSON.parse((await decodeBody(response, bytes)).toString()),
    };
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
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => settle({ kind: 'failure', sent, reason: error.message }));
      response.on('end', () => {
        if (!response.complete) {
          settle({ kind: 'failure', sent, reason: 'the answer broke off' });
          return;
        }
        parseReply(response, Buffer.concat(chunks)).then(settle).catch(reject);
      });
    });
    request.end(body);
  });
}
