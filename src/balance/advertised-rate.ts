/**
 * The rate that a target announces for all daemons together.
 *
 * The latest announcement applies, by the time at which the target made it. When a target stops
 * announcing a rate, the rate ramps up from the last one and doubles every fraction of a second, so
 * that the traffic sent elsewhere in the meantime does not return all at once.
 */
import { computeRampRate } from './rate-ramp.js';
import { MAX_SENDERS, type SharedRate } from './shared-rate.js';

/** A target's announcement of its rate. */
export interface RateAnnouncement {
  /** Requests a second; undefined if the target takes any number. */
  readonly rate: number | undefined;
  /** When the target announced it, in milliseconds on this daemon's clock. */
  readonly at: number;
}

/** A change of the announced rate. */
export interface RateChange {
  readonly before: number | undefined;
  readonly rate: number | undefined;
}

/**
 * Requests a second that a target gets even if it announces less. A target without any requests, or
 * with one in many seconds, would have no answer on which to announce that it takes more again.
 */
const MIN_RATE = 0.25;

/** Doubling time of the ramp-up once a target announces no rate any more. */
const DOUBLING_MS = 200;

const RAMP_MS = 2000;

/** The latest announcement of one target. */
export class AdvertisedRate {
  #announcement: RateAnnouncement = { rate: undefined, at: -Infinity };

  #isDirect = false;

  #ended: { readonly rate: number; readonly receivedAt: number } | undefined;

  /** Whether the target has announced a rate. */
  get isLimited(): boolean {
    return this.#announcement.rate !== undefined;
  }

  /**
   * Records an announcement unless a newer one is known; returns the change, if any.
   *
   * @param now when it is received
   * @param isDirect whether the target itself sent it
   */
  observe(announcement: RateAnnouncement, now: number, isDirect: boolean): RateChange | undefined {
    if (announcement.at <= this.#announcement.at) return undefined;
    const before = this.#announcement.rate;
    this.#announcement = announcement;
    this.#isDirect = isDirect || (this.#isDirect && before === announcement.rate);
    if (before === announcement.rate) return undefined;
    if (before !== undefined && announcement.rate === undefined) {
      this.#ended = { rate: before, receivedAt: now };
    }
    return { before, rate: announcement.rate };
  }

  /** Returns the rate that all daemons keep to now; undefined if there is none. */
  read(now: number): SharedRate | undefined {
    const { rate } = this.#announcement;
    if (rate !== undefined) return computeSharedRate(rate);
    if (this.#ended === undefined) return undefined;
    const startRate = Math.max(MIN_RATE, this.#ended.rate);
    const ramp = { startRate, doublingTime: DOUBLING_MS, duration: RAMP_MS };
    const rampRate = computeRampRate(ramp, now - this.#ended.receivedAt);
    if (rampRate !== undefined) return { rate: rampRate, maxSenders: MAX_SENDERS };
    this.#ended = undefined;
    return undefined;
  }

  /**
   * Returns the announcement to pass on: received from the target itself, and limiting it now or
   * recently.
   */
  readAnnouncement(now: number): RateAnnouncement | undefined {
    if (!this.#isDirect) return undefined;
    return this.read(now) === undefined ? undefined : this.#announcement;
  }
}

/** Divides a small rate among fewer homes, so that none of them has to save up for long. */
function computeSharedRate(announcedRate: number): SharedRate {
  const rate = Math.max(MIN_RATE, announcedRate);
  return { rate, maxSenders: Math.min(MAX_SENDERS, Math.ceil(rate)) };
}
