/** One small HTTP exchange with JSON in both directions, whose every outcome is a value. */
import http from 'node:http';
import { scheduleFairly } from './fair-timer.js';
import type { Address } from './network.js';

/** What to send. */
export interface HttpQuestion {
  readonly agent: http.Agent;
  readonly address: Address;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** Longest wait for the whole answer, in milliseconds. */
  readonly timeout: number;
  /** Gives the exchange up when it aborts. */
  readonly signal?: AbortSignal;
}

/** A whole answer; `body` is undefined when it was empty. */
export interface HttpReply {
  readonly kind: 'reply';
  readonly status: number;
  readonly body: unknown;
}

/** No whole answer; `sent` tells whether the other side may have received the call. */
export interface HttpFailure {
  readonly kind: 'failure';
  readonly sent: boolean;
  readonly reason: string;
}

function parseReply(status: number, text: string): HttpReply | HttpFailure {
  if (text === '') return { kind: 'reply', status, body: undefined };
  try {
    return { kind: 'reply', status, body: JSON.parse(text) };
  } catch {
    return { kind: 'failure', sent: true, reason: 'the answer is not JSON' };
  }
}

/** Makes the exchange. A connection whose answer did not come carries nothing further. */
export function exchangeHttp(question: HttpQuestion): Promise<HttpReply | HttpFailure> {
  const { agent, address, method, path, body, timeout, signal } = question;
  return new Promise((resolve) => {
    let sent = false;
    const request = http.request({
      ...{ agent, host: address.host, port: address.port, method, path, signal },
      headers:
        body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
    });
    const timer = scheduleFairly(timeout, () => request.destroy(new Error('timeout')));
    const conclude = (outcome: HttpReply | HttpFailure) => {
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
      conclude({ kind: 'failure', sent, reason: error.code ?? error.message }),
    );
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => conclude({ kind: 'failure', sent, reason: error.message }));
      response.on('end', () => {
        if (!response.complete) {
          conclude({ kind: 'failure', sent, reason: 'the answer broke off' });
          return;
        }
        conclude(parseReply(response.statusCode ?? 0, Buffer.concat(chunks).toString('utf8')));
      });
    });
    request.end(body);
  });
}
