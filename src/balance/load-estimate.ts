/**
 * Estimates the load of one target from reports that are already out of date when they arrive.
 *
 * A report counts the calls of all daemons, while this daemon's own calls are known exactly. So the
 * calls of the others are taken from the report, and the own calls from the local count. A slowdown
 * is kept with the time of its report; how long it stays valid is learned per service.
 */

/** The load of a target, as it reports it. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, as a multiple of the usual time. */
  readonly slowdown: number;
}

/** Age in milliseconds up to which a report's call count is used. */
const MAX_REPORT_AGE_MS = 1000;

/**
 * How long another home's count of its own calls is used, in milliseconds; longer than the interval
 * at which homes send it.
 */
const MAX_HOME_COUNT_AGE_MS = 1200;

/** Calls end and arrive while a report travels, so its count may be off by this many. */
const REPORT_ERROR_CALLS = 1;

/**
 * A call sent less than this many milliseconds before a report arrives is not counted in it yet.
 */
const TRANSIT_MS = 4;

/** The load estimate of one target. */
export class LoadEstimate {
  #report: TargetLoad | undefined;

  #reportedAt = -Infinity;

  #slowdown = 1;

  #slowdownAt = -Infinity;

  /** Calls in the report that are not this daemon's; below 0 if it lacks some of this daemon's. */
  #otherCalls = 0;

  /** Calls in the report that neither this daemon nor the other homes account for. */
  #unaccounted = 0;

  #inFlight = 0;

  #starts: readonly number[] = [];

  readonly #homeCounts = new Map<string, { readonly inFlight: number; readonly at: number }>();

  /** Calls that this daemon has in flight at the target. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** When the last report arrived; -Infinity before the first. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** The last known slowdown, whatever its age; 1 before the first. */
  get lastSlowdown(): number {
    return this.#slowdown;
  }

  /** When the last slowdown was observed; -Infinity before the first. */
  get slowdownAt(): number {
    return this.#slowdownAt;
  }

  /** The last report; undefined before the first. */
  get lastReport(): TargetLoad | undefined {
    return this.#report;
  }

  /** Returns the calls running and waiting by a report of the last second; 0 without one. */
  readReportedCalls(now: number): number {
    if (this.#report === undefined || now - this.#reportedAt >= MAX_REPORT_AGE_MS) return 0;
    return this.#report.running + this.#report.waiting;
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

  /** Returns the number of this daemon's calls that a report arriving now may include. */
  countArrived(now: number): number {
    let inTransit = 0;
    for (const at of this.#starts) {
      if (now - at < TRANSIT_MS) inTransit += 1;
    }
    return Math.max(0, this.#inFlight - inTransit);
  }

  /** Records another home's count of its own calls at the target. */
  observeHomeCalls(home: string, inFlight: number, now: number): void {
    this.#homeCounts.set(home, { inFlight, at: now });
  }

  /**
   * Records a slowdown observed here or by another home; false if it is not newer than the last.
   *
   * @param at when it was observed
   */
  observeSlowdown(slowdown: number, at: number): boolean {
    if (at <= this.#slowdownAt) return false;
    this.#slowdown = slowdown;
    this.#slowdownAt = at;
    return true;
  }

  /**
   * Records a report of the target.
   *
   * @param ownCalls this daemon's calls that the report may include
   */
  observeReport(report: TargetLoad, ownCalls: number, now: number): void {
    this.#report = report;
    this.#reportedAt = now;
    this.observeSlowdown(report.slowdown, now);
    this.#otherCalls = report.running + report.waiting - ownCalls;
    const { homeCalls } = this.#sumHomeCounts(now);
    this.#unaccounted = Math.max(0, this.#otherCalls - homeCalls - REPORT_ERROR_CALLS);
  }

  /**
   * Returns the number of calls at the target now, from all daemons.
   *
   * The homes send each other their own counts, which is nearly exact. A report adds the calls that
   * no home accounts for. Without either, every home is assumed to have as many calls there as this
   * one.
   *
   * @param reportingHomes number of homes that recently sent counts, with or without calls here
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

  /** Counts the homes that recently sent their counts, and sums those counts. */
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
