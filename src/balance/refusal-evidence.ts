/**
 * Decides whether an estimate may refuse calls.
 *
 * Guards against an estimate that refuses every call that would correct it: a run time that was
 * measured or stored far too long keeps all calls of a route away from idle targets, and only
 * answers to these calls would show that it is wrong. An estimate therefore refuses calls only
 * while it rests on recent outcomes seen by this daemon, and now and then lets a call through as a
 * trial: a real call that it would have refused. Where targets really are that slow, the trials
 * fail and cost a slot once in an interval.
 *
 * Times are in milliseconds.
 */

/**
 * Time without an outcome after which a trial is due. A call that may not be repeated is risked
 * later, so that where a route or its service has others these go first.
 */
const REPEATABLE_TRIAL_INTERVAL_MS = 500;
const UNREPEATABLE_TRIAL_INTERVAL_MS = 1000;

/** An older outcome is no evidence any more, unless a trial is running that will renew it. */
const EVIDENCE_LIFETIME_MS = 2000;

/** What is done with a call that an estimate would refuse. */
export type TrialDecision =
  | 'refuse'
  /** It is sent to find out whether the estimate still holds. */
  | 'trial'
  /** It is sent because nothing recent supports the estimate. */
  | 'no-evidence';

/** The outcomes on which one estimate rests. */
export class RefusalEvidence {
  #seenAt = -Infinity;

  #trialAt = -Infinity;

  #runningTrials = 0;

  /** Records an outcome that the estimate includes, or a trial that confirmed it. */
  record(now: number): void {
    this.#seenAt = now;
  }

  /** Whether there is any; without it the estimate refuses nothing. */
  isPresent(now: number): boolean {
    return this.#runningTrials > 0 || now - this.#seenAt < EVIDENCE_LIFETIME_MS;
  }

  /**
   * Decides on a call that the estimate would refuse. A trial has to be finished.
   *
   * @param isRepeatable whether the call may be sent again if its outcome stays unknown
   */
  decideTrial(now: number, isRepeatable: boolean): TrialDecision {
    if (!this.isPresent(now)) return 'no-evidence';
    const interval = isRepeatable ? REPEATABLE_TRIAL_INTERVAL_MS : UNREPEATABLE_TRIAL_INTERVAL_MS;
    if (now - Math.max(this.#seenAt, this.#trialAt) < interval) return 'refuse';
    this.#trialAt = now;
    this.#runningTrials += 1;
    return 'trial';
  }

  /** Records that a trial has ended, whatever its outcome. */
  finishTrial(): void {
    this.#runningTrials -= 1;
  }
}
