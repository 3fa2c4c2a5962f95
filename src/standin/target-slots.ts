/**
 * Slots and a queue for a {@link RecordingTarget}, which resets the connection of a call for which
 * it has no place.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RecordingTarget } from './site.js';

/** Options of the slots. */
export interface TargetSlotsOptions {
  /** Calls that run at once. */
  readonly slots: number;
  /** Calls that may wait. */
  readonly queueLimit: number;
  /** Time that a call runs, in milliseconds. */
  readonly workTime: number;
}

/** The slots and the queue of one target. Creating them sets the target's behaviour. */
export class TargetSlots {
  /** Identifiers of the requests that were run, in order. */
  readonly ran: string[] = [];

  /** Identifiers of the requests whose connection was reset. */
  readonly reset: string[] = [];

  #waiting: readonly (() => void)[] = [];

  constructor(
    private readonly target: RecordingTarget,
    private readonly options: TargetSlotsOptions,
  ) {
    target.behaviour = (request, response) => this.#handle(request, response);
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const { target, options } = this;
    const id = String(request.headers['attempt-id']);
    request.resume();
    if (target.running < options.slots) {
      this.#run(id, request, response);
      return;
    }
    if (this.#waiting.length >= options.queueLimit) {
      this.reset.push(id);
      request.socket.resetAndDestroy();
      return;
    }
    const start = () => this.#run(id, request, response);
    this.#setWaiting([...this.#waiting, start]);
    response.on('close', () => this.#setWaiting(this.#waiting.filter((other) => other !== start)));
  }

  #setWaiting(waiting: readonly (() => void)[]): void {
    this.#waiting = waiting;
    this.target.waiting = waiting.length;
  }

  #run(id: string, request: IncomingMessage, response: ServerResponse): void {
    const { target } = this;
    this.ran.push(id);
    target.running += 1;
    setTimeout(() => {
      target.running -= 1;
      const [next, ...rest] = this.#waiting;
      this.#setWaiting(rest);
      next?.();
      if (!response.destroyed) target.answer(request, response);
    }, this.options.workTime);
  }
}
