/**
 * The listener for callers: keeps connections alive, drains them and closes them without losing a
 * request.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Address, Clock, Log, LogFields, TextMetrics } from '../../kernel/index.js';
import {
  type ConnectionGuard,
  type GatewayListener,
  findRequestMemory,
} from '../../overload/index.js';
import { ClosingAnswers } from '../../proxy/closing-answers.js';
import { type ServerProtection, createGuard } from '../../proxy/guarded-server.js';
import { UnreadBodies } from '../../proxy/unread-body.js';
import { HEADERS, readHeader } from '../../platform/index.js';
import type { RequestLimits } from '../../routing/index.js';
import type { AcceptMark, EventLoopMonitor } from '../event-loop-monitor.js';
import { writeLocalAnswer } from './answers.js';
import { OpenRequests } from './open-requests.js';
import { PipelinedRequests } from './pipelined-requests.js';
import { NO_MEMORY_ANSWER } from './request-reader.js';

/** Dependencies of the listener. */
export interface CallerServerOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly eventLoop: EventLoopMonitor;
  readonly metrics: TextMetrics;
  readonly log: Log;
  /** Describes what has changed lately in this daemon: a stop, a reload, a configuration. */
  readonly describeChanges: () => LogFields;
  /** Length of the listen queue: connections that may wait to be accepted. */
  readonly listenQueue: number;
  readonly name: 'callers' | 'carrying';
  readonly protection: ServerProtection<GatewayListener>;
  /** Whether requests wait for this daemon's CPU. */
  readonly isBusy: () => boolean;
  /** Bytes by which heads may be longer than the operators' limit. */
  readonly addedHeaderBytes: number;
  /**
   * Handles a request; `estimatedArrivalAt` is when it is estimated to have arrived, on the
   * kernel's clock.
   */
  readonly serve: (
    request: IncomingMessage,
    response: ServerResponse,
    estimatedArrivalAt: number,
  ) => void;
}

/** Longest head that the parser accepts while no configuration is known, in bytes. */
const DEFAULT_HEADER_BYTES = 65_536;

/** How long a connection whose input was rejected stays open for its answer, in milliseconds. */
const REJECTED_LINGER_MS = 1000;

/** Retry-After of a request that is refused for what it costs, in milliseconds. */
const COSTLY_RETRY_AFTER_MS = 500;

/**
 * Connections are kept open this much longer than callers are told, so that no caller sends into a
 * close. In milliseconds.
 */
const IDLE_MARGIN_MS = 1000;

const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;

const PARSER_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT,
};

/**
 * How long input is still read from a connection that this daemon closes, for a request that
 * crosses the close.
 */
const LINGER_MS = 150;

/** Connections that a whole core accepts, reads and refuses per second. */
const ACCEPTS_PER_CORE_SECOND = 1000;

/**
 * Longest wait in the listen queue, in milliseconds. Connections can't be inspected before they are
 * accepted, so they must not wait long: a caller refused after this time can still be served by
 * another daemon.
 */
const MAX_LISTEN_WAIT_MS = 200;

const MIN_LISTEN_QUEUE = 16;

/**
 * Computes the length of the listen queue. When it is full, further callers get no connection and
 * turn to another daemon; in a longer queue they would wait until they left and be accepted after
 * that.
 *
 * @param capacity number of CPU cores that this machine has for the daemon; may be below 1
 */
export function computeListenQueue(capacity: number): number {
  return Math.max(
    MIN_LISTEN_QUEUE,
    Math.round((capacity * ACCEPTS_PER_CORE_SECOND * MAX_LISTEN_WAIT_MS) / 1000),
  );
}

