/**
 * An HTTP server for short answers that a daemon makes itself: its state, addresses, changes for
 * other daemons. Its connections are guarded, and the requests of one connection are answered one
 * after the other, so that each answer is made only when its client has read the one before.
 */
import http, { type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/index.js';
import {
  type ClientLimits,
  ConnectionGuard,
  type GuardClosure,
  MemoryBudget,
  ReadTurns,
  hasBody,
} from '../overload/index.js';
import { MAX_DISCARDED_BYTES, UnreadBodies } from './unread-body.js';

/** What all listeners of a process share; `Name` is that of a listener. */
export interface ServerProtection<Name extends string> {
  readonly clock: Clock;
  readonly budget: MemoryBudget;
  readonly turns: ReadTurns;
  readonly limits: ClientLimits<Name>;
  /** Called when a connection is closed, or a request refused, as its client misbehaves. */
  readonly onClose: (listener: Name, reason: GuardClosure) => void;
}

/** Where the listeners of a process run, and what they tell. */
export type ProtectionOptions<Name extends string> = Pick<
  ServerProtection<Name>,
  'clock' | 'onClose'
> & {
  /** Calls an action at the end of this iteration of the event loop. */
  readonly scheduleAfterIteration: (action: () => void) => void;
  /** Whether connections may wait to be accepted. */
  readonly isAccepting: () => boolean;
};

/** Creates what all listeners of a process share. */
export function createProtection<Name extends string>(
  limits: ClientLimits<Name>,
  { clock, onClose, ...eventLoop }: ProtectionOptions<Name>,
): ServerProtection<Name> {
  const budget = new MemoryBudget(limits.heldBytes);
  return { clock, onClose, limits, budget, turns: new ReadTurns({ clock, ...eventLoop }) };
}

/** Lists the gauges of what the clients of a process hold. */
export function listProtectionGauges({
  budget,
  turns,
}: Pick<ServerProtection<string>, 'budget' | 'turns'>): Readonly<Record<string, number>> {
  return {
    client_memory_bytes: budget.held,
    client_memory_limit_bytes: budget.limit,
    clients_evicted: budget.evictions,
    connections_waiting_to_be_read: turns.size,
  };
}

/** Options of one such server. */
export interface GuardedServerOptions<Name extends string> {
  readonly name: Name;
  readonly protection: ServerProtection<Name>;
  readonly handle: RequestListener;
  /** Longest time in which a request has to arrive, in milliseconds. */
  readonly requestTimeout?: number;
}

const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const REQUEST_TIMEOUT_MS = 5000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;

/** Longest time for which an answer may stay unread, in milliseconds. */
const UNREAD_TIMEOUT_MS = 5000;

/** Answers the requests of each connection one after the other. */
class AnswerSequence {
  /** The last response of each connection. */
  readonly #last = new WeakMap<Socket, ServerResponse>();

  /** Calls `answer` when the requests before this one on its connection have been answered. */
  add({ socket }: IncomingMessage, response: ServerResponse, answer: () => void): void {
    const previous = this.#last.get(socket);
    this.#last.set(socket, response);
    if (previous === undefined || previous.closed) answer();
    else previous.once('close', answer);
  }
}

/** Creates the guard of one listener. */
export function createGuard<Name extends string>(
  name: Name,
  { limits, onClose, ...shared }: ServerProtection<Name>,
  readUnreadTimeout: () => number,
  onClosed: (socket: Socket, reason: GuardClosure) => void = () => undefined,
): ConnectionGuard {
  return new ConnectionGuard({
    ...{ ...shared, readUnreadTimeout, maxConnections: limits.connections[name] },
    onClose: (reason, closed) => {
      onClose(name, reason);
      if (closed !== undefined) onClosed(closed, reason);
    },
  });
}

/** Creates a server that does not listen yet. */
export function createGuardedServer<Name extends string>(
  options: GuardedServerOptions<Name>,
): http.Server {
  const { handle, name, protection, requestTimeout = REQUEST_TIMEOUT_MS } = options;
  const sequence = new AnswerSequence();
  const guard = createGuard(name, protection, () => UNREAD_TIMEOUT_MS);
  const unreadBodies = new UnreadBodies({
    ...{ clock: protection.clock, onOutcome: () => undefined },
    readMaxBodyBytes: () => MAX_DISCARDED_BYTES,
  });
  const server = http.createServer(
    {
      ...{ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requestTimeout },
      ...{ headersTimeout: REQUEST_TIMEOUT_MS, noDelay: true },
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
    (request, response) => {
      if (unreadBodies.isClosing(request.socket)) {
        request.socket.destroy();
        return;
      }
      const mayServe = guard.watchRequest(request, response);
      if (request.socket.destroyed) return;
      unreadBodies.watchRequest(request, response);
      // Nothing behind a body is read, whether the answer needs the body or not.
      if (hasBody(request)) response.shouldKeepAlive = false;
      sequence.add(request, response, () => {
        if (response.destroyed) return;
        if (mayServe) handle(request, response);
        else response.writeHead(SERVICE_UNAVAILABLE, { 'content-length': 0 }).end();
      });
    },
  );
  server.on('connection', (socket) => {
    unreadBodies.watchConnection(socket);
    guard.watchConnection(socket);
  });
  server.on('close', () => guard.stop());
  return server;
}

const SERVICE_UNAVAILABLE = 503;
