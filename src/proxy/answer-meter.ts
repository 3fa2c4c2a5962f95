/**
 * Stands between the connection of an HTTP client and its parser. Bounds what a target may send
 * besides the bodies of its answers, which neither the parser nor a caller's back-pressure bounds,
 * and how long its input is handled before others get their turn.
 */
import type { Duplex } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { Clock } from '../kernel/index.js';
import {
  ANSWER_LIMITS,
  type AnswerLimits,
  InputPace,
  MAX_TURN_MS,
  type ReadTurns,
  type Reader,
} from '../overload/index.js';

/** The end of a connection whose target sends more than an answer may consist of. */
export class AnswerOverrun extends Error {
  override readonly name = 'AnswerOverrun';

  /** `undici` gives up only the call that is running then, not those that wait. */
  readonly code = 'UND_ERR_SOCKET';
}

/** Dependencies of a meter. */
export interface AnswerMeterOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly turns: ReadTurns;
  /** Called when a connection is closed for what its target sends. */
  readonly onOverrun: (detail: string) => void;
  readonly limits?: AnswerLimits;
}

/** What the next bytes on a connection belong to. */
type Phase = 'idle' | 'lead' | 'body';

const MIN_FINAL_STATUS = 200;

/**
 * The parser gets the input in pieces: longer ones while they take little time, and shorter ones
 * otherwise.
 */
const FIRST_PIECE_BYTES = 4096;
const MIN_PIECE_BYTES = 1024;
const MAX_PIECE_BYTES = 65_536;
const MAX_PIECE_TIME_MS = 0.2;

/** Pieces before the body are short, as their lines are counted when they have been handled. */
const MAX_LEAD_PIECE_BYTES = 4096;

const LINE_END = 0x0a;

/** Input that the parser handles; `startedAt` is undefined when it handles none. */
interface Piece {
  readonly chunk: Buffer;
  /** Without what the parser has given back. */
  readonly bytes: number;
  /** Bytes of the body that arrived before it. */
  readonly bodyBytes: number;
  readonly startedAt: number | undefined;
}

const NO_PIECE: Piece = { chunk: Buffer.alloc(0), bytes: 0, bodyBytes: 0, startedAt: undefined };

function countLines(chunk: Buffer): number {
  let lines = 0;
  for (let at = chunk.indexOf(LINE_END); at >= 0; at = chunk.indexOf(LINE_END, at + 1)) lines += 1;
  return lines;
}

/** Meters the answers on the connections of one client, which has one open at a time. */
export class AnswerMeter implements Reader {
  #socket: Duplex | undefined;

  #phase: Phase = 'idle';

  #interimAnswers = 0;

  /** Bytes before the head of the final answer, or behind it, that the parser has handled. */
  #received = 0;

  #bodyBytes = 0;

  /** The parser keeps an object for each field, whose name and value it counts without framing. */
  #fieldLines = 0;

  /** What the parser handles now, and since when. */
  #piece: Piece = NO_PIECE;

  #maxPieceBytes = FIRST_PIECE_BYTES;

  /** How long its current turn has taken, in milliseconds; undefined out of turn. */
  #turnTime: number | undefined;

  readonly #pace: InputPace;

  #isWaitingForTurn = false;

  readonly #limits: AnswerLimits;

  constructor(private readonly options: AnswerMeterOptions) {
    this.#limits = options.limits ?? ANSWER_LIMITS;
    this.#pace = new InputPace(options);
  }

  /** Puts the meter between a new connection and the parser, which reads it by `read`. */
  watchConnection(socket: Duplex): void {
    this.#socket = socket;
    this.#phase = 'idle';
    this.#piece = NO_PIECE;
    this.#isWaitingForTurn = false;
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    const unshift = socket.unshift.bind(socket) as (rest: Buffer) => void;
    const given = socket;
    given.read = () => this.#read(socket, read);
    given.unshift = (rest: Buffer) => {
      // The parser gives back what it has not handled, and gets it again.
      this.#piece = { ...this.#piece, bytes: this.#piece.bytes - rest.length };
      this.#finishPiece();
      unshift(rest);
    };
    socket.once('close', () => {
      if (this.#socket === socket) this.options.turns.remove(this);
    });
  }

  /** Returns a handler that has the meter observe the answer for another handler. */
  observe(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return {
      onConnect: (abort) => {
        this.#startAnswer();
        handler.onConnect?.(abort);
      },
      onResponseStarted: () => handler.onResponseStarted?.(),
      onHeaders: (status, headers, resume, statusText) => {
        this.#recordHead(status);
        return handler.onHeaders?.(status, headers, resume, statusText) ?? true;
      },
      onUpgrade: (status, headers, socket) => handler.onUpgrade?.(status, headers, socket),
      onData: (chunk) => {
        this.#bodyBytes += chunk.length;
        return handler.onData?.(chunk) ?? true;
      },
      onComplete: (trailers) => {
        this.#phase = 'idle';
        handler.onComplete?.(trailers);
      },
      onError: (error) => {
        this.#phase = 'idle';
        handler.onError?.(error);
      },
      onBodySent: (size, total) => handler.onBodySent?.(size, total),
    };
  }

  readNext(): void {
    this.#isWaitingForTurn = false;
    this.#turnTime = 0;
    this.#socket?.emit('readable');
    this.#turnTime = undefined;
  }

  #startAnswer(): void {
    this.#phase = 'lead';
    this.#interimAnswers = 0;
    this.#received = 0;
    this.#bodyBytes = 0;
    this.#fieldLines = 0;
  }

