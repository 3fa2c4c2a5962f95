/**
 * Computes one daemon's part of a rate that all daemons together keep to at one target.
 *
 * Guards targets that have just started or are overloaded: they fail when they get more than a few
 * requests a second, which may be fewer than there are daemons. Daemons can't agree on who sends
 * there, because homes change, are partitioned from each other, or start all at once. So each home
 * gets the part of the rate that corresponds to the part of the fleet that reports to it. Every
 * daemon reports to a few others with a total weight of one, so the parts add up to one however the
 * fleet is partitioned. Right after a change, a daemon may be counted in both its old and its new
 * place.
 *
 * A home that may send less than one request a second saves up for one. All homes may send what
 * they have saved at the same moment, so each saves at most one request, and few homes share a
 * target.
 */
import { getPairHash } from './home.js';

/** A rate that applies at one target to all daemons together. */
export interface SharedRate {
  /** Requests a second. */
  readonly rate: number;
  /** Maximum number of homes that the rate is divided among; each may have one request saved up. */
  readonly maxSenders: number;
}

/** The part of the fleet that one daemon represents. */
export interface FleetShare {
  /** Part of the fleet that reports to this daemon, from 0 to 1. */
  readonly part: number;
  /** IP addresses of the homes. */
  readonly homes: readonly string[];
  readonly self: string;
}

/**
 * Maximum number of homes that share a target, so that the requests they have saved stay small
 * against any limit.
 */
export const MAX_SENDERS = 4;

/**
 * Whether a home is one of those that share a target. The selection is stable while the homes are.
 */
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
 * @param target the number that identifies the target between daemons
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

const MAX_SAVED_REQUESTS = 1;

/** Accumulated fractions of a request may fall short of a whole one by up to this. */
const ROUNDING_ERROR = 1e-9;

/**
 * A rate limiter for one daemon and one target. It is empty at first and holds at most one request.
 */
export class RateLimiter {
  #saved = 0;

  #filledAt: number | undefined;

  /** Whether a request may be sent now. @param rate requests a second that may be sent */
  maySend(now: number, rate: number): boolean {
    const elapsed = now - (this.#filledAt ?? now);
    this.#filledAt = now;
    this.#saved = Math.min(MAX_SAVED_REQUESTS, this.#saved + (rate * elapsed) / SECOND_MS);
    return this.#saved >= 1 - ROUNDING_ERROR;
  }

  /** Takes one request. Calls that no rate limits are taken too, so it may be empty. */
  take(): void {
    this.#saved = Math.max(0, this.#saved - 1);
  }
}
