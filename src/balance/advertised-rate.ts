/**
 * The rate that a target has said it takes, of all daemons together.
 *
 * The newest word holds, by when the target said it. When it names a rate no more, what it gets rises from that rate on,
 * doubling every fraction of a second: what is sent elsewhere meanwhile does not come back all at once.
 */
import { computeRampRate } from './rate-ramp.js';
import { MAX_SENDERS, type SharedRate } from './shared-rate.js';

/** A word of a target on its rate. */
export interface RateAnnouncement {
  /** Requests a second; undefined when it takes any number. */
  readonly rate: number | undefined;
  /** When the target said so, in milliseconds on this daemon's clock. */
  readonly at: number;
}

/** What a newer word has changed. */
export interface RateChange {
  readonly before: number | undefined;
  readonly rate: number | undefined;
}

/**
 * Requests a second that a target gets whatever it names. One that takes none at all, or one in many seconds, would
 * otherwise have nothing to answer when it takes more again.
 */
const MIN_RATE = 0.25;

/** Once a target names no rate any more, what it gets doubles in this time, in milliseconds. */
const DOUBLING_MS = 200;

/** After this long it gets what it would have got without one. */
const RAMP_MS = 2000;

/** The newest word of one target. */
export class AdvertisedRate {
  #announcement: RateAnnouncement = { rate: undefined, at: -Infinity };

  #isDirect = false;

  #ended: { readonly rate: number; readonly receivedAt: number } | undefined;

  /** Whether the target takes no more than it says. */
  get isLimited(): boolean {
    return this.#announcement.rate !== undefined;
  }

  /**
   * Takes a word unless a newer one is known; returns what it has changed.
   *
   * @param now when it is heard
   * @param isDirect whether from the target itself
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

  /** Reads the rate that all daemons keep to now; undefined when none. */
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

  /** The word to tell others: heard from the target itself, and that it takes less than it could or did so of late. */
  readAnnouncement(now: number): RateAnnouncement | undefined {
    if (!this.#isDirect) return undefined;
    return this.read(now) === undefined ? undefined : this.#announcement;
  }
}

/** Of a small rate fewer homes have a part, so that none of them has to save up for long. */
function computeSharedRate(announcedRate: number): SharedRate {
  const rate = Math.max(MIN_RATE, announcedRate);
  return { rate, maxSenders: Math.min(MAX_SENDERS, Math.ceil(rate)) };
}
