/** How much of what arrives on one connection is handled before others get their turn. */
import type { Clock } from '../kernel/index.js';
import type { ReadTurns } from './read-turns.js';

/** A parser gets its input in pieces, in bytes; each one may be twice as long as the last. */
export const MIN_PIECE_BYTES = 1024;
export const MAX_PIECE_BYTES = 16_384;

/** What a socket may still receive while it is paused, in bytes. */
export const PAUSED_SOCKET_BYTES = 65_536;

/** How long the input of one connection is handled before others get their turn, in milliseconds. */
export const MAX_TURN_MS = 0.5;

/**
 * A connection whose input took longer than this within the window, in milliseconds, is read only
 * in its turns. The second value holds while other connections wait for theirs.
 */
const MAX_UNSHARED_MS = 1;
const MAX_UNSHARED_IN_CROWD_MS = 0.1;
const SHARE_WINDOW_MS = 100;

/** Dependencies of the pace. */
export interface InputPaceOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly turns: Pick<ReadTurns, 'size'>;
}

/** The pace of one connection. */
export class InputPace {
  /** How long its input took in the current window, in milliseconds, and when the window began. */
  #spent = { time: 0, since: 0 };

  constructor(private readonly options: InputPaceOptions) {}

  /** Lists the sizes of the pieces in which so many bytes are parsed. */
  *listPieces(length: number): Iterable<number> {
    let size = MIN_PIECE_BYTES;
    for (let offset = 0; offset < length;) {
      const piece = Math.min(size, MAX_PIECE_BYTES, length - offset);
      yield piece;
      offset += piece;
      size *= 2;
    }
  }

  /** Whether what began at `startedAt` has taken a whole turn. */
  isTurnOver(startedAt: number): boolean {
    return this.options.clock.now() - startedAt > MAX_TURN_MS;
  }

  /**
   * Records that input which began to be handled at `startedAt` has been handled; returns whether
   * the connection may be read out of turn.
   */
  recordTime(startedAt: number): boolean {
    this.add(this.options.clock.now() - startedAt, startedAt);
    return this.#isWithinShare;
  }

  /** Adds time that was spent on input, in the window of `now`. */
  add(time: number, now: number): void {
    this.#startWindow(now);
    this.#spent.time += time;
  }

  /** Whether the connection may be read out of turn. */
  mayReadAt(now: number): boolean {
    this.#startWindow(now);
    return this.#isWithinShare;
  }

  #startWindow(now: number): void {
    if (now - this.#spent.since > SHARE_WINDOW_MS) this.#spent = { time: 0, since: now };
  }

  get #isWithinShare(): boolean {
    const isCrowded = this.options.turns.size > 0;
    return this.#spent.time <= (isCrowded ? MAX_UNSHARED_IN_CROWD_MS : MAX_UNSHARED_MS);
  }
}
