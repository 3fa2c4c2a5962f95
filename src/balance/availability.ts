/** Restrictions that a target has announced to this daemon: draining and back-offs. */
import { type RateRamp, computeRampRate } from './rate-ramp.js';

/**
 * Longest back-off, in milliseconds. A target that needs more should leave, and a wrong value must
 * not take down a whole service for hours.
 */
const MAX_BACKOFF_MS = 600_000;

/** Ramp-up of the rate at which this daemon sends to a target after a back-off. */
const BACKOFF_RAMP: RateRamp = { startRate: 4, doublingTime: 150, duration: 1000 };

/** When and how this daemon learned that a target is draining. */
export interface DrainingNotice {
  /** When the target announced it, in milliseconds on this daemon's clock. */
  readonly at: number;
  /** Whether the target announced it to this daemon itself. */
  readonly isDirect: boolean;
}

/**
 * The restrictions of one incarnation of a target. They outlive the target's record in the store.
 */
export class Availability {
  #draining: DrainingNotice | undefined;

  #backoffUntil = -Infinity;

  /**
   * The announcement that the target is draining, which holds as long as this incarnation lives;
   * undefined if there is none.
   */
  get draining(): DrainingNotice | undefined {
    return this.#draining;
  }

  /**
   * End of the back-off that the target asked of this daemon, in milliseconds on the daemon's
   * clock; -Infinity before the first.
   */
  get backoffUntil(): number {
    return this.#backoffUntil;
  }

  /** Whether the target has asked this daemon to back off for now. */
  isBackedOff(now: number): boolean {
    return this.#backoffUntil > now;
  }

  /** Whether any restriction applies. */
  isRestricted(now: number): boolean {
    return this.#draining !== undefined || this.isBackedOff(now);
  }

  /**
   * Returns the requests a second that this daemon may send during the ramp-up after a back-off;
   * undefined if nothing limits it.
   */
  readRampRate(now: number): number | undefined {
    if (this.#backoffUntil === -Infinity) return undefined;
    return computeRampRate(BACKOFF_RAMP, Math.max(0, now - this.#backoffUntil));
  }

  /** Records that the target is draining; false if that was known. */
  recordDraining(notice: DrainingNotice): boolean {
    const isNew = this.#draining === undefined;
    if (isNew || (notice.isDirect && !this.#draining?.isDirect)) this.#draining = notice;
    return isNew;
  }

  /**
   * Records that the target asks this daemon to back off; false if a back-off already ends as late.
   *
   * @param time in milliseconds from now
   */
  recordBackoff(time: number, now: number): boolean {
    const until = now + Math.min(time, MAX_BACKOFF_MS);
    const isExtended = time > 0 && until > this.#backoffUntil;
    if (isExtended) this.#backoffUntil = until;
    return isExtended;
  }
}
