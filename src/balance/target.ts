/**
 * One target as one entry sees it: its limit, its answers, and whether it may be used.
 *
 * Several sources report on a target: the platform's list, the target's own answers, notices from
 * other entries, and the outcome of calls. Each can be wrong, so each has a bounded effect and a
 * way to be corrected: a reported state by a later one, a notice by its age, an ejection by a
 * trial.
 */
import {
  type Address,
  type Clock,
  type Random,
  assertInvariant,
  formatAddress,
} from '../kernel/index.js';
import { DecayingMean } from './estimate.js';
import type { ConcurrencyLimit } from './limit.js';

/** The state that a target reports of itself. */
export type ReportedState = 'ready' | 'cold' | 'draining';

/** What the head of a target's answer reports. */
export interface TargetReport {
  readonly state: ReportedState | undefined;
  /** Calls at the target from all entries when it answered, without the answered one. */
  readonly inFlight: number | undefined;
}

/** How one attempt at a target ended. */
export type AttemptEnd =
  | { readonly kind: 'answered'; readonly status: number }
  /** The target reported that it did not run the call. */
  | { readonly kind: 'not-run' }
  | { readonly kind: 'failed'; readonly reason: string }
  /** The entry ended the attempt itself. */
  | { readonly kind: 'cancelled' };

/** Whether a target may be used, and why. */
export type TargetState =
  | { readonly kind: 'ready' }
  | { readonly kind: 'cold'; readonly share: number }
  | { readonly kind: 'leaving'; readonly source: string }
  | { readonly kind: 'ejected'; readonly until: number; readonly reason: string }
  /** Ejected, but one call at a time is let through to see whether it has recovered. */
  | { readonly kind: 'trial'; readonly reason: string };

/** The state of a target in the platform's list. */
export type ListedState = 'live' | 'leaving' | 'gone';

/** Options of a {@link Target}. */
export interface TargetOptions {
  readonly address: Address;
  readonly domain: string;
  readonly limit: ConcurrencyLimit;
  /** Warm-up time after the target appears or reports that it is cold, in milliseconds. */
  readonly coldStart: number;
  /** Whether the target appeared while the daemon was running. */
  readonly isNew: boolean;
  readonly clock: Clock;
  readonly random: Random;
}

const LATENCY_HALF_LIFE_MS = 1000;
const MAX_REPORT_AGE_MS = 100;
const MAX_NOTICE_AGE_MS = 30_000;
/**
 * How long a report of draining is believed while the platform's list says that the target is live.
 */
const MAX_DRAINING_AGE_MS = 120_000;
const MAX_CONSECUTIVE_FAILURES = 5;
const OUTCOME_WINDOW_CALLS = 20;
const MAX_FAILURE_SHARE = 0.5;
const FIRST_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 30_000;
const TRIAL_SUCCESSES = 3;
const MIN_COLD_SHARE = 0.2;
const SERVER_ERROR_STATUS = 500;

interface Ejection {
  readonly until: number;
  readonly reason: string;
  readonly successes: number;
}

/** A target in use. */
export class Target {
  readonly name: string;

  readonly address: Address;

  readonly domain: string;

  #inFlight = 0;

  #progressAt = 0;

  #otherInFlight = 0;

  #otherInFlightAt = -Infinity;

  #lastReported = 0;

  #listed: ListedState = 'live';

  #reportedState: ReportedState = 'ready';

  #reportedStateAt = -Infinity;

  #noticeAt = -Infinity;

  #coldSince: number;

  #outcomes: readonly boolean[] = [];

  #ejection: Ejection | undefined;

  #ejections = 0;

  readonly #latency = new DecayingMean(LATENCY_HALF_LIFE_MS);

  /** Attempts by their outcome, since the start. */
  readonly counts = { answered: 0, notRun: 0, failed: 0, cancelled: 0, connections: 0 };

  constructor(private readonly options: TargetOptions) {
    this.name = formatAddress(options.address);
    this.address = options.address;
    this.domain = options.domain;
    this.#coldSince = options.isNew ? options.clock.now() : -Infinity;
  }

  /** Calls that this entry has in flight at the target. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Calls of other entries at the target, as far as a recent answer reported them. */
  get otherInFlight(): number {
    const age = this.options.clock.now() - this.#otherInFlightAt;
    return age < MAX_REPORT_AGE_MS ? this.#otherInFlight : 0;
  }

  /** The maximum number of calls that the target is given now. */
  get limit(): number {
    const fullLimit = this.options.limit.read();
    const state = this.readState();
    switch (state.kind) {
      case 'ready':
        return fullLimit;
      case 'cold':
        return Math.max(1, Math.floor(fullLimit * state.share));
      case 'trial':
        return 1;
      case 'leaving':
      case 'ejected':
        return 0;
      default:
        return state satisfies never;
    }
  }

  /** Returns the recent mean time to an answer, in milliseconds. */
  readLatency(fallback: number): number {
    return this.#latency.read(fallback);
  }

  /**
   * Returns how long the target has had calls in flight without completing one, in milliseconds.
   */
  readStall(now: number): number {
    return this.#inFlight === 0 ? 0 : now - this.#progressAt;
  }

