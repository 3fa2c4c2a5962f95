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
const MAX_REPORT_AGE_MS = 1000;

/** What another home told of its own calls counts for this long; it tells again sooner than that. */
const MAX_HOME_COUNT_AGE_MS = 1200;

/** A report counts calls that end or arrive while it travels, so it may be off by this many. */
const REPORT_ERROR_CALLS = 1;

/** A call that was sent this shortly before a report came is not counted in it yet. */
const TRANSIT_MS = 4;

/** The belief about one target. */
export class LoadEstimate {
  #report: TargetLoad | undefined;

  #reportedAt = -Infinity;

  #slowdown = 1;

  #slowdownAt = -Infinity;

  /** Calls in the report that are not this daemon's; below 0 when some of its own are not there. */
  #otherCalls = 0;

  /** Calls in the report that neither this daemon nor any other home told of. */
  #unaccounted = 0;

  #inFlight = 0;

  #starts: readonly number[] = [];

  readonly #homeCounts = new Map<string, { readonly inFlight: number; readonly at: number }>();

  /** Calls that this daemon has in flight at the target. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** When the last report came. */
  get reportedAt(): number {
    return this.#reportedAt;
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
    return this.#report;
  }

  /** Counts a call that starts. */
  start(now: number): void {
    this.#inFlight += 1;
    this.#starts = [...this.#starts.filter((at) => now - at < TRANSIT_MS), now];
  }

  /** Counts a call that ended. */
  finish(): void {
    this.#inFlight -= 1;
  }

  /** This daemon's calls that a report may count which arrives now. */
  countArrived(now: number): number {
    let inTransit = 0;
    for (const at of this.#starts) {
      if (now - at < TRANSIT_MS) inTransit += 1;
    }
    return Math.max(0, this.#inFlight - inTransit);
  }

  /** Takes another home's count of its own calls at the target. */
  observeHomeCalls(home: string, inFlight: number, now: number): void {
    this.#homeCounts.set(home, { inFlight, at: now });
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

  /** Takes a report. @param ownCalls this daemon's calls that it may count */
  observeReport(report: TargetLoad, ownCalls: number, now: number): void {
    this.#report = report;
    this.#reportedAt = now;
    this.observeSlowdown(report.slowdown, now);
    this.#otherCalls = report.running + report.waiting - ownCalls;
    const { homeCalls } = this.#sumHomeCounts(now);
    this.#unaccounted = Math.max(0, this.#otherCalls - homeCalls - REPORT_ERROR_CALLS);
  }

  /**
   * Calls at the target now, of all daemons.
   *
   * The homes tell each other their own calls, which is nearly exact. A report adds what nobody told
   * of. Without either, each of the homes is taken to have as many there as this one.
   *
   * @param reportingHomes homes that told of their calls of late, be it that they have none here
   */
  countCalls(now: number, homes: number, reportingHomes = 0): number {
    const { homes: countedHomes, homeCalls } = this.#sumHomeCounts(now);
    const knownHomes = Math.max(countedHomes, reportingHomes);
    const isReported = now - this.#reportedAt < MAX_REPORT_AGE_MS;
    if (knownHomes >= homes - 1)
      return this.#inFlight + homeCalls + (isReported ? this.#unaccounted : 0);
    return isReported
      ? Math.max(0, this.#inFlight + this.#otherCalls)
      : this.#inFlight * Math.max(1, homes);
  }

  /** Counts the homes that told of their calls of late, and those calls. */
  #sumHomeCounts(now: number): { readonly homes: number; readonly homeCalls: number } {
    let homes = 0;
    let homeCalls = 0;
    for (const { inFlight, at } of this.#homeCounts.values()) {
      if (now - at >= MAX_HOME_COUNT_AGE_MS) continue;
      homes += 1;
      homeCalls += inFlight;
    }
    return { homes, homeCalls };
  }
}
