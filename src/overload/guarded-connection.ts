/**
 * One connection of an HTTP listener, guarded: its input reaches the parser in pieces, and only as
 * far as its requests, bodies and answers have been taken.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/index.js';
import { InputPace, MAX_PIECE_BYTES, MIN_PIECE_BYTES, PAUSED_SOCKET_BYTES } from './input-pace.js';
import type { MemoryAccount, MemoryBudget, MemoryOwner } from './memory-budget.js';
import type { ReadTurns, Reader } from './read-turns.js';
import { RequestMemory, setRequestMemory } from './request-memory.js';

/** Why a connection is closed by its guard. */
export type GuardClosure =
  /** It holds more memory than others while all together hold too much. */
  | 'memory'
  /** There are too many connections, and it has been idle for long. */
  | 'connections'
  /** It has not read any of an answer for too long. */
  | 'unread-answer'
  /** It went on sending after its input was rejected. */
  | 'rejected-input';

/** What a guarded connection works with. */
export interface GuardedConnectionOptions {
  readonly clock: Clock;
  readonly budget: MemoryBudget;
  readonly turns: ReadTurns;
  /** How long a client may leave an answer unread without closing, in milliseconds. */
  readonly readUnreadTimeout: () => number;
  /**
   * Called when the guard closes a connection, which is `closed`, or refuses one of its requests
   * instead.
   */
  readonly onClose: (reason: GuardClosure, closed?: Socket) => void;
}

/**
 * Requests of one connection that are accepted and not answered. Further ones stay unread, and are
 * read when an earlier one has been answered.
 */
export const MAX_PIPELINED_REQUESTS = 8;

/** While this many bytes of answers wait to be sent on a connection, nothing more is read from it. */
const MAX_UNSENT_BYTES = 262_144;

/** Estimated memory of a request and its response, without header fields and body, in bytes. */
const REQUEST_BYTES = 8192;

/** Estimated memory of a header field besides its characters, in bytes. */
const FIELD_BYTES = 256;

/** A head that is not complete is estimated at this many times its bytes, as if made of short fields. */
const INCOMPLETE_HEAD_FACTOR = 12;

/** What a connection may send after its input was rejected, until it is closed, in bytes. */
const MAX_REJECTED_BYTES = 1_048_576;

function estimateRequestBytes({ rawHeaders }: IncomingMessage): number {
  let bytes = REQUEST_BYTES + (rawHeaders.length / 2) * FIELD_BYTES;
  for (const part of rawHeaders) bytes += part.length;
  return bytes;
}

/** Whether a request has a body, of which the input behind its head is a part. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Passes input on to the parser of a connection. */
export type Feed = (chunk: Buffer) => void;

/** One connection behind the guard of its listener. */
export class GuardedConnection implements MemoryOwner, Reader {
  readonly #account: MemoryAccount;

  readonly #pace: InputPace;

  /** Requests that are accepted and not answered. */
  readonly #open = new Map<ServerResponse, RequestMemory>();

  /** The request that was received last. */
  #lastRequest: IncomingMessage | undefined;

  /** Charged for a head that is not complete. */
  #headCharge = 0;

  /** Charged for input that waits to be parsed. */
  #postponedCharge = 0;

  /** Whether more has arrived than the parser has got. */
  #hasMoreInput = false;

  #isWaitingForTurn = false;

  /** Whether it is not read until one of its requests has been answered. */
  #isFull = false;

  /** Whether it is not read until somebody reads the body of its last request. */
  #isHeldForBody = false;

  /** Whether the server has paused it, which resumes it as well. */
  #isPausedByServer = false;

  #isRejected = false;

  #rejectedBytes = 0;

  /** Requests that were answered. */
  answered = 0;

  lastActiveAt: number;

  readonly openedAt: number;

  #isDraining = false;

  /** Bytes that its client had not read when that was last checked, and since when it reads none. */
  #unsent = { bytes: 0, since: 0 };

