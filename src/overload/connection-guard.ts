/**
 * Stands between the connections of an HTTP listener and its parser. Bounds what a connection makes
 * this process hold and do: requests that are accepted and not answered, answers that are not read,
 * heads and bodies that nobody has taken yet, and the time that its input takes. What can't be
 * accepted now stays unread, so that its sender is slowed down.
 *
 * Bounds on all connections together close the worst of them: those that hold the most memory, and
 * when there are too many, those that have been idle for the longest time. A new connection is
 * closed instead where all others have whole requests in progress.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Timer } from '../kernel/index.js';
import {
  type Feed,
  GuardedConnection,
  type GuardedConnectionOptions,
} from './guarded-connection.js';

/** Dependencies of a guard. */
export interface GuardOptions extends GuardedConnectionOptions {
  /** Connections that the listener holds at most. */
  readonly maxConnections: number;
}

/** Requests with more header fields than this take the parser, and whoever reads them, much longer. */
export const MANY_FIELDS = 256;

/**
 * Requests with so many fields that a listener serves at once. The second value holds while
 * connections wait for their turns.
 */
const MAX_REQUESTS_WITH_MANY_FIELDS = 16;
const MAX_REQUESTS_WITH_MANY_FIELDS_IN_CROWD = 2;

/** Interval between two checks for answers that are not read, in milliseconds. */
const SWEEP_INTERVAL_MS = 1000;

/** The guard of one listener. */
export class ConnectionGuard {
  readonly #connections = new Map<Socket, GuardedConnection>();

  #timer: Timer | undefined;

  /** Responses to requests with many fields, until they are complete. */
  readonly #withManyFields = new Set<ServerResponse>();

  constructor(private readonly options: GuardOptions) {}

  /** Open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Puts the guard between a new connection and the parser that the server has given it. */
  watchConnection(socket: Socket): void {
    const feeds = socket.listeners('data') as Feed[];
    socket.removeAllListeners('data');
    const feed = (chunk: Buffer) => {
      for (const parse of feeds) parse.call(socket, chunk);
    };
    const connection = new GuardedConnection(socket, feed, this.options);
    if (!this.#makeRoom()) {
      connection.close('connections');
      return;
    }
    this.#connections.set(socket, connection);
    socket.on('close', () => this.#forget(socket));
    this.#timer ??= this.#scheduleSweep();
  }

  /**
   * Starts to account for a request; called before anything else is done about it. Returns whether
   * it may be served; otherwise it is to be refused.
   */
  watchRequest(request: IncomingMessage, response: ServerResponse): boolean {
    this.#connections.get(request.socket)?.watchRequest(request, response);
    if (request.rawHeaders.length / 2 <= MANY_FIELDS) return true;
    const max =
      this.options.turns.size > 0
        ? MAX_REQUESTS_WITH_MANY_FIELDS_IN_CROWD
        : MAX_REQUESTS_WITH_MANY_FIELDS;
    if (this.#withManyFields.size >= max) return false;
    this.#withManyFields.add(response);
    response.once('close', () => this.#withManyFields.delete(response));
    return true;
  }

  /** Forgets a connection that is closed; responses behind the first on it get no event. */
  #forget(socket: Socket): void {
    this.#connections.delete(socket);
    for (const response of this.#withManyFields) {
      if (response.req.socket === socket) this.#withManyFields.delete(response);
    }
  }

  /** Ignores further input of a connection, as the parser has rejected it. */
  reject(socket: Socket): void {
    this.#connections.get(socket)?.reject();
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.#timer?.cancel();
  }

  #scheduleSweep(): Timer {
    return this.options.clock.schedule(SWEEP_INTERVAL_MS, () => {
      for (const connection of this.#connections.values()) connection.checkUnread();
      this.#timer = this.#connections.size > 0 ? this.#scheduleSweep() : undefined;
    });
  }

  /**
   * Closes a connection when there are too many, preferably one that has never sent a request.
   * Returns false if all have whole requests in progress.
   */
  #makeRoom(): boolean {
    if (this.#connections.size < this.options.maxConnections) return true;
    let worst: GuardedConnection | undefined;
    for (const connection of this.#connections.values()) {
      if (connection.socket.destroyed) continue;
      if (worst === undefined || isWorse(connection, worst)) worst = connection;
    }
    if (worst === undefined) return true;
    if (worst.hasWholeRequest) return false;
    worst.close('connections');
    return true;
  }
}

/**
 * The order in which connections are closed when there are too many: the lowest first, and none of
 * the last rank.
 */
function rankConnection(connection: GuardedConnection): number {
  if (connection.hasWholeRequest) return 3;
  if (connection.openRequests > 0) return 2;
  return connection.answered > 0 ? 1 : 0;
}

/** Whether a connection is closed before another one, when there are too many. */
function isWorse(one: GuardedConnection, other: GuardedConnection): boolean {
  const rank = rankConnection(one);
  if (rank !== rankConnection(other)) return rank < rankConnection(other);
  // A client that has never completed a request can keep its connection active.
  return rank === 0 ? one.openedAt < other.openedAt : one.lastActiveAt < other.lastActiveAt;
}
