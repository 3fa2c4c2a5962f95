/**
 * What is believed of one target's load, from reports that are stale when they arrive.
 *
 * A report counts the calls of all daemons; this daemon's own ones are known exactly. So the others'
 * share is taken from the report and the own share from the count. How slow work is there now is
 * redrawn by its neighbours some times a second, so a report of it is believed less as it ages.
 */

/** What a target reports of itself. */
export interface LoadWord {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, as a multiple of the usual. */
  readonly slowdown: number;
}

/** Within this time the slowdown of a target is drawn anew; measured by the users at about 500 ms. */
export const REDRAW = 500;

/** Others' calls in a report older than this are no longer counted. */
const OTHERS_LIFE = 1500;

/** The belief about one target. */
export class LoadBelief {
  #word: LoadWord | undefined;

  #at = -Infinity;

  #others = 0;

  #inFlight = 0;

  /** Calls that this daemon has in flight at the target. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** When the last report came. */
  get reportedAt(): number {
    return this.#at;
  }

  /** Counts a call that starts. */
  start(): void {
    this.#inFlight += 1;
  }

  /** Counts a call that ended. */
  finish(): void {
    this.#inFlight -= 1;
  }

  /** Takes a report. @param own this daemon's calls that it may count */
  hear(word: LoadWord, own: number, now: number): void {
    this.#word = word;
    this.#at = now;
    this.#others = Math.max(0, word.running + word.waiting - own);
  }

  /** Calls at the target now, of all daemons. */
  countCalls(now: number): number {
    const others = now - this.#at < OTHERS_LIFE ? this.#others : 0;
    return this.#inFlight + others;
  }

  /** How slow the target is now; `usual` is the mean over all targets, which an old report fades to. */
  readSlowdown(now: number, usual: number): number {
    if (this.#word === undefined) return usual;
    const trust = Math.max(0, 1 - (now - this.#at) / REDRAW);
    return this.#word.slowdown * trust + usual * (1 - trust);
  }

  /** The slowdown of the last report, whatever its age. */
  get lastSlowdown(): number | undefined {
    return this.#word?.slowdown;
  }
}
