/**
 * Shares the event loop among connections that send more than can be handled at once: those that
 * have more to read take turns, a few in each iteration, so that a connection with little to read
 * does not wait for all of them.
 */
import type { Clock } from '../kernel/index.js';

/** A connection that has more to read. */
export interface Reader {
  /** Handles the next part of what has arrived, before the next turn is given. */
  readNext(): void;
}

/** Dependencies of the turns. */
export interface ReadTurnsOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Calls an action at the end of this iteration of the event loop. */
  readonly scheduleAfterIteration: (action: () => void) => void;
  /** Whether connections may wait to be accepted: one is accepted in each iteration. */
  readonly isAccepting: () => boolean;
}

/** Connections that get a turn in one iteration of the event loop, and for how long together. */
const MAX_TURNS_PER_ITERATION = 8;
const MAX_TIME_PER_ITERATION_MS = 2;

/** The turns of one process. */
export class ReadTurns {
  readonly #waiting = new Set<Reader>();

  #isScheduled = false;

  constructor(private readonly options: ReadTurnsOptions) {}

  /** Connections that wait for a turn. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Has a connection wait for its next turn. */
  add(reader: Reader): void {
    this.#waiting.add(reader);
    this.#schedule();
  }

  /** Removes a connection that is closed. */
  remove(reader: Reader): void {
    this.#waiting.delete(reader);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    const { clock, scheduleAfterIteration, isAccepting } = this.options;
    let startedAt: number | undefined;
    const giveTurn = () => {
      startedAt ??= clock.now();
      const [reader] = this.#waiting;
      if (reader === undefined || clock.now() - startedAt > MAX_TIME_PER_ITERATION_MS) return;
      this.#waiting.delete(reader);
      reader.readNext();
    };
    const turns = isAccepting() ? 1 : Math.min(this.#waiting.size, MAX_TURNS_PER_ITERATION);
    // Input is handled after each action, so each turn is an action of its own.
    for (let turn = 0; turn < turns; turn += 1) scheduleAfterIteration(giveTurn);
    scheduleAfterIteration(() => {
      this.#isScheduled = false;
      this.#schedule();
    });
  }
}
