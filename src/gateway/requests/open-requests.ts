/**
 * The requests of each caller's connection that are not answered yet. When a connection closes with
 * such requests, what closed it and how far each of them had come is logged and counted.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Log, LogFields, TextMetrics } from '../../kernel/index.js';
import { type GuardClosure, findRequestMemory } from '../../overload/index.js';

/** Why this daemon has closed a connection of a caller. */
export type ConnectionClosure =
  | GuardClosure
  /** What arrived is not HTTP. */
  | 'malformed-input'
  /** The head of a request was not complete in time. */
  | 'header-timeout'
  /** An answer that was sent had announced the close. */
  | 'announced'
  /** An earlier request's body was too long or too slow to be discarded. */
  | 'unread-body'
  /** The daemon has stopped. */
  | 'stopped';

/** Dependencies of the requests. */
export interface OpenRequestsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
  readonly listener: string;
  /** Describes what has changed lately in this daemon: a stop, a reload, a configuration. */
  readonly describeChanges: () => LogFields;
}

interface OpenRequest {
  readonly id: string;
  readonly response: ServerResponse;
  readonly receivedAt: number;
  /** Its place among the requests of its connection, from 1 on. */
  readonly place: number;
}

interface OpenConnection {
  readonly open: Map<ServerResponse, OpenRequest>;
  received: number;
  /** Called when all requests that were received whole have been answered. */
  onAnswered: (() => void) | undefined;
  closure: ConnectionClosure | undefined;
}

function hasWholeRequest({ open }: OpenConnection): boolean {
  for (const { response } of open.values()) {
    if (response.req.complete) return true;
  }
  return false;
}

/** The connections of one listener, with their requests. */
export class OpenRequests {
  readonly #connections = new Map<Socket, OpenConnection>();

  constructor(private readonly options: OpenRequestsOptions) {}

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Lists the open connections. */
  listConnections(): readonly Socket[] {
    return [...this.#connections.keys()];
  }

  /** Counts the requests that are not answered, on all connections. */
  countAll(): number {
    let count = 0;
    for (const { open } of this.#connections.values()) count += open.size;
    return count;
  }

  /** Counts the requests of one connection that are not answered. */
  count(socket: Socket): number {
    return this.#connections.get(socket)?.open.size ?? 0;
  }

  /** Watches a new connection. */
  addConnection(socket: Socket): void {
    this.#connections.set(socket, {
      open: new Map(),
      received: 0,
      onAnswered: undefined,
      closure: undefined,
    });
    socket.on('close', () => {
      this.#logUnanswered(socket);
      this.#connections.delete(socket);
    });
  }

  /** Adds a request that has just been received; `onAnswered` is called when its response closes. */
  add(response: ServerResponse, id: string, onAnswered: () => void): void {
    const connection = this.#connections.get(response.req.socket);
    if (connection === undefined) return;
    connection.received += 1;
    const receivedAt = this.options.clock.now();
    connection.open.set(response, { id, response, receivedAt, place: connection.received });
    response.on('close', () => {
      connection.open.delete(response);
      onAnswered();
      if (!hasWholeRequest(connection)) connection.onAnswered?.();
    });
  }

  /**
   * Calls an action when all requests of a connection that were received whole have been answered,
   * at once if they are.
   */
  callWhenAnswered(socket: Socket, action: () => void): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    if (hasWholeRequest(connection)) connection.onAnswered = action;
    else action();
  }

  /** Records why a connection is being closed; the first reason counts. */
  recordClosure(socket: Socket, closure: ConnectionClosure): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.closure ??= closure;
  }

  #logUnanswered(socket: Socket): void {
    const { open, closure } = this.#connections.get(socket) ?? {};
    // Without a closure the caller has left, or the network has failed.
    if (open === undefined || closure === undefined) return;
    const { clock, log, metrics, listener, describeChanges } = this.options;
    for (const { id, response, receivedAt, place } of open.values()) {
      if (response.writableFinished) continue;
      const isForwarded = findRequestMemory(response.req)?.isForwarded === true;
      metrics.count('requests_unanswered', { listener, closure, forwarded: String(isForwarded) });
      log.warn('request.unanswered', {
        ...{ id, listener, closure, forwarded: isForwarded, place, open: open.size },
        ...{ answered: response.writableEnded, begun: response.headersSent },
        age: Math.round(clock.now() - receivedAt),
        ...describeChanges(),
      });
    }
  }
}
