/** The listener for callers: connections that are kept, drained and closed without losing a request. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Address, Clock } from '../../kernel/index.js';
import type { RequestLimits } from '../../routing/index.js';
import type { AcceptMark, EventLoopMonitor } from '../event-loop-monitor.js';

/** What the listener is made from. */
export interface CallerServerOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly eventLoop: EventLoopMonitor;
  /** Connections that may wait to be accepted. */
  readonly listenQueue: number;
  /** `cameAt` is when the request is estimated to have come, on the clock. */
  readonly serve: (request: IncomingMessage, response: ServerResponse, cameAt: number) => void;
}

/** Longest head that the parser takes; the operators' own limit is checked after it. */
const PARSER_HEADER_BYTES = 131_072;

/** A connection is kept a little longer than callers are told, so that none meets its close. */
const IDLE_MARGIN = 1000;

const FIRST_HEADER_TIMEOUT = 10_000;
const FIRST_IDLE_TIMEOUT = 15_000;
const CHECK_PACE = 500;

const TIMEOUT = 408;

const PARSER_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: TIMEOUT,
};

/** How long a connection that this daemon closes is read from, for a request that crosses the close. */
const LINGER = 150;

/** Connections that a whole core accepts, reads and refuses in a second. */
const ACCEPT_RATE = 1000;

/**
 * Nothing sees a connection before it is accepted, so what waits there must not be old: callers that have
 * waited this long and are refused can still be served elsewhere, in milliseconds.
 */
const LISTEN_WAIT = 200;

const LEAST_LISTEN_QUEUE = 16;

/**
 * Computes how many connections may wait to be accepted. When more come, callers get no connection and turn
 * to another daemon; in a longer queue they waited until they left, and were accepted after that.
 *
 * @param capacity cores of this machine, as a number that may be below 1
 */
export function computeListenQueue(capacity: number): number {
  return Math.max(LEAST_LISTEN_QUEUE, Math.round((capacity * ACCEPT_RATE * LISTEN_WAIT) / 1000));
}

/** The listener of one daemon. */
export class CallerServer {
  readonly #server: http.Server;

  readonly #sockets = new Map<Socket, number>();

  /** Connections accepted since the start. */
  accepted = 0;

  #draining = false;

  #closing = false;

  /** Connections on which a refusal of the whole connection was written. */
  readonly #refused = new WeakSet<Socket>();

  /** Answers that will close their connections. */
  readonly #closers = new WeakMap<Socket, ServerResponse>();

  /** When connections were accepted that have not carried a request yet. */
  readonly #accepted = new WeakMap<Socket, AcceptMark>();

  /** Bytes that had been read from a connection when its last request ended. */
  readonly #bytesAtRest = new WeakMap<Socket, number>();

  constructor(private readonly options: CallerServerOptions) {
    this.#server = http.createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      headersTimeout: FIRST_HEADER_TIMEOUT,
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_PACE,
      keepAliveTimeout: FIRST_IDLE_TIMEOUT,
      noDelay: true,
      requireHostHeader: false,
    });
    this.#server.maxHeadersCount = 0;
    this.#server.on('connection', (socket: Socket) => {
      this.#sockets.set(socket, 0);
      // Each request that came behind another one listens for the caller's leaving.
      socket.setMaxListeners(0);
      this.#accepted.set(socket, options.eventLoop.recordAccept());
      this.accepted += 1;
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#server.on('request', (request, response) => this.#take(request, response));
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      response.writeContinue();
      this.#take(request, response);
    });
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const status = PARSER_STATUS[error.code ?? ''] ?? 400;
      const isBusy = (this.#sockets.get(socket as Socket) ?? 0) > 0;
      if (isBusy || !socket.writable || error.code === 'ECONNRESET') {
        socket.destroy();
        return;
      }
      // Whatever else comes on this connection has been told that it will not run.
      this.#refused.add(socket as Socket);
      const { bytesRead } = socket as Socket;
      if (status === TIMEOUT && bytesRead === (this.#bytesAtRest.get(socket as Socket) ?? 0)) {
        socket.end();
        return;
      }
      const line = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? 'Error'}`;
      socket.end(`${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    });
  }

  /** Starts listening. */
  listen(): Promise<void> {
    const { host, port } = this.options.address;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: this.options.listenQueue }, resolve);
    });
  }

  /** Takes the operators' limits for connections. */
  setLimits(limits: RequestLimits): void {
    const { headerTimeout, idleTimeout } = limits;
    if (Number.isFinite(headerTimeout)) this.#server.headersTimeout = headerTimeout;
    if (Number.isFinite(idleTimeout)) this.#server.keepAliveTimeout = idleTimeout + IDLE_MARGIN;
  }

  /** Requests that are being served. */
  countActive(): number {
    let active = 0;
    for (const count of this.#sockets.values()) active += count;
    return active;
  }

  /** Connections open now. */
  countConnections(): number {
    return this.#sockets.size;
  }

  /** From now on answers tell callers to close their connections; those at rest stay usable. */
  drain(): void {
    this.#draining = true;
  }

  /**
   * Closes connections at rest. A request that crosses the close is not passed on: its caller can
   * tell from the closed connection that it was not read.
   */
  async closeIdle(): Promise<void> {
    this.#closing = true;
    for (const [socket, active] of this.#sockets) {
      if (active === 0) socket.end();
    }
    await this.options.clock.sleep(LINGER);
  }

  /** Stops listening and closes everything. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets.keys()) socket.destroy();
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (this.#refused.has(socket) || (this.#closing && !socket.writable)) {
      socket.destroy();
      return;
    }
    this.#sockets.set(socket, (this.#sockets.get(socket) ?? 0) + 1);
    response.on('close', () => {
      this.#bytesAtRest.set(socket, socket.bytesRead);
      const active = this.#sockets.get(socket);
      if (active !== undefined) this.#sockets.set(socket, active - 1);
    });
    if (this.#draining && !this.#closeAfter(socket, response)) return;
    const cameAt = this.options.eventLoop.estimateArrival(this.#accepted.get(socket));
    this.#accepted.delete(socket);
    this.options.serve(request, response, cameAt);
  }

  /**
   * Makes the last answer on a connection the one that closes it, so that none behind it is cut off.
   * False when an answer that closes is on its way already: what comes behind it counts as not read, and
   * must not be passed on.
   */
  #closeAfter(socket: Socket, response: ServerResponse): boolean {
    const before = this.#closers.get(socket);
    if (before !== undefined && before.headersSent) return false;
    if (before !== undefined) before.shouldKeepAlive = true;
    response.shouldKeepAlive = false;
    this.#closers.set(socket, response);
    return true;
  }
}
