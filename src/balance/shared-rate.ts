/**
 * How much of a rate that all daemons together keep to at one target falls to one daemon.
 *
 * The pattern answered: targets that have just started, or are in need, fall over when they get more than a few
 * requests a second, which may be fewer than there are daemons. Daemons do not agree on who sends there: homes change,
 * are cut off from each other, or start all at once. So each home has the part of the rate that stands for the part of
 * the fleet that looks to it. Everybody looks to few daemons, as one in all, so the parts sum up to one however the
 * fleet is split; for a moment after a change one may be counted where it was and where it is.
 *
 * A home that may send less than one request a second saves up for one. What all of them have saved may come at once,
 * so it is one request each, and few of them share one target.
 */
import { getPairHash } from './home.js';

/** A rate that holds at one target for all daemons together. */
export interface SharedRate {
  /** Requests a second. */
  readonly rate: number;
  /** Homes that it is divided among, at most; each may have one request saved up. */
  readonly maxSenders: number;
}

/** What one daemon stands for in the fleet. */
export interface FleetShare {
  /** The part of the fleet that looks to this daemon, from 0 to 1. */
  readonly part: number;
  /** IP numbers of the homes. */
  readonly homes: readonly string[];
  readonly self: string;
}

/** More homes than these never share one target, so that what they have saved is little beside any bound. */
export const MAX_SENDERS = 4;

/** Whether a home is one of those that share a target: as long as homes stay, so do they. */
function isSender({ homes, self }: FleetShare, target: number, maxSenders: number): boolean {
  if (!homes.includes(self)) return false;
  if (homes.length <= maxSenders) return true;
  const key = String(target);
  const ownHash = getPairHash(self, key);
  return homes.filter((home) => getPairHash(home, key) > ownHash).length < maxSenders;
}

/**
 * Computes the requests a second that one daemon may send to a target.
 *
 * @param target the number that stands for the target between daemons
 */
export function computeOwnRate(
  { rate, maxSenders }: SharedRate,
  share: FleetShare,
  target: number,
): number {
  if (!isSender(share, target, maxSenders)) return 0;
  const homes = share.homes.length;
  return rate * Math.min(1, (share.part * homes) / Math.min(homes, maxSenders));
}

const SECOND_MS = 1000;

/** Requests that one daemon may have saved up. */
const MAX_SAVED_REQUESTS = 1;

/** Sums of many small parts of a request miss a whole one by less than this. */
const ROUNDING_ERROR = 1e-9;

/** What one daemon has saved up to send to one target: nothing at first, and never more than one request. */
export class RateLimiter {
  #saved = 0;

  #filledAt: number | undefined;

  /** Whether a request may be sent, at so many requests a second from here. */
  maySend(now: number, rate: number): boolean {
    const elapsed = now - (this.#filledAt ?? now);
    this.#filledAt = now;
    this.#saved = Math.min(MAX_SAVED_REQUESTS, this.#saved + (rate * elapsed) / SECOND_MS);
    return this.#saved >= 1 - ROUNDING_ERROR;
  }

  /** Takes one request, which may be sent where nothing limits them as well. */
  take(): void {
    this.#saved = Math.max(0, this.#saved - 1);
  }
}
