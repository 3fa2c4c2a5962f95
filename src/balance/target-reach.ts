/**
 * Whether a daemon reaches any target of a service, judged by its own connections.
 *
 * A partition between a daemon and the targets affects all of them alike, so contact with a single
 * target disproves it. Failures alone don't prove it, because targets fail too. So several targets
 * without a connection, or silence while calls are in flight, only cause a check, and the service
 * counts as lost once several connections in a row were not accepted and nothing else arrived.
 * While it is lost, checks go on; a loss that was not checked recently is no longer believed.
 */

/** The times of the detection, in milliseconds. */
export interface ReachTimes {
  /** With a call in flight, a service is checked after this time without contact. */
  readonly silence: number;
  /** The least time between the starts of two checks. */
  readonly checkInterval: number;
  /** A service counts as lost only after this time without contact. */
  readonly confirmation: number;
  /** A loss is believed for this long after the last check. */
  readonly maxCheckAge: number;
}

/** The times as fractions of the promised one. */
const FRACTIONS: ReachTimes = {
  silence: 0.12,
  checkInterval: 0.08,
  confirmation: 0.08,
  maxCheckAge: 0.5,
};

/** Promises beyond these bounds count as the bound. */
const MIN_PROMISE_MS = 1000;
const MAX_PROMISE_MS = 4000;

/**
 * Derives the times of the detection.
 *
 * @param promised the time within which callers of a partitioned daemon are served again, in
 *   milliseconds
 */
export function planReachTimes(promised: number): ReachTimes {
  const time = Math.max(MIN_PROMISE_MS, Math.min(MAX_PROMISE_MS, promised));
  return {
    silence: FRACTIONS.silence * time,
    checkInterval: FRACTIONS.checkInterval * time,
    confirmation: FRACTIONS.confirmation * time,
    maxCheckAge: FRACTIONS.maxCheckAge * time,
  };
}

/** The interval at which it is decided whether a check is due, in milliseconds. */
export const REACH_DECISION_INTERVAL_MS = 50;

/**
 * Computes the longest time from a partition until it is found, with a call in flight, in
 * milliseconds.
 *
 * @param connectTimeout longest wait for a connection
 */
export function computeMaxDetectionTime(times: ReachTimes, connectTimeout: number): number {
  const check = REACH_DECISION_INTERVAL_MS + Math.max(connectTimeout, times.checkInterval);
  // The first check tries one target, the second one several.
  return times.silence + 2 * check;
}

/** So many targets without a connection since the last contact cause a check. */
const MIN_SUSPICIOUS_FAILURES = 2;

/** So many have to accept no connection before their service counts as lost, if it has as many. */
const MIN_LOST_FAILURES = 3;

/** A change of whether a service is reached. */
export type ReachChange = 'none' | 'lost' | 'regained';

/** What one daemon knows about its connections to the targets of one service. */
export class ReachEstimate {
  /** Targets that accepted no connection since the last contact with any target. */
  readonly #failed = new Set<string>();

  #contactAt = -Infinity;

  #checkStartedAt = -Infinity;

  #checkEndedAt = -Infinity;

  #isChecking = false;

  #lostAt: number | undefined;

  #isCheckRequested = false;

  constructor(private readonly times: ReachTimes) {}

  /** Whether the service counts as lost. */
  isLost(now: number): boolean {
    return this.#lostAt !== undefined && now - this.#checkEndedAt <= this.times.maxCheckAge;
  }

  /** How long the service has counted as lost, in milliseconds; 0 when it does not. */
  readLostTime(now: number): number {
    return this.#lostAt === undefined ? 0 : now - this.#lostAt;
  }

  /** Time since the last contact, in milliseconds; Infinity before the first. */
  readContactAge(now: number): number {
    return now - this.#contactAt;
  }

  /** Targets that accepted no connection since the last contact with any target. */
  get failedTargets(): number {
    return this.#failed.size;
  }

  /** Records that a target answered or accepted a connection. */
  recordContact(now: number): ReachChange {
    this.#contactAt = now;
    this.#failed.clear();
    if (this.#lostAt === undefined) return 'none';
    this.#lostAt = undefined;
    return 'regained';
  }

  /** Records that a target accepted no connection. */
  recordFailure(target: string): void {
    this.#failed.add(target);
  }

  /** Requests a check, because something else suggests a partition. */
  requestCheck(): void {
    this.#isCheckRequested = true;
  }

  /**
   * Whether a check is due.
   *
   * @param targetCount targets that the service has
   * @param inFlightSince since when calls have been in flight without a break; undefined when there
   *   is none
   */
  isCheckDue(now: number, targetCount: number, inFlightSince: number | undefined): boolean {
    if (this.#isChecking || now - this.#checkStartedAt < this.times.checkInterval) return false;
    if (this.#isCheckRequested || this.#lostAt !== undefined) return true;
    if (this.#failed.size >= Math.min(MIN_SUSPICIOUS_FAILURES, targetCount)) return true;
    if (inFlightSince === undefined) return false;
    return now - Math.max(this.#contactAt, inFlightSince) >= this.times.silence;
  }

  /** Records that a check starts; returns how many targets it tries. */
  recordCheckStart(now: number): number {
    const isSuspected = this.#isCheckRequested || this.#failed.size > 0;
    this.#checkStartedAt = now;
    this.#isChecking = true;
    this.#isCheckRequested = false;
    return isSuspected ? MIN_LOST_FAILURES : 1;
  }

  /**
   * Records the end of a check, whose failures and contacts were recorded before.
   *
   * @param targetCount targets that the service has
   */
  recordCheckEnd(now: number, targetCount: number): ReachChange {
    this.#checkEndedAt = now;
    this.#isChecking = false;
    if (this.#lostAt !== undefined || this.#contactAt >= this.#checkStartedAt) return 'none';
    const areEnough = this.#failed.size >= Math.max(1, Math.min(MIN_LOST_FAILURES, targetCount));
    if (!areEnough || this.readContactAge(now) < this.times.confirmation) {
      this.#isCheckRequested = true;
      return 'none';
    }
    this.#lostAt = now;
    return 'lost';
  }
}
