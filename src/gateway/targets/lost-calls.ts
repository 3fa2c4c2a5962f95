/** Calls that were lost at a target without a sign that it ended, in case it turns out to have. */
import type { Clock } from '../../kernel/index.js';

/**
 * A call that was lost no longer than this before its target restarted may have caused the restart.
 * Several heartbeats long, because a supervisor may restart a process before any daemon finds its
 * port closed.
 */
const LOSS_RETENTION_MS = 5000;

/** Lost calls kept per target: several times the number that a target runs concurrently. */
const MAX_LOSSES = 32;

/** A call that was lost. */
export interface LostCall {
  /** Called if the target turns out to have ended around that time. */
  readonly onEnded: () => void;
  /** Whether it was reset by a target that seemed to be full. */
  readonly isFull: boolean;
}

/** The calls lost recently at one target. */
export class LostCalls {
  #calls: readonly (LostCall & { readonly at: number })[] = [];

  constructor(private readonly clock: Clock) {}

  /** Records a call that is lost now. */
  record(call: LostCall): void {
    const at = this.clock.now();
    const recent = this.#calls.filter((loss) => at - loss.at < LOSS_RETENTION_MS);
    this.#calls = [...recent, { ...call, at }].slice(-MAX_LOSSES);
  }

  /**
   * Records an answer to a call that had been sent at `startedAt`. Its connection has outlived the
   * resets since then, so the process that reset them has not ended.
   */
  recordAnswer(startedAt: number): void {
    if (this.#calls.length === 0) return;
    this.#calls = this.#calls.filter(({ at, isFull }) => !isFull || at <= startedAt);
  }

  /** Forgets all calls. @param hasEnded whether the target has ended without announcing it */
  close(hasEnded: boolean): void {
    const now = this.clock.now();
    const calls = this.#calls;
    this.#calls = [];
    if (!hasEnded) return;
    for (const { at, onEnded } of calls) if (now - at < LOSS_RETENTION_MS) onEnded();
  }
}
