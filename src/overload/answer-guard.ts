/**
 * Stands between the connections that this daemon has opened and the parser of Node's HTTP client.
 * Bounds what any answer makes this process read, hold and do: what comes before its head, what
 * frames its body, what of it waits to be taken, and the time that its input takes.
 *
 * What is parsed together reaches the reader of the answer as one piece: a target may divide a body
 * into chunks of one byte, and each piece costs many times that.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  type AnswerExcess,
  type AnswerWatch,
  type AnswerWatcher,
  type Clock,
  createServiceKey,
} from '../kernel/index.js';
import { ANSWER_LIMITS } from './answer-limits.js';
import { type MemoryAccount, MemoryBudget, type MemoryOwner } from './memory-budget.js';
import type { Feed } from './guarded-connection.js';
import { InputPace, PAUSED_SOCKET_BYTES } from './input-pace.js';
import { ReadTurns, type Reader } from './read-turns.js';

/** Dependencies of the guard. */
export interface AnswerGuardOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly turns: ReadTurns;
  readonly budget: MemoryBudget;
}

/** The memory that the reader of an answer holds for it. */
export interface AnswerMemory {
  /** Adds to what is held, in bytes; may end the answer. */
  charge(bytes: number): void;
  /** Gives back everything that was charged. */
  releaseAll(): void;
}

/** Closes a connection on which bytes arrive while no answer is expected. */
function closeOnStrayBytes(this: Socket): void {
  this.destroy();
}

const memories = new WeakMap<IncomingMessage, AnswerMemory>();

/** Returns the memory of an answer; undefined where it is not watched. */
export function findAnswerMemory(response: IncomingMessage): AnswerMemory | undefined {
  return memories.get(response);
}

/** The input of one connection, while the answer to one request is expected on it. */
class AnswerInput implements Reader, MemoryOwner, AnswerMemory {
  readonly #pace: InputPace;

  readonly #parse: Feed;

  #account: MemoryAccount | undefined;

  /** What the reader of the answer holds, in bytes. */
  #heldByReader = 0;

  /** Input that has arrived and was not parsed, and what its socket may hold, in bytes. */
  #postponed = 0;

  #response: IncomingMessage | undefined;

  #interimAnswers = 0;

  /** Bytes that were parsed, of heads and framing as well. */
  #parsed = 0;

  #bodyBytes = 0;

  /** Pieces of the body that were parsed since some were last passed on. */
  #pieces: Buffer[] = [];

  /** Passes a piece of the body on to its reader; undefined before the answer's head. */
  #push: ((piece: Buffer) => boolean) | undefined;

  #hasEnded = false;

  readonly #onData = (chunk: Buffer) => this.#handleInput(chunk);

