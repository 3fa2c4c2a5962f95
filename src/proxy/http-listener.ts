/** An HTTP listener for callers or for calls handed over between entries. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Address, KeyPair, Listener, Network } from '../kernel/index.js';
import { type HeadRefusal, checkHead, normalizeTarget } from './head-check.js';
import { createNotRun } from './outcome.js';

/** What a listener is made from. */
export interface HttpListenerOptions {
  readonly network: Network;
  readonly address: Address;
  readonly keys?: KeyPair;
  readonly maxConnections: number;
  readonly maxHeaderBytes: number;
  /** Longest wait for the headers of a call, in milliseconds. */
  readonly headerTimeout: number;
  /** Longest pause inside the body of a call, in milliseconds. */
  readonly bodyTimeout: number;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Called for each request that was turned away at the door. */
  readonly onRefused: (detail: string) => void;
}

/** A running listener. */
export interface HttpListener {
  readonly address: Address;
  /** Connections open now. */
  countConnections(): number;
  replaceKeys(keys: KeyPair): void;
  /** Stops accepting, closes idle connections, and answers busy ones with `Connection: close`. */
  drain(): Promise<void>;
  /** Closes every connection. */
  destroy(): void;
}

const PARSER_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const BAD_REQUEST = 400;
const NOT_IMPLEMENTED = 501;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
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
  // The framing of a refused request is not trusted, so its connection ends with the answer.
  response.shouldKeepAlive = false;
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
  const sockets = new Set<Duplex>();
  const openResponses = new Set<ServerResponse>();
  let isDraining = false;

  function serveRequest(request: IncomingMessage, response: ServerResponse): void {
    normalizeTarget(request);
    const refusal = checkHead(request);
    if (refusal !== undefined) {
      options.onRefused(refusal.detail);
      refuseRequest(response, refusal);
      return;
    }
    openResponses.add(response);
    response.on('close', () => openResponses.delete(response));
    if (isDraining) response.shouldKeepAlive = false;
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
      // Part of a call was passed on already, so nothing true can be said of it here.
      socket.destroy();
      return;
    }
    const last = responses.at(-1);
    if (last === undefined) {
      writeRawRefusal(socket, PARSER_STATUS[code] ?? BAD_REQUEST, error.message);
      return;
    }
    // The calls before the bad bytes are answered first: no answer may overtake another.
    last.shouldKeepAlive = false;
    last.on('finish', () => socket.end());
  });
  server.setTimeout(options.bodyTimeout, (socket: Duplex) => {
    // A pause while the target works is not the caller's; only an unfinished body is.
    if (findOpenResponses(socket).some((response) => !response.req.complete)) socket.destroy();
  });

  // The library checks for slow headers only once it believes that it listens itself.
  server.emit('listening');
  const listener: Listener = await options.network.listen({
    address: options.address,
    keys: options.keys,
    onConnection: (socket) => {
      if (sockets.size >= options.maxConnections) {
        options.onRefused('too many connections');
        socket.destroy();
        return;
      }
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      server.emit('connection', socket);
    },
  });

  return {
    address: listener.address,
    countConnections: () => sockets.size,
    replaceKeys: (keys) => listener.replaceKeys(keys),
    async drain() {
      isDraining = true;
      for (const response of openResponses) response.shouldKeepAlive = false;
      await listener.close();
      const busySockets = new Set<Duplex>(
        [...openResponses].map((response) => response.req.socket),
      );
      for (const socket of sockets) {
        if (!busySockets.has(socket)) socket.end();
      }
    },
    destroy() {
      listener.close().catch(() => undefined);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