  /** Returns whether the target may be used, by the first source that says otherwise. */
  readState(): TargetState {
    const now = this.options.clock.now();
    if (this.#listed !== 'live') return { kind: 'leaving', source: `list says ${this.#listed}` };
    if (this.#reportedState === 'draining') {
      return now - this.#reportedStateAt < MAX_DRAINING_AGE_MS
        ? { kind: 'leaving', source: 'its own word' }
        : { kind: 'trial', reason: 'it said that it was leaving and is still listed' };
    }
    if (now - this.#noticeAt < MAX_NOTICE_AGE_MS)
      return { kind: 'leaving', source: 'another entry' };
    if (this.#ejection !== undefined) {
      const { until, reason } = this.#ejection;
      return now < until ? { kind: 'ejected', until, reason } : { kind: 'trial', reason };
    }
    const { coldStart } = this.options;
    const warmShare = coldStart === 0 ? 1 : (now - this.#coldSince) / coldStart;
    if (warmShare < 1) return { kind: 'cold', share: Math.max(MIN_COLD_SHARE, warmShare) };
    return { kind: 'ready' };
  }

  /** Takes the state in the platform's list. */
  updateListedState(state: ListedState): void {
    if (this.#listed !== 'live' && state === 'live') this.#coldSince = this.options.clock.now();
    this.#listed = state;
  }

  /** Records another entry's notice that the target is leaving. */
  recordLeavingNotice(): void {
    this.#noticeAt = this.options.clock.now();
  }

  /** Counts a call that starts. The caller has checked {@link limit}. */
  start(): void {
    const { kind } = this.readState();
    assertInvariant(kind !== 'leaving', `no call starts at ${this.name}, known to be leaving`);
    if (this.#inFlight === 0) this.#progressAt = this.options.clock.now();
    this.#inFlight += 1;
  }

  /** Counts a call that ended and learns from its outcome. */
  finish(end: AttemptEnd, latency: number): void {
    const now = this.options.clock.now();
    const wasFull = this.#inFlight >= this.options.limit.read();
    this.#inFlight -= 1;
    assertInvariant(this.#inFlight >= 0, `calls in flight at ${this.name} are never negative`);
    switch (end.kind) {
      case 'answered':
        this.counts.answered += 1;
        this.#progressAt = now;
        this.#latency.add(latency, now);
        this.options.limit.recordAnswer(latency, wasFull);
        this.#recordOutcome(end.status < SERVER_ERROR_STATUS, `status ${end.status}`);
        return;
      case 'not-run':
        this.counts.notRun += 1;
        this.#progressAt = now;
        this.options.limit.recordShed();
        return;
      case 'failed':
        this.counts.failed += 1;
        this.#recordOutcome(false, end.reason);
        return;
      case 'cancelled':
        this.counts.cancelled += 1;
        return;
      default:
        end satisfies never;
    }
  }

  /** Ends an ejection because so many targets are ejected that a shared cause is more likely. */
  clearEjection(): void {
    this.#ejection = undefined;
    this.#outcomes = [];
  }

  /** Records the result of a health probe; it counts only while the target is ejected. */
  recordProbe(healthy: boolean): void {
    if (this.#ejection === undefined) return;
    if (healthy) this.#recordOutcome(true, 'probe');
  }

  /**
   * Records what the head of an answer reports, while the answered call still counts as in flight.
   * By the end of the body, other calls may have ended, and the count would be wrong.
   */
  recordReport(report: TargetReport): void {
    const now = this.options.clock.now();
    if (report.inFlight !== undefined) {
      const otherCalls = Math.max(0, report.inFlight - (this.#inFlight - 1));
      // One report may be off by calls in transit, so a count is used only up to the lower of two
      // reports.
      this.#otherInFlight = Math.min(otherCalls, this.#lastReported);
      this.#lastReported = otherCalls;
      this.#otherInFlightAt = now;
    }
    if (report.state === undefined) return;
    if (report.state === 'cold' && this.#reportedState !== 'cold') this.#coldSince = now;
    if (report.state === 'ready') this.#noticeAt = -Infinity;
    this.#reportedState = report.state;
    this.#reportedStateAt = now;
  }

  #recordOutcome(success: boolean, reason: string): void {
    if (this.#ejection !== undefined) {
      this.#recordTrial(this.#ejection, success, reason);
      return;
    }
    this.#outcomes = [...this.#outcomes.slice(1 - OUTCOME_WINDOW_CALLS), success];
    if (success) return;
    const streak = this.#outcomes.slice(-MAX_CONSECUTIVE_FAILURES);
    const failures = this.#outcomes.filter((outcome) => !outcome).length;
    const hasFailureStreak = streak.length === MAX_CONSECUTIVE_FAILURES && !streak.includes(true);
    const hasHighFailureShare =
      this.#outcomes.length === OUTCOME_WINDOW_CALLS &&
      failures > OUTCOME_WINDOW_CALLS * MAX_FAILURE_SHARE;
    if (hasFailureStreak || hasHighFailureShare) this.#eject(reason);
  }

  #recordTrial(ejection: Ejection, success: boolean, reason: string): void {
    if (!success) {
      // Calls that started before the ejection still end; they do not prolong it.
      if (this.options.clock.now() >= ejection.until) this.#eject(reason);
      return;
    }
    const successes = ejection.successes + 1;
    if (successes < TRIAL_SUCCESSES) {
      this.#ejection = { ...ejection, successes };
      return;
    }
    this.#ejection = undefined;
    this.#ejections = 0;
    this.#outcomes = [];
    this.#coldSince = this.options.clock.now();
  }

  #eject(reason: string): void {
    const { clock, random } = this.options;
    const duration = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections);
    this.#ejections += 1;
    const until = clock.now() + duration * (0.75 + random.next() / 2);
    this.#ejection = { until, reason, successes: 0 };
  }
}