  constructor(
    readonly socket: Socket,
    private readonly feed: Feed,
    private readonly options: GuardedConnectionOptions,
  ) {
    this.#account = options.budget.open(this);
    this.#pace = new InputPace(options);
    this.openedAt = options.clock.now();
    this.lastActiveAt = this.openedAt;
    socket.on('data', (chunk: Buffer) => this.#handleInput(chunk));
    socket.on('resume', () => {
      this.#isPausedByServer = false;
      // A socket that is read again holds what has arrived, and no more.
      const excess = this.#postponedCharge - socket.readableLength;
      if (excess <= 0) return;
      this.#postponedCharge -= excess;
      this.#account.release(excess);
    });
    socket.on('close', () => {
      options.turns.remove(this);
      this.#closeAccount();
    });
  }

  /** Requests that are accepted and not answered. */
  get openRequests(): number {
    return this.#open.size;
  }

  /** Whether a request was received whole, or passed on, and is not answered. */
  get hasWholeRequest(): boolean {
    for (const [{ req: request }, { isForwarded }] of this.#open) {
      if (request.complete || isForwarded) return true;
    }
    return false;
  }

  /** Starts to account for a request that has just been received. */
  watchRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#lastRequest = request;
    this.#account.release(this.#headCharge);
    this.#headCharge = 0;
    const isPipelined = this.#open.size > 0 || (this.#hasMoreInput && !hasBody(request));
    const memory = new RequestMemory(this.#account, isPipelined);
    setRequestMemory(request, memory);
    this.#open.set(response, memory);
    response.once('close', () => {
      memory.close();
      this.#open.delete(response);
      this.answered += 1;
      this.lastActiveAt = this.options.clock.now();
      if (this.#isFull) this.#waitForTurn();
    });
    // The request itself does not resume its connection when it has asked for more before.
    request.on('resume', () => this.#continueBody());
    memory.charge(estimateRequestBytes(request));
  }

  /** Ignores whatever else arrives, as the parser has rejected the input. */
  reject(): void {
    this.#isRejected = true;
  }

  readNext(): void {
    this.#isWaitingForTurn = false;
    this.#isFull = false;
    if (!this.#isPausedByServer) this.socket.resume();
  }

  /**
   * Refuses its requests that were not passed on. Closes it if none was, or if its client leaves
   * answers unread.
   */
  shed(): boolean {
    const memories = [...this.#open.values()];
    const isForwarded = memories.some((memory) => memory.isForwarded);
    if (!isForwarded || this.socket.writableLength > 0) {
      this.evict();
      this.#account.close();
      return true;
    }
    const refused = memories.filter((memory) => memory.refuse());
    if (refused.length > 0) this.options.onClose('memory');
    return refused.length > 0;
  }

  /** Refuses its requests, if they are all there is and can be refused; else closes it. */
  evict(): void {
    const memories = [...this.#open.values()];
    const mayRefuse =
      memories.length > 0 &&
      this.#headCharge === 0 &&
      memories.every(({ onEvict }) => onEvict !== undefined);
    if (mayRefuse) {
      this.options.onClose('memory');
      for (const memory of memories) memory.refuse();
      this.#postponedCharge = 0;
    } else {
      this.#closeAccount();
      this.close('memory');
    }
  }

  close(reason: GuardClosure): void {
    if (this.socket.destroyed) return;
    this.options.onClose(reason, this.socket);
    this.#isRejected = true;
    this.socket.destroy();
  }

  /** Closes it if its client has read nothing of an answer for too long. */
  checkUnread(): void {
    const bytes = this.socket.bytesWritten - this.socket.writableLength;
    const now = this.options.clock.now();
    if (this.socket.writableLength === 0 || bytes !== this.#unsent.bytes) {
      this.#unsent = { bytes, since: now };
    } else if (now - this.#unsent.since > this.options.readUnreadTimeout()) {
      this.close('unread-answer');
    }
  }

  #handleInput(chunk: Buffer): void {
    if (this.#isRejected) {
      this.#rejectedBytes += chunk.length;
      if (this.#rejectedBytes > MAX_REJECTED_BYTES) this.close('rejected-input');
      return;
    }
    const { clock } = this.options;
    const startedAt = clock.now();
    this.lastActiveAt = startedAt;
    this.#account.release(this.#postponedCharge);
    this.#postponedCharge = 0;
    this.#parseInput(chunk, startedAt);
    if (this.#isRejected || this.socket.destroyed) return;
    if (this.#pace.recordTime(startedAt)) return;
    if (this.#postponedCharge === 0) this.#pause(0);
    this.#waitForTurn();
  }

  #parseInput(chunk: Buffer, startedAt: number): void {
    let offset = 0;
    for (let size = MIN_PIECE_BYTES; offset < chunk.length; size *= 2) {
      if (this.#mayNotRead()) {
        this.#postpone(chunk.subarray(offset));
        return;
      }
      if (offset > 0 && this.#pace.isTurnOver(startedAt)) {
        this.#postpone(chunk.subarray(offset));
        this.#waitForTurn();
        return;
      }
      if (this.#open.size > 0 && this.#isInHead()) size = MIN_PIECE_BYTES;
      const end = offset + Math.min(size, MAX_PIECE_BYTES);
      this.#hasMoreInput = end < chunk.length;
      this.#feedPiece(chunk.subarray(offset, end));
      if (this.#isRejected || this.socket.destroyed) return;
      offset = end;
    }
  }

  #feedPiece(piece: Buffer): void {
    if (this.#isInHead()) {
      const bytes = piece.length * INCOMPLETE_HEAD_FACTOR;
      this.#headCharge += bytes;
      this.#account.charge(bytes);
      if (this.#isRejected) return;
    }
    this.feed(piece);
    this.#isPausedByServer = this.socket.isPaused();
    // The rest of a piece that ends a body may be the start of the next head; it is not charged.
    if (!this.#isInHead()) {
      this.#account.release(this.#headCharge);
      this.#headCharge = 0;
    }
  }

  /** Whether the next input belongs to the head of a request. */
  #isInHead(): boolean {
    return this.#lastRequest === undefined || this.#lastRequest.complete;
  }

  /** Whether input has to stay unread; it is read again when the reason has gone. */
  #mayNotRead(): boolean {
    const { socket } = this;
    if (this.#isWaitingForTurn || socket.isPaused()) return true;
    if (this.#isInHead() && this.#open.size >= MAX_PIPELINED_REQUESTS) {
      this.#isFull = true;
      return true;
    }
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      this.#waitForDrain();
      return true;
    }
    return this.#hasUntakenBody();
  }

  #waitForDrain(): void {
    if (this.#isDraining) return;
    this.#isDraining = true;
    this.socket.once('drain', () => {
      this.#isDraining = false;
      this.#waitForTurn();
    });
  }

  /** Whether a part of the body has arrived that nobody reads; reading it resumes the connection. */
  #hasUntakenBody(): boolean {
    const request = this.#lastRequest;
    if (request === undefined || request.complete) return false;
    this.#isHeldForBody = request.readableLength > 0 && request.readableFlowing !== true;
    return this.#isHeldForBody;
  }

  #continueBody(): void {
    if (!this.#isHeldForBody) return;
    this.#isHeldForBody = false;
    if (!this.#isPausedByServer) this.socket.resume();
  }

  #postpone(rest: Buffer): void {
    this.#pause(rest.length);
    if (!this.socket.destroyed) this.socket.unshift(rest);
  }

  /** Pauses the connection; what it may hold then is charged until it is read again. */
  #pause(restBytes: number): void {
    this.socket.pause();
    this.#postponedCharge = restBytes + PAUSED_SOCKET_BYTES;
    this.#account.charge(this.#postponedCharge);
  }

  #waitForTurn(): void {
    if (this.#isWaitingForTurn || this.socket.destroyed) return;
    this.#isWaitingForTurn = true;
    this.options.turns.add(this);
  }

  #closeAccount(): void {
    for (const memory of this.#open.values()) memory.forget();
    this.#headCharge = 0;
    this.#postponedCharge = 0;
    this.#account.close();
  }
}
