/**
 * Targets that reset the connection of a call for which they have no place.
 *
 * A reset is the only sign of a full target, and the call may have run. So it is told from the end
 * of a target, a failure or a crash by the evidence at hand, and the target then gets fewer calls
 * than it had, so that the next ones are not reset.
 */

import type { Random } from '../kernel/index.js';

/** The error codes of a connection that the other side has reset or closed. */
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/** What a daemon knows about a call whose connection ended before the answer was complete. */
export interface ResetEvidence {
  /** Whether any byte of the answer has arrived. */
  readonly hasAnswerBytes: boolean;
  /** The error code of the connection. */
  readonly code: string;
  /** Calls that the target runs at once. */
  readonly slots: number;
  /** Calls believed to be there from all daemons, including the one that was reset. */
  readonly calls: number;
  /** Calls running and waiting as the target reported within the last second; 0 without a report. */
  readonly reportedCalls: number;
  /** Whether a new connection was accepted (`somebody`), refused (`nobody`), or neither. */
  readonly listenState: 'somebody' | 'nobody' | 'unknown';
}

/**
 * Judges a lost call: `refused` if nobody listens there any more, `full` if the target is
 * likely to have had no place for it, `lost` if the reason is unknown.
 */
export function judgeReset({
  hasAnswerBytes,
  code,
  slots,
  calls,
  reportedCalls,
  listenState,
}: ResetEvidence): 'full' | 'refused' | 'lost' {
  if (listenState === 'nobody') return 'refused';
  if (listenState === 'unknown' || hasAnswerBytes || !RESET_CODES.has(code)) return 'lost';
  return Math.max(calls, reportedCalls) >= slots ? 'full' : 'lost';
}

/** A reset of a full target. */
export interface FullReset {
  /** When the call that was reset had been sent, in milliseconds on this daemon's clock. */
  readonly startedAt: number;
  /** Calls believed to be there from all daemons, including the one that was reset. */
  readonly calls: number;
  /** Calls that the target runs at once. */
  readonly slots: number;
}

/** The limit is forgotten this long after the last reset, in milliseconds. */
const RETENTION_MS = 2000;

/** Shortest time from a change of the limit to its next increase, in milliseconds. */
const TRIAL_INTERVAL_MS = 150;

/**
 * A limit of this many times the slots binds nobody: daemons do not send more calls than slots
 * knowingly, and nobody tells them how many calls a target lets wait.
 */
const MAX_LIMIT_FACTOR = 2;

/** How long a daemon keeps or lacks its fraction of a call, in milliseconds. */
const TURN_MS = 10;

/** What a daemon's part of the limit depends on. */
export interface PartTerms {
  /** Calls of all daemons per call of this daemon, at least 1. */
  readonly callRatio: number;
  readonly random: Random;
}

/** The number of calls, from all daemons, that a target is believed to take after it was full. */
export class FullLimit {
  #limit = Infinity;

  #resetAt = -Infinity;

  #changedAt = -Infinity;

  #turnEndsAt = -Infinity;

  #turn = 0;

  /** Returns the limit in calls, at least 1; Infinity if there is none. */
  read(now: number): number {
    return now - this.#resetAt < RETENTION_MS ? this.#limit : Infinity;
  }

  /**
   * Returns this daemon's part of the limit, in calls; Infinity without a limit. Daemons know of
   * each other's calls late, so each keeps to its part by its own calls alone. A fraction of a call
   * is one call for a random part of the time: where there are more daemons than calls to divide,
   * they take turns.
   */
  readPart(now: number, { callRatio, random }: PartTerms): number {
    const limit = this.read(now);
    if (limit === Infinity) return Infinity;
    if (now >= this.#turnEndsAt) {
      this.#turn = random.next();
      this.#turnEndsAt = now + TURN_MS;
    }
    return Math.floor(limit / callRatio + this.#turn);
  }

  /** Reduces the limit below the calls that were there. */
  recordReset(now: number, { startedAt, calls, slots }: FullReset): void {
    const before = this.read(now);
    this.#resetAt = now;
    // Calls that were sent before the limit was reduced tell nothing about the reduced limit.
    if (before < Infinity && startedAt <= this.#changedAt) return;
    // Its slots were all taken, so besides the call that was reset at least as many were there.
    this.#limit = Math.max(1, Math.min(before, Math.max(calls, slots + 1)) - 1);
    this.#changedAt = now;
  }

  /**
   * Takes over the limit of another daemon.
   *
   * @param resetAt when the target reset a call of that daemon
   */
  observe(limit: number, resetAt: number, now: number): void {
    if (now - resetAt >= RETENTION_MS) return;
    this.#limit = Math.max(1, Math.min(this.read(now), limit));
    this.#resetAt = Math.max(this.#resetAt, resetAt);
    this.#changedAt = now;
  }

  /**
   * Increases the limit by one call after an answer to a call that was sent since it last changed.
   *
   * @param startedAt when the answered call had been sent
   * @param slots calls that the target runs at once
   */
  recordAnswer(now: number, startedAt: number, slots: number): void {
    if (this.read(now) === Infinity || startedAt <= this.#changedAt) return;
    if (now - this.#changedAt < TRIAL_INTERVAL_MS) return;
    this.#limit += 1;
    this.#changedAt = now;
    if (this.#limit >= MAX_LIMIT_FACTOR * slots) this.#resetAt = -Infinity;
  }
}
