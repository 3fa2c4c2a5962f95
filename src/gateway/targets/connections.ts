/**
 * Connections to one target, kept for reuse while that is safe.
 *
 * A call gets an open connection before its first byte is written, so "not connected" always means
 * "not sent". Bytes that arrive on an idle connection belong to no call; the connection is closed.
 */
import http from 'node:http';
import type net from 'node:net';
import {
  type Address,
  type Clock,
  type OpenSocket,
  SocketEndWatch,
  scheduleLagTolerantTimeout,
} from '../../kernel/index.js';
import type { AnswerGuard } from '../../overload/index.js';

/** An open connection to a target. */
export interface TargetConnection {
  readonly socket: net.Socket;
  /** Tells how it has ended. */
  readonly endWatch: SocketEndWatch;
  /** Makes Node's HTTP client use this connection for a request. */
  readonly agent: http.Agent;
  /** Watches the answers on it; undefined where they are not limited. */
  readonly guard: AnswerGuard | undefined;
  /** Whether it has carried a call before. */
  isReused: boolean;
  /** Since when it has been idle, in milliseconds on this daemon's clock. */
  idleSince: number;
  /** How long it may stay idle before the target may close it, in milliseconds. */
  idleLimit: number;
}

/** The outcome of taking a connection. */
export type ConnectionResult =
  | { readonly kind: 'connected'; readonly connection: TargetConnection }
  | { readonly kind: 'not-connected'; readonly reason: string };

/** Whether a process listens at an address. */
export type ListenState = 'somebody' | 'nobody' | 'unknown';

/**
 * Error code when no process listens. A machine that is cut off or frozen sends no reply at all.
 */
const REFUSED = 'ECONNREFUSED';

/** A hundred times the usual time of a connect, and too short for callers to notice. */
export const CONNECT_TIMEOUT_MS = 250;

/** Used when the target states no keep-alive timeout. */
const DEFAULT_IDLE_LIMIT_MS = 4000;

/**
 * A connection is not reused for this long before the target closes it, according to its keep-alive
 * timeout.
 */
const IDLE_MARGIN_MS = 1000;

/** Provides one open socket to the requests that are made with it. */
class SocketAgent extends http.Agent {
  constructor(private readonly socket: net.Socket) {
    super({ keepAlive: true });
  }

  /** Called by Node's client to get a socket for a request. */
  addRequest(request: http.ClientRequest): void {
    request.onSocket(this.socket);
  }
}

/** What the connections depend on and report to. */
export interface ConnectionOptions {
  readonly clock: Clock;
  readonly openSocket: OpenSocket;
  readonly answerGuard?: AnswerGuard;
  readonly onOpened: () => void;
  /** Called when no connection could be opened. */
  readonly onFailed: () => void;
}

/** The connections to one target. */
export class TargetConnections {
  readonly #idle: TargetConnection[] = [];

  #openCount = 0;

  #pendingCheck: Promise<ListenState> | undefined;

  constructor(
    private readonly address: Address,
    private readonly options: ConnectionOptions,
  ) {}

  /** Connections open now, idle or in use. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Takes a connection that has been idle for at most `maxIdle` milliseconds, or opens a new one.
   */
  async take(maxIdle: number): Promise<ConnectionResult> {
    const idle = this.#takeIdle(maxIdle);
    if (idle !== undefined) return { kind: 'connected', connection: idle };
    return this.#connect();
  }

  /**
   * Checks with a new connection whether a process listens there; the connection is kept for the
   * next call.
   */
  async checkListening(): Promise<ListenState> {
    this.#pendingCheck ??= this.#checkListening();
    try {
      return await this.#pendingCheck;
    } finally {
      this.#pendingCheck = undefined;
    }
  }

  /** Closes connections that have been idle longer than they may. */
  closeExpired(): void {
    const now = this.options.clock.now();
    for (const connection of [...this.#idle]) {
      if (now - connection.idleSince > connection.idleLimit) connection.socket.destroy();
    }
  }

  /** Closes the idle connections; those in use end with their calls. */
  close(): void {
    for (const connection of [...this.#idle]) connection.socket.destroy();
  }

  async #checkListening(): Promise<ListenState> {
    const result = await this.#connect();
    if (result.kind === 'not-connected') return result.reason === REFUSED ? 'nobody' : 'unknown';
    result.connection.socket.emit('free');
    return 'somebody';
  }

  #takeIdle(maxIdle: number): TargetConnection | undefined {
    const now = this.options.clock.now();
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) return undefined;
      const idleTime = now - connection.idleSince;
      if (!connection.socket.writable || idleTime > connection.idleLimit) {
        connection.socket.destroy();
        continue;
      }
      if (idleTime > maxIdle) {
        this.#idle.push(connection);
        return undefined;
      }
      connection.socket.removeAllListeners('data');
      connection.isReused = true;
      return connection;
    }
  }

  #connect(): Promise<ConnectionResult> {
    return new Promise((resolve) => {
      const socket = this.options.openSocket(this.address);
      const endWatch = new SocketEndWatch(socket);
      const timer = scheduleLagTolerantTimeout(CONNECT_TIMEOUT_MS, () =>
        socket.destroy(new Error('timeout')),
      );
      let reason = 'closed';
      let isOpened = false;
      socket.on('error', (error: NodeJS.ErrnoException) => {
        reason = error.code ?? error.message;
      });
      this.#openCount += 1;
      socket.once('close', () => {
        timer.cancel();
        this.#openCount -= 1;
        if (!isOpened) this.options.onFailed();
        resolve({ kind: 'not-connected', reason });
      });
      socket.once('connect', () => {
        timer.cancel();
        isOpened = true;
        this.options.onOpened();
        const agent = new SocketAgent(socket);
        const connection: TargetConnection = {
          ...{ socket, endWatch, agent, isReused: false, idleSince: 0 },
          guard: this.options.answerGuard,
          idleLimit: DEFAULT_IDLE_LIMIT_MS,
        };
        socket.on('free', () => this.#keepIdle(connection));
        socket.once('close', () => this.#forgetIdle(connection));
        // If the caller disconnected in the same event-loop iteration, that is processed first and
        // nothing is sent for it.
        setImmediate(() => resolve({ kind: 'connected', connection }));
      });
    });
  }

  #keepIdle(connection: TargetConnection): void {
    const { socket } = connection;
    // Body bytes that the target has not read yet would precede the next request.
    if (!socket.writable || socket.writableLength > 0) {
      socket.destroy();
      return;
    }
    connection.idleSince = this.options.clock.now();
    socket.on('data', () => socket.destroy());
    this.#idle.push(connection);
  }

  #forgetIdle(connection: TargetConnection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
  }
}

/** Parses a `Keep-Alive` header into the time that a connection may stay idle, in milliseconds. */
export function parseIdleLimit(keepAlive: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_LIMIT_MS;
  return Math.max(0, Number(seconds) * 1000 - IDLE_MARGIN_MS);
}
