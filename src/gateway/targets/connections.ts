/**
 * Connections to one target, kept for the next call while that is safe.
 *
 * A call takes a connection that is open before its first byte is written, so "not connected" always
 * means "not sent". Bytes that arrive on a connection at rest belong to no call; it is closed.
 */
import http from 'node:http';
import net from 'node:net';
import { type Address, type Clock, scheduleLagTolerantTimeout } from '../../kernel/index.js';

/** An open connection to a target. */
export interface TargetConnection {
  readonly socket: net.Socket;
  /** Hands the connection to a request of Node's client. */
  readonly agent: http.Agent;
  /** Whether an earlier call went over it. */
  isReused: boolean;
  idleSince: number;
  /** How long the target keeps it at rest, in milliseconds. */
  idleLimit: number;
}

/** What taking a connection gives. */
export type ConnectionResult =
  | { readonly kind: 'connected'; readonly connection: TargetConnection }
  | { readonly kind: 'not-connected'; readonly reason: string };

/** Whether anybody listens at an address. */
export type ListenState = 'somebody' | 'nobody' | 'unknown';

/** How the system tells that nobody listens: a machine that is cut off or frozen tells nothing. */
const REFUSED = 'ECONNREFUSED';

/** Longest wait for a new connection: a hundred times the usual, and short of what callers notice. */
const CONNECT_TIMEOUT_MS = 250;

/** How long a connection may rest where the target says nothing. */
const DEFAULT_IDLE_LIMIT_MS = 4000;

/** The target says when it closes; we stop using the connection this long before. */
const IDLE_MARGIN_MS = 1000;

/** Lends one open socket to the requests that are made with it. */
class SocketAgent extends http.Agent {
  constructor(private readonly socket: net.Socket) {
    super({ keepAlive: true });
  }

  /** Called by Node's client to get a socket for a request. */
  addRequest(request: http.ClientRequest): void {
    request.onSocket(this.socket);
  }
}

/** The connections to one target. */
export class TargetConnections {
  readonly #idle: TargetConnection[] = [];

  #openCount = 0;

  #pendingCheck: Promise<ListenState> | undefined;

  constructor(
    private readonly address: Address,
    private readonly clock: Clock,
    private readonly onConnectionOpened: () => void,
  ) {}

  /** Connections open now, at rest or in use. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Takes a connection at rest for at most `maxRest` milliseconds, or opens a new one. */
  async take(maxIdle: number): Promise<ConnectionResult> {
    const idle = this.#takeIdle(maxIdle);
    if (idle !== undefined) return { kind: 'connected', connection: idle };
    return this.#connect();
  }

  /** Finds out by a new connection whether anybody listens; it is kept for the next call. */
  async checkListening(): Promise<ListenState> {
    this.#pendingCheck ??= this.#checkListening();
    try {
      return await this.#pendingCheck;
    } finally {
      this.#pendingCheck = undefined;
    }
  }

  /** Closes connections that have rested too long. */
  closeExpired(): void {
    const now = this.clock.now();
    for (const connection of [...this.#idle]) {
      if (now - connection.idleSince > connection.idleLimit) connection.socket.destroy();
    }
  }

  /** Closes the connections at rest; those in use end with their calls. */
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
    const now = this.clock.now();
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
      const { host, port } = this.address;
      const socket = net.connect({ host, port, noDelay: true });
      const timer = scheduleLagTolerantTimeout(CONNECT_TIMEOUT_MS, () =>
        socket.destroy(new Error('timeout')),
      );
      let reason = 'closed';
      socket.on('error', (error: NodeJS.ErrnoException) => {
        reason = error.code ?? error.message;
      });
      this.#openCount += 1;
      socket.once('close', () => {
        timer.cancel();
        this.#openCount -= 1;
        resolve({ kind: 'not-connected', reason });
      });
      socket.once('connect', () => {
        timer.cancel();
        this.onConnectionOpened();
        const agent = new SocketAgent(socket);
        const connection: TargetConnection = {
          ...{ socket, agent, isReused: false, idleSince: 0, idleLimit: DEFAULT_IDLE_LIMIT_MS },
        };
        socket.on('free', () => this.#keepIdle(connection));
        socket.once('close', () => this.#forgetIdle(connection));
        // The leaving of a caller that came in the same turn is read before anything is sent for it.
        setImmediate(() => resolve({ kind: 'connected', connection }));
      });
    });
  }

  #keepIdle(connection: TargetConnection): void {
    const { socket } = connection;
    // Bytes of a body that the target has not taken yet stand before whatever comes next.
    if (!socket.writable || socket.writableLength > 0) {
      socket.destroy();
      return;
    }
    connection.idleSince = this.clock.now();
    socket.on('data', () => socket.destroy());
    this.#idle.push(connection);
  }

  #forgetIdle(connection: TargetConnection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
  }
}

/** Reads from an answer's headers for how long its connection may rest. */
export function parseIdleLimit(keepAlive: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_LIMIT_MS;
  return Math.max(0, Number(seconds) * 1000 - IDLE_MARGIN_MS);
}