  #recordHead(status: number): void {
    if (status >= MIN_FINAL_STATUS) {
      this.#phase = 'body';
      // What the head takes of the piece is not known, so none of the piece counts as framing.
      this.#received = -this.#piece.bytes;
      return;
    }
    this.#interimAnswers += 1;
    const { interimAnswers } = this.#limits;
    if (this.#interimAnswers > interimAnswers) {
      this.#close(`more than ${interimAnswers} interim answers`);
    }
  }

  #read(socket: Duplex, read: (size?: number) => Buffer | null): Buffer | null {
    this.#finishPiece();
    const { readableLength } = socket;
    if (readableLength === 0 || socket.destroyed) return read();
    const fault = this.#findFault();
    if (fault !== undefined) {
      this.#close(fault);
      return null;
    }
    if (this.#mustWait()) return null;
    const maxBytes = this.#phase === 'lead' ? MAX_LEAD_PIECE_BYTES : MAX_PIECE_BYTES;
    const chunk = read(Math.min(readableLength, this.#maxPieceBytes, maxBytes));
    if (chunk === null) return null;
    const startedAt = this.options.clock.now();
    this.#piece = { chunk, bytes: chunk.length, bodyBytes: this.#bodyBytes, startedAt };
    return chunk;
  }

  /** Records what the parser has handled, and how long that took. */
  #finishPiece(): void {
    const { chunk, bytes, bodyBytes, startedAt } = this.#piece;
    if (startedAt === undefined) return;
    this.#received += bytes;
    // Other lines may be those of the body.
    if (bodyBytes === this.#bodyBytes) this.#fieldLines += countLines(chunk);
    const now = this.options.clock.now();
    const took = now - startedAt;
    this.#pace.add(took, now);
    if (this.#turnTime !== undefined) this.#turnTime += took;
    const size = this.#maxPieceBytes * (took > MAX_PIECE_TIME_MS ? 0.5 : 2);
    this.#maxPieceBytes = Math.min(Math.max(size, MIN_PIECE_BYTES), MAX_PIECE_BYTES);
    this.#piece = NO_PIECE;
  }

  #findFault(): string | undefined {
    const { leadBytes, fieldLines, framingBytes, framingPerBodyByte } = this.#limits;
    if (this.#phase !== 'idle' && this.#fieldLines > fieldLines) {
      return `more than ${fieldLines} lines of fields`;
    }
    switch (this.#phase) {
      case 'idle':
        return 'bytes that belong to no answer';
      case 'lead':
        return this.#received > leadBytes
          ? `more than ${leadBytes} bytes before the answer`
          : undefined;
      case 'body': {
        const allowed = framingBytes + framingPerBodyByte * this.#bodyBytes;
        return this.#received - this.#bodyBytes > allowed
          ? `more than ${framingBytes} bytes that frame a body of ${this.#bodyBytes}`
          : undefined;
      }
      default:
        return this.#phase satisfies never;
    }
  }

  /** Whether the rest of the input has to wait for the next turn. */
  #mustWait(): boolean {
    if (this.#isWaitingForTurn) return true;
    const { turns, clock } = this.options;
    const mayRead =
      this.#turnTime === undefined
        ? this.#pace.mayReadAt(clock.now())
        : this.#turnTime <= MAX_TURN_MS;
    if (mayRead) return false;
    this.#isWaitingForTurn = true;
    turns.add(this);
    return true;
  }

  #close(detail: string): void {
    this.options.onOverrun(detail);
    this.#socket?.destroy(new AnswerOverrun(detail));
  }
}
