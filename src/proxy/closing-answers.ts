/**
 * Decides which answer announces that its connection closes, while a daemon stops.
 *
 * Only an answer whose turn it is announces it, and only if no request has been received behind it.
 * Answers are written when they are ready, which may be before their turn; a request that arrives
 * until then could not be answered any more behind an announcement. Where an answer has to close its
 * connection nevertheless, requests behind it count as not read.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Responses that announce the close; their heads have not been written, or were the last. */
const announcing = new WeakSet<ServerResponse>();

/** Has an answer announce the close of its connection. Called before its head is written. */
export function announceClose(response: ServerResponse): void {
  if (response.headersSent || !response.shouldKeepAlive) return;
  response.shouldKeepAlive = false;
  announcing.add(response);
}

/**
 * Has an answer not announce the close, as requests may still arrive before its end. Called before
 * its head is written.
 */
export function cancelClose(response: ServerResponse): void {
  if (announcing.delete(response)) response.shouldKeepAlive = true;
}

/** The answers of one listener. */
export class ClosingAnswers {
  /** The response to the request that was received last on each connection. */
  readonly #last = new WeakMap<Socket, ServerResponse>();

  #isStopping = false;

  /** From now on answers announce the close, those included that are in progress on `sockets`. */
  start(sockets: Iterable<Socket>): void {
    this.#isStopping = true;
    for (const socket of sockets) {
      const response = this.#last.get(socket);
      if (response !== undefined) this.#announceInTurn(socket, response);
    }
  }

  /**
   * Adds the response to a request that has just been received. Returns false when the answer that
   * closes its connection has begun: the request then counts as not read.
   */
  add(socket: Socket, response: ServerResponse): boolean {
    const previous = this.#last.get(socket);
    if (previous !== undefined && announcing.has(previous)) {
      if (previous.headersSent) return false;
      cancelClose(previous);
    }
    this.#last.set(socket, response);
    if (this.#isStopping) this.#announceInTurn(socket, response);
    return true;
  }

  #announceInTurn(socket: Socket, response: ServerResponse): void {
    const announce = () => {
      if (this.#last.get(socket) === response) announceClose(response);
    };
    // Node assigns the connection to a response when those before it have been sent.
    if (response.socket === null) response.once('socket', announce);
    else announce();
  }
}
