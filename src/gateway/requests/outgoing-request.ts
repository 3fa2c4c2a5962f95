/** A request as it is sent over one connection, and the answer or failure that comes of it. */
import http, { type IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { RequestMemory } from '../../overload/index.js';
import { findResponseFault } from '../../proxy/answer-check.js';
import type { TargetConnection } from '../targets/connections.js';

/** The body of a request, which decides how the request is framed. */
export type OutgoingBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'whole'; readonly data: Buffer }
  /** Too long to buffer: it can be sent only once. A chunked one has no `length`. */
  | {
      readonly kind: 'stream';
      readonly source: Readable;
      readonly length: number | undefined;
      /** The request that it is received with, by which its progress can be told. */
      readonly request?: IncomingMessage;
    };

/** The body of a request that has none. */
export const NO_BODY: OutgoingBody = { kind: 'none' };

/** Whether a body can be sent again: a streamed one can't. */
export function isResendable(body: OutgoingBody): boolean {
  return body.kind !== 'stream';
}

/** Returns the length of a body; undefined when it is chunked. */
export function getBodyLength(body: OutgoingBody): number | undefined {
  switch (body.kind) {
    case 'none':
      return 0;
    case 'whole':
      return body.data.length;
    case 'stream':
      return body.length;
    default:
      return body satisfies never;
  }
}

/** A request as it is sent to a target, or to a daemon that carries it. */
export interface OutgoingRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Without those that frame the body. */
  readonly headers: readonly string[];
  readonly body: OutgoingBody;
  /** What the caller's request and its answer hold; undefined where memory is not limited. */
  readonly memory?: RequestMemory;
}

/** Why a request that was sent gets no answer. */
export type ExchangeFailure =
  /** The connection failed, or the parser rejected what arrived on it; `code` says how. */
  | { readonly kind: 'disconnected'; readonly code: string; readonly reason: string }
  /** The bytes that arrived are no answer. The connection is closed. */
  | { readonly kind: 'malformed'; readonly reason: string };

/** Receives what comes of a request. */
export interface ExchangeListener {
  /** Called with an answer whose head is valid. */
  onResponse(response: IncomingMessage): void;
  /** May be called after `onResponse`, when the connection fails before the answer is complete. */
  onFailure(failure: ExchangeFailure): void;
}

/** Methods with which Node's client sends no framing by itself. */
const METHODS_WITHOUT_FRAMING = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'CONNECT']);

/**
 * Builds the header that frames a body. Node's client chooses by the method: it would send a body
 * with GET or DELETE without any framing, so that the target reads it as its next request.
 */
function buildFraming(method: string, body: OutgoingBody): readonly string[] {
  const length = getBodyLength(body);
  if (length === undefined) return ['Transfer-Encoding', 'chunked'];
  if (body.kind === 'none' && METHODS_WITHOUT_FRAMING.has(method)) return [];
  return ['Content-Length', String(length)];
}

/**
 * Streams a caller's body into a request. When one of them breaks off, the other does not go on: a
 * body can be streamed only once, so its rest is discarded.
 */
function writeStream(body: Readable, request: http.ClientRequest): void {
  request.once('close', () => {
    body.unpipe(request);
    body.resume();
  });
  body.once('close', () => {
    if (!body.readableEnded) request.destroy();
  });
  body.pipe(request);
}

function sendBody(body: OutgoingBody, request: http.ClientRequest): void {
  switch (body.kind) {
    case 'none':
      request.end();
      return;
    case 'whole':
      request.end(body.data);
      return;
    case 'stream':
      writeStream(body.source, request);
      return;
    default:
      body satisfies never;
  }
}

/** Sends a request with its body over a connection and passes on what comes of it. */
export function sendRequest(
  { agent, socket, guard }: TargetConnection,
  { method, path, headers, body }: OutgoingRequest,
  { onResponse, onFailure }: ExchangeListener,
): http.ClientRequest {
  const request = http.request({
    ...{ agent, method, path, setHost: false },
    headers: [...headers, ...buildFraming(method, body)] as unknown as http.OutgoingHttpHeaders,
  });
  let hasResponse = false;
  let hasFailed = false;
  const fail = (failure: ExchangeFailure) => {
    if (hasFailed) return;
    hasFailed = true;
    onFailure(failure);
    socket.destroy();
  };
  request.on('error', ({ code = '', message }: NodeJS.ErrnoException) =>
    fail({ kind: 'disconnected', code, reason: code || message }),
  );
  guard?.watch(request, {
    onExcess: (reason, cause) =>
      fail(
        cause === 'memory'
          ? { kind: 'disconnected', code: '', reason }
          : { kind: 'malformed', reason },
      ),
  });
  request.on('response', (response) => {
    hasResponse = true;
    // Without a listener, the error of an answer that nobody reads would be thrown.
    response.on('error', () => undefined);
    const fault = findResponseFault(response);
    if (fault !== undefined) {
      fail({ kind: 'malformed', reason: fault });
      return;
    }
    onResponse(response);
    response.once('end', () => {
      // The answer is complete, and nobody may be reading the rest of the body.
      if (!isResendable(body) && !request.writableFinished) request.destroy();
    });
  });
  request.on('close', () => {
    // When a target switches protocols, Node closes the connection without any other event.
    if (!hasResponse) fail({ kind: 'malformed', reason: 'closed without an answer' });
  });
  sendBody(body, request);
  return request;
}
