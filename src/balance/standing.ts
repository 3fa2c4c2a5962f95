/** What a target itself has said of whether it takes requests from this daemon. */

/** When and from whom it was learnt that a target drains. */
export interface DrainingNotice {
  /** When the target said so, in milliseconds on this daemon's clock. */
  readonly at: number;
  /** Whether it said so to this daemon. */
  readonly isOwn: boolean;
}

/** What is known of one incarnation of a target. It outlives the target's entry in the list. */
export class Standing {
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

  /** Whether anything that was said holds still. */
  isNotable(now: number): boolean {
    return this.#draining !== undefined || this.#backoffUntil > now;
  }

  /** Notes that the target drains; returns whether that is news. */
  noteDraining(notice: DrainingNotice): boolean {
    const isNews = this.#draining === undefined;
    if (isNews || (notice.isOwn && !this.#draining?.isOwn)) this.#draining = notice;
    return isNews;
  }

  /** Notes until when the target wants nothing from this daemon; returns whether that is later than was known. */
  noteBackoff(until: number): boolean {
    const isNews = until > this.#backoffUntil;
    this.#backoffUntil = Math.max(this.#backoffUntil, until);
    return isNews;
  }
}