/** Answers that the input of a connection was rejected, and ends it. */
function rejectInput(socket: Socket, status: number): void {
  const line = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? 'Error'}`;
  socket.end(`${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

/** The listener of one daemon. */
export class CallerServer {
  readonly #server: http.Server;

  readonly #requests: OpenRequests;

  /** Connections accepted since the start. */
  accepted = 0;

  #isClosing = false;

  /** Connections on which an answer was written that refuses everything else on the connection. */
  readonly #refused = new WeakSet<Socket>();

  readonly #unreadBodies: UnreadBodies;

  readonly #guard: ConnectionGuard;

  readonly #pipelinedRequests: PipelinedRequests;

  #idleTimeout = DEFAULT_IDLE_TIMEOUT_MS;

  #maxBodyBytes = Infinity;

  readonly #closingAnswers = new ClosingAnswers();

  /** When each connection was accepted, until its first request. */
  readonly #acceptMarks = new WeakMap<Socket, AcceptMark>();

  /** Bytes that had been read from a connection when its last request ended. */
  readonly #bytesReadAtIdle = new WeakMap<Socket, number>();

  constructor(private readonly options: CallerServerOptions) {
    this.#requests = new OpenRequests({ ...options, listener: options.name });
    this.#unreadBodies = new UnreadBodies({
      clock: options.clock,
      onOutcome: (outcome, socket) => {
        options.metrics.count('unread_bodies', { outcome });
        if (outcome === 'cut') this.#requests.recordClosure(socket, 'unread-body');
      },
      onClosing: (socket) => this.#requests.recordClosure(socket, 'announced'),
      readMaxBodyBytes: () => this.#maxBodyBytes,
    });
    this.#pipelinedRequests = new PipelinedRequests(options.isBusy);
    this.#guard = createGuard(
      options.name,
      options.protection,
      () => this.#idleTimeout,
      (socket, reason) => this.#requests.recordClosure(socket, reason),
    );
    this.#server = http.createServer({
      maxHeaderSize: DEFAULT_HEADER_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      requestTimeout: 0,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      noDelay: true,
      requireHostHeader: false,
    });
    this.#server.maxHeadersCount = 0;
    this.#server.on('connection', (socket: Socket) => {
      this.#requests.addConnection(socket);
      this.#guard.watchConnection(socket);
      this.#unreadBodies.watchConnection(socket);
      // Each pipelined request adds listeners that watch for the caller's disconnect.
      socket.setMaxListeners(0);
      this.#acceptMarks.set(socket, options.eventLoop.recordAccept());
      this.accepted += 1;
    });
    this.#server.on('request', (request, response) => this.#handleRequest(request, response));
    // `serve` writes `100 Continue` once the request is not rejected by its head.
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) =>
      this.#handleRequest(request, response),
    );
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#handleInputError(error, socket as Socket),
    );
  }

  /** Starts listening; rejects if the address can't be bound. */
  listen(): Promise<void> {
    const { host, port } = this.options.address;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: this.options.listenQueue }, resolve);
    });
  }

  /** Applies the operators' time-outs for connections. */
  setLimits(limits: RequestLimits): void {
    const { headerTimeout, idleTimeout, bodyBytes, headerBytes } = limits;
    this.#maxBodyBytes = bodyBytes;
    if (Number.isFinite(headerBytes)) {
      // The parser of each new connection takes it from here, and rejects a head of this length.
      Object.assign(this.#server, {
        maxHeaderSize: headerBytes + this.options.addedHeaderBytes + 1,
      });
    }
    if (Number.isFinite(headerTimeout)) this.#server.headersTimeout = headerTimeout;
    if (Number.isFinite(idleTimeout)) {
      this.#idleTimeout = idleTimeout + IDLE_MARGIN_MS;
      this.#server.keepAliveTimeout = this.#idleTimeout;
    }
  }

  /** Counts the requests in progress. */
  countActive(): number {
    return this.#requests.countAll();
  }

  /** Counts the open connections. */
  countConnections(): number {
    return this.#requests.connections;
  }

  /** From now on answers tell callers to close their connections; idle ones stay usable. */
  drain(): void {
    this.#closingAnswers.start(this.#requests.listConnections());
  }

  /** Starts the requests that wait for others of their connections. */
  startWaiting(): void {
    for (const socket of this.#requests.listConnections()) this.#pipelinedRequests.startAll(socket);
  }

  /**
   * Closes idle connections. A request that crosses the close is not forwarded: its caller can tell
   * from the closed connection that it was not read.
   */
  async closeIdle(): Promise<void> {
    this.#isClosing = true;
    for (const socket of this.#requests.listConnections()) {
      if (this.#requests.count(socket) === 0) socket.end();
    }
    await this.options.clock.sleep(LINGER_MS);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#guard.stop();
    this.#server.close();
    for (const socket of this.#requests.listConnections()) {
      this.#requests.recordClosure(socket, 'stopped');
      socket.destroy();
    }
  }

  /**
   * Handles input that is no request, or no whole one in time. Nothing behind it is read; requests
   * before it on the connection are answered first.
   */
  #handleInputError({ code = '' }: NodeJS.ErrnoException, socket: Socket): void {
    // A caller that ends its side within a request has left.
    if (!socket.writable || socket.readableEnded || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = PARSER_STATUS[code] ?? BAD_REQUEST;
    // The answer promises that whatever else arrives on this connection will not run.
    this.#refused.add(socket);
    this.#guard.reject(socket);
    const hasInput = socket.bytesRead !== (this.#bytesReadAtIdle.get(socket) ?? 0);
    this.#requests.callWhenAnswered(socket, () => {
      const closure = status === REQUEST_TIMEOUT ? 'header-timeout' : 'malformed-input';
      this.#requests.recordClosure(socket, closure);
      this.options.clock.schedule(REJECTED_LINGER_MS, () => socket.destroy());
      // A connection on which no request has begun is closed without an answer.
      if (status === REQUEST_TIMEOUT && !hasInput) socket.end();
      // A request whose body broke off is still there, and may have an answer that has begun.
      else if (this.#requests.count(socket) > 0) socket.destroy();
      else rejectInput(socket, status);
    });
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const isRefused = this.#refused.has(socket) || this.#unreadBodies.isClosing(socket);
    if (isRefused || (this.#isClosing && !socket.writable)) {
      socket.destroy();
      return;
    }
    const mayServe = this.#guard.watchRequest(request, response);
    // The request may have been the one that its connection was closed for.
    if (socket.destroyed) return;
    this.#unreadBodies.watchRequest(request, response);
    const id = readHeader(request.headers, HEADERS.requestId) ?? '';
    this.#requests.add(response, id, () => this.#bytesReadAtIdle.set(socket, socket.bytesRead));
    if (!this.#closingAnswers.add(socket, response)) return;
    if (!mayServe) {
      const reason = 'too-many-fields';
      writeLocalAnswer(response, id, {
        ...{ kind: 'not-run', reason, retryAfter: COSTLY_RETRY_AFTER_MS },
      });
      return;
    }
    const estimatedArrivalAt = this.options.eventLoop.estimateArrival(
      this.#acceptMarks.get(socket),
    );
    this.#acceptMarks.delete(socket);
    const memory = findRequestMemory(request);
    if (memory !== undefined) {
      memory.onEvict = () => writeLocalAnswer(response, id, NO_MEMORY_ANSWER);
    }
    this.#pipelinedRequests.add(socket, response, () => {
      if (memory !== undefined) memory.onEvict = undefined;
      this.options.serve(request, response, estimatedArrivalAt);
    });
  }
}
