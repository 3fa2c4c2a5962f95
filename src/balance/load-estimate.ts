/**
 * What is believed of one target's load, from reports that are stale when they arrive.
 *
 * A report counts the calls of all daemons; this daemon's own ones are known exactly. So the others'
 * share is taken from the report and the own share from the count. How slow work is there is told with the time of the report; how long that says
 * something is learnt for the whole service.
 */

/** What a target reports of itself. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, as a multiple of the usual. */
  readonly slowdown: number;
}

/** A report older than this says nothing of how many calls are there now. */
const COUNT_LIFE = 1000;

/** What another home told of its own calls counts for this long; it tells again sooner than that. */
const SHARE_LIFE = 1200;

/** A report counts calls that end or arrive while it travels, so it may be off by this many. */
const REPORT_ERROR = 1;

/** A call that was sent this shortly before a report came is not counted in it yet. */
const ON_ITS_WAY = 4;

/** The belief about one target. */
export class LoadEstimate {
  #word: TargetLoad | undefined;

  #at = -Infinity;

  #slowdown = 1;

  #slowdownAt = -Infinity;

  /** Calls in the report that are not this daemon's; below 0 when some of its own are not there. */
  #others = 0;

  /** Calls in the report that neither this daemon nor any other home told of. */
  #unexplained = 0;

  #inFlight = 0;

  #starts: readonly number[] = [];

  readonly #shares = new Map<string, { readonly inFlight: number; readonly at: number }>();

  /** Calls that this daemon has in flight at the target. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** When the last report came. */
  get reportedAt(): number {
    return this.#at;
  }

  /** The last slowdown heard of, whatever its age. */
  get lastSlowdown(): number {
    return this.#slowdown;
  }

  /** When the last slowdown was so. */
  get slowdownAt(): number {
    return this.#slowdownAt;
  }

  /** The last report. */
  get lastReport(): TargetLoad | undefined {
    return this.#word;
  }

  /** Counts a call that starts. */
  start(now: number): void {
    this.#inFlight += 1;
    this.#starts = [...this.#starts.filter((at) => now - at < ON_ITS_WAY), now];
  }

  /** Counts a call that ended. */
  finish(): void {
    this.#inFlight -= 1;
  }

  /** This daemon's calls that a report may count which arrives now. */
  countArrived(now: number): number {
    let onTheirWay = 0;
    for (const at of this.#starts) {
      if (now - at < ON_ITS_WAY) onTheirWay += 1;
    }
    return Math.max(0, this.#inFlight - onTheirWay);
  }

  /** Takes another home's count of its own calls at the target. */
  observeHomeCalls(home: string, inFlight: number, now: number): void {
    this.#shares.set(home, { inFlight, at: now });
  }

  /**
   * Takes what was heard of the target's slowdown, here or by another home; false if that is not news.
   *
   * @param at when it was heard
   */
  observeSlowdown(slowdown: number, at: number): boolean {
    if (at <= this.#slowdownAt) return false;
    this.#slowdown = slowdown;
    this.#slowdownAt = at;
    return true;
  }

  /** Takes a report. @param own this daemon's calls that it may count */
  observeReport(word: TargetLoad, own: number, now: number): void {
    this.#word = word;
    this.#at = now;
    this.observeSlowdown(word.slowdown, now);
    this.#others = word.running + word.waiting - own;
    const { others } = this.#countTold(now);
    this.#unexplained = Math.max(0, this.#others - others - REPORT_ERROR);
  }

  /**
   * Calls at the target now, of all daemons.
   *
   * The homes tell each other their own calls, which is nearly exact. A report adds what nobody told
   * of. Without either, each of the homes is taken to have as many there as this one.
   *
   * @param tellers homes that told of their calls of late, be it that they have none here
   */
  countCalls(now: number, homes: number, tellers = 0): number {
    const { told: named, others } = this.#countTold(now);
    const told = Math.max(named, tellers);
    const isReported = now - this.#at < COUNT_LIFE;
    if (told >= homes - 1) return this.#inFlight + others + (isReported ? this.#unexplained : 0);
    return isReported
      ? Math.max(0, this.#inFlight + this.#others)
      : this.#inFlight * Math.max(1, homes);
  }

  /** Counts the homes that told of their calls of late, and those calls. */
  #countTold(now: number): { readonly told: number; readonly others: number } {
    let told = 0;
    let others = 0;
    for (const { inFlight, at } of this.#shares.values()) {
      if (now - at >= SHARE_LIFE) continue;
      told += 1;
      others += inFlight;
    }
    return { told, others };
  }
}
