/**
 * Decides what becomes of a body that has not been read when its request is answered.
 *
 * Its caller goes on sending, and whatever comes behind the body on the same connection can't be
 * read before. If little is left, it is read and discarded, and the connection is kept. Otherwise
 * the answer announces that the connection closes, so its caller knows that nothing behind the body
 * is read. Such a connection is closed in two steps, as bytes that arrive after its end would reset
 * it, and the caller could lose the answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/index.js';

/** Longest rest of a body that is discarded to keep its connection, in bytes. */
export const MAX_DISCARDED_BYTES = 1_048_576;

/** The rest of a body is discarded for this long at most; then the connection is closed. */
const MAX_DISCARD_TIME_MS = 5000;

const CHECK_INTERVAL_MS = 100;

/** Requests with a chunked body that has turned out to be long. */
const longChunkedBodies = new WeakSet<IncomingMessage>();

/** Records that a chunked body is longer than {@link MAX_DISCARDED_BYTES}. */
export function recordLongBody(request: IncomingMessage): void {
  longChunkedBodies.add(request);
}

function isLong(request: IncomingMessage): boolean {
  const length = Number(request.headers['content-length'] ?? 0);
  return length > MAX_DISCARDED_BYTES || longChunkedBodies.has(request);
}

/**
 * Has an answer announce that its connection closes, if a long body is still unread. Called before
 * the head of the answer is written.
 */
export function closeAfterLongBody(response: ServerResponse): void {
  const { req: request } = response;
  if (!request.complete && isLong(request)) response.shouldKeepAlive = false;
}

/**
 * What became of an unread body: it was discarded and its connection kept, its connection was
 * closed as the answer had announced, or closed although it was to be kept, because the rest was
 * too long or too slow.
 */
export type UnreadBodyOutcome = 'discarded' | 'closed' | 'cut';

/** Dependencies of {@link UnreadBodies}. */
export interface UnreadBodiesOptions {
  readonly clock: Clock;
  readonly onOutcome: (outcome: UnreadBodyOutcome, socket: Socket) => void;
  /** Called when the answer that closes a connection has been sent. */
  readonly onClosing?: (socket: Socket) => void;
  /** Returns the length that a body may have, in bytes. */
  readonly readMaxBodyBytes: () => number;
}

interface DiscardOptions {
  readonly maxBytes: number;
  readonly onEnd: (outcome: UnreadBodyOutcome) => void;
}

/** The unread bodies of one listener. */
export class UnreadBodies {
  /** The request that was received last on each connection. */
  readonly #lastRequests = new WeakMap<Socket, IncomingMessage>();

  /** Connections whose closing answer has been sent. */
  readonly #closing = new WeakSet<Socket>();

  constructor(private readonly options: UnreadBodiesOptions) {}

  /** Watches a new connection. */
  watchConnection(socket: Socket): void {
    const destroySoon = socket.destroySoon.bind(socket);
    // Node's server calls this after the closing answer of a connection.
    socket.destroySoon = () => {
      this.options.onClosing?.(socket);
      const request = this.#lastRequests.get(socket);
      if (request === undefined || request.complete) destroySoon();
      else this.#closeGracefully(socket, request);
    };
  }

  /** Watches a request that has just been received. */
  watchRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    this.#lastRequests.set(socket, request);
    response.once('finish', () => {
      if (request.complete || socket.destroyed || this.#closing.has(socket)) return;
      const { onOutcome } = this.options;
      const onEnd = (outcome: UnreadBodyOutcome) => onOutcome(outcome, socket);
      this.#discard(socket, request, { maxBytes: MAX_DISCARDED_BYTES, onEnd });
    });
  }

  /** Whether the closing answer of a connection has been sent, so that no request is read from it. */
  isClosing(socket: Socket): boolean {
    return this.#closing.has(socket);
  }

  /** Ends the sending side, and the connection when its caller has done so or sends too much. */
  #closeGracefully(socket: Socket, request: IncomingMessage): void {
    this.#closing.add(socket);
    this.options.onOutcome('closed', socket);
    socket.end();
    request.once('end', () => socket.destroy());
    const maxBytes = this.options.readMaxBodyBytes();
    this.#discard(socket, request, { maxBytes, onEnd: () => undefined });
  }

  #discard(socket: Socket, request: IncomingMessage, { maxBytes, onEnd }: DiscardOptions): void {
    const { clock } = this.options;
    const bytesBefore = socket.bytesRead;
    const endAt = clock.now() + MAX_DISCARD_TIME_MS;
    request.unpipe();
    request.removeAllListeners('data');
    request.resume();
    const check = () => {
      if (request.complete || socket.destroyed) {
        if (request.complete) onEnd('discarded');
        return;
      }
      if (socket.bytesRead - bytesBefore <= maxBytes && clock.now() < endAt) {
        clock.schedule(CHECK_INTERVAL_MS, check);
        return;
      }
      onEnd('cut');
      socket.destroy();
    };
    clock.schedule(CHECK_INTERVAL_MS, check);
  }
}
