/** What a target itself has said of whether it takes requests from this daemon. */
import { type RateRamp, computeRampRate } from './rate-ramp.js';

/**
 * A back-off holds for this long at most, in milliseconds. A target that needs more should leave, and a wrong value must
 * not take a whole service away for hours.
 */
const MAX_BACKOFF_MS = 600_000;

/** What a target gets from this daemon after a back-off. */
const BACKOFF_RAMP: RateRamp = { startRate: 4, doublingTime: 150, duration: 1000 };

/** When and from whom it was learnt that a target drains. */
export interface DrainingNotice {
  /** When the target said so, in milliseconds on this daemon's clock. */
  readonly at: number;
  /** Whether it said so to this daemon. */
  readonly isDirect: boolean;
}

/** What is known of one incarnation of a target. It outlives the target's entry in the list. */
export class Availability {
  #draining: DrainingNotice | undefined;

  #backoffUntil = -Infinity;

  /** That the target drains, which holds for as long as this incarnation lives; undefined unless it has said so. */
  get draining(): DrainingNotice | undefined {
    return this.#draining;
  }

  /** Until when the target wants nothing from this daemon, in milliseconds on its clock. */
  get backoffUntil(): number {
    return this.#backoffUntil;
  }

  /** Whether the target wants nothing from this daemon now. */
  isBackedOff(now: number): boolean {
    return this.#backoffUntil > now;
  }

  /** Whether anything that was said holds still. */
  isRestricted(now: number): boolean {
    return this.#draining !== undefined || this.isBackedOff(now);
  }

  /** Requests a second that the target may get from this daemon after a back-off; undefined where none limits it. */
  readRampRate(now: number): number | undefined {
    if (this.#backoffUntil === -Infinity) return undefined;
    return computeRampRate(BACKOFF_RAMP, Math.max(0, now - this.#backoffUntil));
  }

  /** Notes that the target drains; returns whether that is news. */
  recordDraining(notice: DrainingNotice): boolean {
    const isNew = this.#draining === undefined;
    if (isNew || (notice.isDirect && !this.#draining?.isDirect)) this.#draining = notice;
    return isNew;
  }

  /**
   * Notes that the target wants nothing from this daemon for a time; returns whether that ends later than was known.
   *
   * @param time in milliseconds from now on
   */
  recordBackoff(time: number, now: number): boolean {
    const until = now + Math.min(time, MAX_BACKOFF_MS);
    const isExtended = time > 0 && until > this.#backoffUntil;
    if (isExtended) this.#backoffUntil = until;
    return isExtended;
  }
}
