/** How warm a target is, and the rate that a cold one bears from all daemons together. */
import { MAX_SENDERS, type SharedRate } from './shared-rate.js';

/** What a cold target bears. */
export interface ColdLimits {
  /** Requests a second that one bears, of all daemons together; Infinity where its service does not say. */
  readonly rate: number;
  /** Most requests in any second, as a multiple of the rate. */
  readonly overshoot: number;
  /** Requests in a second besides. */
  readonly slack: number;
}

/** Times that somebody who has just turned to another daemon is counted. */
const MAX_TIMES_COUNTED = 2;

/** What is sent within this time, in seconds, may arrive within one: opening a connection takes a quarter of one. */
const ARRIVAL_SPREAD_SECONDS = 1.25;

/** The part of the most requests in a second that homes may have saved up. */
const MAX_SAVED_SHARE = 0.25;

/** Computes the rate that all daemons share at a cold target; undefined where nothing limits it. */
export function computeColdRate({ rate, overshoot, slack }: ColdLimits): SharedRate | undefined {
  if (rate === Infinity) return undefined;
  const maxRequests = rate * overshoot + slack;
  const maxSenders = Math.min(MAX_SENDERS, Math.max(1, Math.floor(maxRequests * MAX_SAVED_SHARE)));
  const safeRate =
    Math.max(0, maxRequests - maxSenders) / (MAX_TIMES_COUNTED * ARRIVAL_SPREAD_SECONDS);
  return { rate: Math.min(rate, safeRate), maxSenders };
}

/** Calls count as sent of late for this long, in milliseconds. */
const RECENT_MS = 1250;

/** Calls remembered. */
const MAX_REMEMBERED_CALLS = 64;

/** Counts the calls sent to one target of late. */
export class SendCounter {
  #sentAt: readonly number[] = [];

  /** Counts a call that is sent. */
  record(now: number): void {
    const recent = this.#sentAt.filter((at) => now - at < RECENT_MS);
    this.#sentAt = [...recent, now].slice(-MAX_REMEMBERED_CALLS);
  }

  /** Calls sent of late. */
  count(now: number): number {
    let count = 0;
    for (const at of this.#sentAt) if (now - at < RECENT_MS) count += 1;
    return count;
  }
}

/** How long what is known of a target's warmth holds, in milliseconds on this daemon's clock. */
export class WarmUpState {
  #coldUntil = -Infinity;

  #reportedAt = -Infinity;

  /** When the target itself last said how warm it is. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** Whether it is to be taken for cold. */
  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  /** Takes it that the target may be cold until then: from an entry that may be older than its own word. */
  suspectCold(until: number): void {
    this.#coldUntil = Math.max(this.#coldUntil, until);
  }

  /** Takes the target's own word of a moment; a later one replaces it. @param left for how long it is still cold */
  observe(left: number, at: number): boolean {
    if (at <= this.#reportedAt) return false;
    this.#reportedAt = at;
    this.#coldUntil = left > 0 ? at + left : -Infinity;
    return true;
  }
}
