/** What a target itself has said of whether it takes requests from this daemon. */

/** What is known of one incarnation of a target. It outlives the target's entry in the list. */
export class Standing {
  #isDraining = false;

  #backoffUntil = -Infinity;

  /** Whether the target has said that it drains, which holds for as long as this incarnation lives. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Until when the target wants nothing from this daemon, in milliseconds on its clock. */
  get backoffUntil(): number {
    return this.#backoffUntil;
  }

  /** Notes that the target drains; returns whether that is news. */
  noteDraining(): boolean {
    const isNews = !this.#isDraining;
    this.#isDraining = true;
    return isNews;
  }

  /** Notes until when the target wants nothing from this daemon; returns whether that is later than was known. */
  noteBackoff(until: number): boolean {
    const isNews = until > this.#backoffUntil;
    this.#backoffUntil = Math.max(this.#backoffUntil, until);
    return isNews;
  }
}
