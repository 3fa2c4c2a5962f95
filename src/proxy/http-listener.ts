/** An HTTP listener, for callers or for calls relayed between entries. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { Address, Clock, KeyPair, Listener, Network } from '../kernel/index.js';
import { type HeadRefusal, checkHead, normalizeTarget } from './head-check.js';
import type { EntryListener } from '../overload/index.js';
import { ClosingAnswers, announceClose } from './closing-answers.js';
import { type ServerProtection, createGuard } from './guarded-server.js';
import { createNotRun } from './outcome.js';
import { UnreadBodies, type UnreadBodyOutcome } from './unread-body.js';

/** Configuration and callbacks of a listener. */
export interface HttpListenerOptions {
  readonly network: Network;
  readonly clock: Clock;
  readonly address: Address;
  /** Certificate and key; without them the listener is plain HTTP. */
  readonly keys?: KeyPair;
  readonly name: EntryListener;
  readonly protection: ServerProtection<EntryListener>;
  readonly maxHeaderBytes: number;
  /** Timeout for receiving the headers of a call, in milliseconds. */
  readonly headerTimeout: number;
  /** Timeout for a pause within the body of a call, in milliseconds. */
  readonly bodyTimeout: number;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Called for each request that was answered before its body had been read. */
  readonly onUnreadBody: (outcome: UnreadBodyOutcome) => void;
  /** Called for each request or connection that the listener rejects. */
  readonly onRefused: (detail: string) => void;
}

/** A running listener. */
export interface HttpListener {
  readonly address: Address;
  /** Returns the number of open connections. */
  countConnections(): number;
  /** Replaces the certificate and key for new connections. */
  replaceKeys(keys: KeyPair): void;
  /** Stops accepting and closes idle connections; answers on busy ones get `Connection: close`. */
  drain(): Promise<void>;
  /** Stops accepting and closes all connections immediately. */
  destroy(): void;
}

const PARSER_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const BAD_REQUEST = 400;
const NOT_IMPLEMENTED = 501;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** How long a connection whose input was rejected stays open for its answer, in milliseconds. */
const REJECTED_LINGER_MS = 1000;

/** A request with very many fields, while others like it are served. */
const COSTLY_REFUSAL: HeadRefusal = { status: 503, detail: 'too many requests with many fields' };
const TIMEOUT_CHECK_INTERVAL_MS = 1000;

function writeRawRefusal(socket: Duplex, status: number, detail: string): void {
  if (!socket.writable) return;
  const reason = http.STATUS_CODES[status] ?? 'Error';
  const body = JSON.stringify({ outcome: 'not-run', reason: 'bad-request', status, detail });
  socket.end(
    `HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\norchidbeam-outcome: not-run\r\n` +
      `content-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

function refuseRequest(response: ServerResponse, refusal: HeadRefusal): void {
  // The framing of a rejected request cannot be trusted, so its connection closes after the answer.
  announceClose(response);
  const outcome = createNotRun('bad-request', refusal.detail);
  const body = JSON.stringify({ ...outcome, outcome: 'not-run', status: refusal.status });
  response.writeHead(refusal.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    'orchidbeam-outcome': 'not-run',
  });
  response.end(body);
}

/** Starts a listener. */
export async function startHttpListener(options: HttpListenerOptions): Promise<HttpListener> {
  const sockets = new Set<Socket>();
  const openResponses = new Set<ServerResponse>();
  const unreadBodies = new UnreadBodies({
    clock: options.clock,
    onOutcome: (outcome) => options.onUnreadBody(outcome),
    readMaxBodyBytes: () => Infinity,
  });
  const guard = createGuard(options.name, options.protection, () => options.bodyTimeout);
  const closingAnswers = new ClosingAnswers();

  function serveRequest(request: IncomingMessage, response: ServerResponse): void {
    if (unreadBodies.isClosing(request.socket)) {
      request.socket.destroy();
      return;
    }
    const mayServe = guard.watchRequest(request, response);
    // The request may have been the one that its connection was closed for.
    if (request.socket.destroyed) return;
    unreadBodies.watchRequest(request, response);
    if (!closingAnswers.add(request.socket, response)) return;
    normalizeTarget(request);
    const refusal = mayServe ? checkHead(request) : COSTLY_REFUSAL;
    if (refusal !== undefined) {
      options.onRefused(refusal.detail);
      refuseRequest(response, refusal);
      return;
    }
    openResponses.add(response);
    response.on('close', () => openResponses.delete(response));
    options.handle(request, response);
  }

  const server = http.createServer({
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: options.headerTimeout,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
    requireHostHeader: false,
  });
  server.maxHeadersCount = 0;
  server.on('request', serveRequest);
  server.on('checkContinue', serveRequest);
  server.on('checkExpectation', serveRequest);
  server.on('connect', (_request: IncomingMessage, socket: Duplex) => {
    // The parser has left the connection.
    guard.reject(socket as Socket);
    options.onRefused('CONNECT');
    writeRawRefusal(socket, NOT_IMPLEMENTED, 'CONNECT is not served');
  });
  const findOpenResponses = (socket: Duplex) =>
    [...openResponses].filter((response) => response.req.socket === socket);

  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const { code = '' } = error;
    options.onRefused(code);
    const responses = findOpenResponses(socket);
    if (code === 'ECONNRESET' || responses.some((response) => !response.req.complete)) {
      // Part of a call has been forwarded already, so it is unknown here whether it ran.
      socket.destroy();
      return;
    }
    guard.reject(socket as Socket);
    const last = responses.at(-1);
    if (last === undefined) {
      writeRawRefusal(socket, PARSER_STATUS[code] ?? BAD_REQUEST, error.message);
      options.clock.schedule(REJECTED_LINGER_MS, () => socket.destroy());
      return;
    }
    // Pipelined calls before the malformed bytes are answered first, as answers must stay in order.
    last.shouldKeepAlive = false;
    last.on('finish', () => socket.end());
  });
  server.setTimeout(options.bodyTimeout, (socket: Duplex) => {
    // The timeout is for an unfinished body only, not for a pause while the target runs the call.
    if (findOpenResponses(socket).some((response) => !response.req.complete)) socket.destroy();
  });

  // `network` listens in place of this server; node:http checks for slow headers after `listening`.
  server.emit('listening');
  const listener: Listener = await options.network.listen({
    address: options.address,
    keys: options.keys,
    onConnection: (connection) => {
      const socket = connection as Socket;
      sockets.add(socket);
      unreadBodies.watchConnection(socket);
      socket.on('close', () => sockets.delete(socket));
      server.emit('connection', socket);
      guard.watchConnection(socket);
    },
  });

  return {
    address: listener.address,
    countConnections: () => sockets.size,
    replaceKeys: (keys) => listener.replaceKeys(keys),
    async drain() {
      closingAnswers.start(sockets);
      await listener.close();
      const busySockets = new Set<Duplex>(
        [...openResponses].map((response) => response.req.socket),
      );
      for (const socket of sockets) {
        if (!busySockets.has(socket)) socket.end();
      }
    },
    destroy() {
      guard.stop();
      listener.close().catch(() => undefined);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
