/** Warm-up of targets: whether one is cold, and the rate that all daemons together may send it. */
import { MAX_SENDERS, type SharedRate } from './shared-rate.js';

/** Rate limits of a cold target. */
export interface ColdLimits {
  /** Requests a second from all daemons together; Infinity where the service sets no limit. */
  readonly rate: number;
  /** Maximum requests in any second, as a multiple of the rate. */
  readonly overshoot: number;
  /** Requests allowed in a second on top of that. */
  readonly slack: number;
}

/** A daemon that has just changed homes is counted by the old and by the new one. */
const MAX_TIMES_COUNTED = 2;

/**
 * Requests sent within this many seconds may arrive within one: opening a connection takes up to a
 * quarter of a second.
 */
const ARRIVAL_SPREAD_SECONDS = 1.25;

/** Share of the maximum requests in a second that homes may have saved up. */
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

/** How long a sent call counts as recent, in milliseconds. */
const RECENT_MS = 1250;

const MAX_REMEMBERED_CALLS = 64;

/** Counts the calls recently sent to one target. */
export class SendCounter {
  #sentAt: readonly number[] = [];

  /** Records a call that is sent. */
  record(now: number): void {
    const recent = this.#sentAt.filter((at) => now - at < RECENT_MS);
    this.#sentAt = [...recent, now].slice(-MAX_REMEMBERED_CALLS);
  }

  /** Returns the number of calls sent recently. */
  count(now: number): number {
    let count = 0;
    for (const at of this.#sentAt) if (now - at < RECENT_MS) count += 1;
    return count;
  }
}

/**
 * Whether a target is cold, as far as its reports tell. Times are in milliseconds on this daemon's
 * clock.
 */
export class WarmUpState {
  #coldUntil = -Infinity;

  #reportedAt = -Infinity;

  /** When the target itself last reported its warm-up; -Infinity before it has. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** Whether the target is treated as cold. */
  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  /**
   * Treats the target as cold at least until then, because of a stored record that may be older
   * than the target's own report.
   */
  suspectCold(until: number): void {
    this.#coldUntil = Math.max(this.#coldUntil, until);
  }

  /**
   * Takes a report of the target itself; false if it is not newer than the last one.
   *
   * @param left how long the target is still cold
   * @param at when the target reported it
   */
  observe(left: number, at: number): boolean {
    if (at <= this.#reportedAt) return false;
    this.#reportedAt = at;
    this.#coldUntil = left > 0 ? at + left : -Infinity;
    return true;
  }
}
