/** What this daemon has observed of a target's failures: of its calls, its health and its speed. */
import { FailureRate, FailureTrial, type TrialCall } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';

/** How long other targets are preferred to one with a stuck call. */
const STUCK_AVOIDANCE_MS = 1500;

/** Receives the changes between a target that fails nearly all calls and one that does not. */
export interface FailureListener {
  readonly onFailing: () => void;
  /** @param time how long it had been failing, in milliseconds */
  readonly onRecovered: (time: number) => void;
}

/** The failures of one target. */
export class TargetFailures {
  /** Failure rate of recent calls. */
  readonly rate = new FailureRate();

  /** When the target gets a call although it is avoided because of its failures. */
  readonly trial = new FailureTrial();

  #isUnhealthy = false;

  #failingSince = -Infinity;

  #avoidedUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly listener: FailureListener,
  ) {}

  /** Whether nearly all recent calls failed. */
  get isFailing(): boolean {
    return this.rate.isFailing(this.clock.now());
  }

  /** Whether the last health check failed or a call was stuck recently. */
  get isSuspect(): boolean {
    return this.#isUnhealthy || this.clock.now() < this.#avoidedUntil;
  }

  /**
   * Whether a call should go there although the target is avoided because of its failures.
   *
   * @param inFlight calls of this daemon at the target
   * @param isSuspect whether the target is a suspect for any reason
   */
  isTrialDue(call: TrialCall, inFlight: number, isSuspect: boolean): boolean {
    const now = this.clock.now();
    if (!this.rate.isAvoided(now)) return false;
    const { successesInRow } = this.rate;
    const { isFailing } = this;
    return this.trial.isDue({ ...call, successesInRow, inFlight, isFailing, isSuspect }, now);
  }

  /** Records a failed call. @param mayHaveRun whether the target may have run the call */
  recordFailure(mayHaveRun: boolean): void {
    const now = this.clock.now();
    const wasFailing = this.isFailing;
    this.rate.recordFailure(now);
    this.trial.recordFailure(now, mayHaveRun);
    if (wasFailing || !this.isFailing) return;
    this.#failingSince = now;
    this.listener.onFailing();
  }

  /** Records a successful call. */
  recordSuccess(): void {
    const now = this.clock.now();
    const wasFailing = this.isFailing;
    this.rate.recordSuccess(now);
    if (wasFailing && !this.isFailing) this.listener.onRecovered(now - this.#failingSince);
  }

  /** Records that a call has been running far too long. */
  recordStuckCall(): void {
    this.#avoidedUntil = this.clock.now() + STUCK_AVOIDANCE_MS;
  }

  /** Records the outcome of a health check. */
  recordHealth(isHealthy: boolean): void {
    this.#isUnhealthy = !isHealthy;
  }

  /** Forgets everything. */
  clear(): void {
    const wasFailing = this.isFailing;
    this.rate.clear();
    this.#isUnhealthy = false;
    this.#avoidedUntil = -Infinity;
    if (wasFailing) this.listener.onRecovered(this.clock.now() - this.#failingSince);
  }
}