  readonly #onFree = () => {
    this.#detach();
    this.socket.on('data', closeOnStrayBytes);
    // It may have been paused while it waited for its turn.
    this.socket.resume();
  };

  readonly #onClose = () => this.#detach();

  #isWaitingForTurn = false;

  constructor(
    private readonly socket: Socket,
    request: ClientRequest,
    private readonly watch: AnswerWatch,
    private readonly options: AnswerGuardOptions,
  ) {
    this.#pace = new InputPace(options);
    socket.removeListener('data', closeOnStrayBytes);
    const parsers = socket.listeners('data') as Feed[];
    this.#parse = (chunk) => {
      for (const parse of parsers) parse.call(socket, chunk);
    };
    socket.removeAllListeners('data');
    socket.on('data', this.#onData);
    socket.once('free', this.#onFree);
    socket.once('close', this.#onClose);
    request.on('information', () => {
      this.#interimAnswers += 1;
    });
    request.prependListener('response', (response: IncomingMessage) => this.#adopt(response));
  }

  charge(bytes: number): void {
    this.#heldByReader += bytes;
    this.#updateAccount();
  }

  releaseAll(): void {
    this.#heldByReader = 0;
    this.#updateAccount();
  }

  readNext(): void {
    this.#isWaitingForTurn = false;
    this.#postponed = this.socket.readableLength;
    this.#updateAccount();
    if (this.#hasEnded) return;
    if (!this.#isHeldByReader) this.socket.resume();
  }

  evict(): void {
    this.#fail('too much memory is held for answers', 'memory');
  }

  /** Whether the reader of the answer takes no more for now. */
  get #isHeldByReader(): boolean {
    const { readableLength = 0, readableHighWaterMark = Infinity } = this.#response ?? {};
    return readableLength >= readableHighWaterMark;
  }

  /** Joins the pieces of the body that are parsed together. */
  #adopt(response: IncomingMessage): void {
    this.#response = response;
    memories.set(response, this);
    const push = response.push.bind(response);
    this.#push = push;
    Object.assign(response, {
      push: (piece: Buffer | null, encoding?: BufferEncoding) => {
        if (piece !== null) {
          this.#bodyBytes += piece.length;
          this.#pieces.push(piece);
          return true;
        }
        this.#pushJoined();
        return push(null, encoding);
      },
    });
  }

  #pushJoined(): void {
    const [first] = this.#pieces;
    if (first === undefined) return;
    const joined = this.#pieces.length === 1 ? first : Buffer.concat(this.#pieces);
    this.#pieces = [];
    if (this.#push?.(joined) === false) this.socket.pause();
  }

  #handleInput(chunk: Buffer): void {
    if (this.#isWaitingForTurn) {
      this.#postpone(chunk);
      return;
    }
    const startedAt = this.options.clock.now();
    this.#postponed = 0;
    this.#parseInput(chunk, startedAt);
    if (this.#hasEnded || this.socket.destroyed) return;
    if (this.#response?.complete !== true && !this.#pace.recordTime(startedAt)) {
      this.#postponed += PAUSED_SOCKET_BYTES;
      this.#waitForTurn();
    }
    this.#updateAccount();
  }

  #parseInput(chunk: Buffer, startedAt: number): void {
    let offset = 0;
    for (const size of this.#pace.listPieces(chunk.length)) {
      if (this.#response?.complete === true) {
        // Whatever follows an answer belongs to no request.
        this.socket.destroy();
        return;
      }
      const isOver = this.#pace.isTurnOver(startedAt);
      if (offset > 0 && (isOver || this.socket.isPaused())) {
        this.#postpone(chunk.subarray(offset));
        if (isOver) this.#waitForTurn();
        return;
      }
      this.#parsePiece(chunk.subarray(offset, offset + size));
      if (this.#hasEnded || this.socket.destroyed) return;
      offset += size;
    }
  }

  #parsePiece(piece: Buffer): void {
    this.#parsed += piece.length;
    this.#parse(piece);
    this.#pushJoined();
    const excess = this.#response?.complete === true ? undefined : this.#findExcess();
    if (excess !== undefined) this.#fail(excess);
  }

  #waitForTurn(): void {
    this.socket.pause();
    if (this.#isWaitingForTurn) return;
    this.#isWaitingForTurn = true;
    this.options.turns.add(this);
  }

  #postpone(rest: Buffer): void {
    this.#postponed = rest.length;
    this.socket.pause();
    this.socket.unshift(rest);
  }

  /** Returns which limit the answer exceeds; undefined if it exceeds none. */
  #findExcess(): string | undefined {
    const { leadBytes, interimAnswers, framingBytes, framingPerBodyByte } = ANSWER_LIMITS;
    if (this.#interimAnswers > interimAnswers) return `more than ${interimAnswers} interim answers`;
    if (this.#response === undefined) {
      return this.#parsed > leadBytes ? `more than ${leadBytes} bytes before the head` : undefined;
    }
    const { maxBodyBytes = Infinity } = this.watch;
    if (this.#bodyBytes > maxBodyBytes) return `a body over ${maxBodyBytes} bytes`;
    const framing = this.#parsed - leadBytes - this.#bodyBytes;
    if (framing > framingBytes + framingPerBodyByte * this.#bodyBytes) {
      return `${framing} bytes that frame a body of ${this.#bodyBytes}`;
    }
    return undefined;
  }

  #fail(reason: string, cause: AnswerExcess = 'answer'): void {
    if (this.#hasEnded) return;
    this.#detach();
    this.watch.onExcess(reason, cause);
    this.socket.destroy();
  }

  #updateAccount(): void {
    if (this.#hasEnded) return;
    const waiting = this.#response?.readableLength ?? 0;
    const held = this.#heldByReader + this.#postponed + waiting;
    if (held === 0 && this.#account === undefined) return;
    this.#account ??= this.options.budget.open(this);
    const change = held - this.#account.held;
    if (change > 0) this.#account.charge(change);
    else this.#account.release(-change);
  }

  /** Ends the watch, as the connection is free for another request, or closed. */
  #detach(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.options.turns.remove(this);
    this.socket.removeListener('data', this.#onData);
    this.socket.removeListener('free', this.#onFree);
    this.socket.removeListener('close', this.#onClose);
    this.#account?.close();
  }
}

/** Watches the answers that this process receives. */
export class AnswerGuard implements AnswerWatcher {
  #options: AnswerGuardOptions;

  constructor(options: AnswerGuardOptions) {
    this.#options = options;
  }

  /** From now on shares the turns of other connections of the process. */
  joinTurns(turns: ReadTurns): void {
    this.#options = { ...this.#options, turns };
  }

  /** What is held for all answers, in bytes. */
  get held(): number {
    return this.#options.budget.held;
  }

  /** Answers that were ended since the start because all together held too much. */
  get evictions(): number {
    return this.#options.budget.evictions;
  }

  watch(request: ClientRequest, watch: AnswerWatch): void {
    // Node's client attaches its parser before this event.
    request.once('socket', (socket) => new AnswerInput(socket, request, watch, this.#options));
  }
}

/** Creates the guard of a process; all answers together hold at most `heldBytes`. */
export function createAnswerGuard(clock: Pick<Clock, 'now'>, heldBytes: number): AnswerGuard {
  const turns = new ReadTurns({
    ...{ clock, isAccepting: () => false },
    scheduleAfterIteration: (action) => {
      setImmediate(action);
    },
  });
  return new AnswerGuard({ clock, turns, budget: new MemoryBudget(heldBytes) });
}

/** The key of the guard. */
export const answerGuardService = createServiceKey<AnswerGuard>('answer-guard');
