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
const CONNECT_TIMEOUT = 250;

/** How long a connection may rest where the target says nothing. */
const REST_LIMIT = 4000;

/** The target says when it closes; we stop using the connection this long before. */
const REST_MARGIN = 1000;

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
  readonly #resting: TargetConnection[] = [];

  #open = 0;

  #asking: Promise<ListenState> | undefined;

  constructor(
    private readonly address: Address,
    private readonly clock: Clock,
    private readonly onOpened: () => void,
  ) {}

  /** Connections open now, at rest or in use. */
  get openCount(): number {
    return this.#open;
  }

  /** Takes a connection at rest for at most `maxRest` milliseconds, or opens a new one. */
  async take(maxRest: number): Promise<ConnectionResult> {
    const resting = this.#takeResting(maxRest);
    if (resting !== undefined) return { kind: 'connected', connection: resting };
    return this.#connect();
  }

  /** Finds out by a new connection whether anybody listens; it is kept for the next call. */
  async checkListening(): Promise<ListenState> {
    this.#asking ??= this.#askPresence();
    try {
      return await this.#asking;
    } finally {
      this.#asking = undefined;
    }
  }

  /** Closes connections that have rested too long. */
  closeExpired(): void {
    const now = this.clock.now();
    for (const connection of [...this.#resting]) {
      if (now - connection.idleSince > connection.idleLimit) connection.socket.destroy();
    }
  }

  /** Closes the connections at rest; those in use end with their calls. */
  close(): void {
    for (const connection of [...this.#resting]) connection.socket.destroy();
  }

  async #askPresence(): Promise<ListenState> {
    const asked = await this.#connect();
    if (asked.kind === 'not-connected') return asked.reason === REFUSED ? 'nobody' : 'unknown';
    asked.connection.socket.emit('free');
    return 'somebody';
  }

  #takeResting(maxRest: number): TargetConnection | undefined {
    const now = this.clock.now();
    for (;;) {
      const connection = this.#resting.pop();
      if (connection === undefined) return undefined;
      const rest = now - connection.idleSince;
      if (!connection.socket.writable || rest > connection.idleLimit) {
        connection.socket.destroy();
        continue;
      }
      if (rest > maxRest) {
        this.#resting.push(connection);
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
      const timer = scheduleLagTolerantTimeout(CONNECT_TIMEOUT, () =>
        socket.destroy(new Error('timeout')),
      );
      let reason = 'closed';
      socket.on('error', (error: NodeJS.ErrnoException) => {
        reason = error.code ?? error.message;
      });
      this.#open += 1;
      socket.once('close', () => {
        timer.cancel();
        this.#open -= 1;
        resolve({ kind: 'not-connected', reason });
      });
      socket.once('connect', () => {
        timer.cancel();
        this.onOpened();
        const agent = new SocketAgent(socket);
        const connection: TargetConnection = {
          ...{ socket, agent, isReused: false, idleSince: 0, idleLimit: REST_LIMIT },
        };
        socket.on('free', () => this.#rest(connection));
        socket.once('close', () => this.#drop(connection));
        // The leaving of a caller that came in the same turn is read before anything is sent for it.
        setImmediate(() => resolve({ kind: 'connected', connection }));
      });
    });
  }

  #rest(connection: TargetConnection): void {
    const { socket } = connection;
    // Bytes of a body that the target has not taken yet stand before whatever comes next.
    if (!socket.writable || socket.writableLength > 0) {
      socket.destroy();
      return;
    }
    connection.idleSince = this.clock.now();
    socket.on('data', () => socket.destroy());
    this.#resting.push(connection);
  }

  #drop(connection: TargetConnection): void {
    const index = this.#resting.indexOf(connection);
    if (index >= 0) this.#resting.splice(index, 1);
  }
}

/** Reads from an answer's headers for how long its connection may rest. */
export function parseIdleLimit(keepAlive: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  if (seconds === undefined) return REST_LIMIT;
  return Math.max(0, Number(seconds) * 1000 - REST_MARGIN);
}
