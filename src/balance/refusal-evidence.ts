/**
 * Decides whether an estimate may refuse calls.
 *
 * Guards against an estimate that refuses every call that would correct it: a run time that was
 * measured or stored far too long keeps all calls of a route away from idle targets, and only
 * answers to these calls would show that it is wrong. An estimate therefore refuses calls only
 * while it rests on outcomes seen by this daemon, and now and then lets a call through as a trial:
 * a real call that it would have refused. Where targets really are that slow, the trials fail and
 * cost a slot once in an interval.
 *
 * Times are in milliseconds.
 */

/**
 * Time without an outcome after which a trial is due. A call that may not be repeated is risked
 * later, so that where a route or its service has others these go first.
 */
const REPEATABLE_TRIAL_INTERVAL_MS = 500;
const UNREPEATABLE_TRIAL_INTERVAL_MS = 1000;

/** An older outcome is no evidence any more; longer than any call is held. */
const EVIDENCE_LIFETIME_MS = 60_000;

/** The outcomes on which one estimate rests. */
export class RefusalEvidence {
  #seenAt = -Infinity;

  #trialAt = -Infinity;

  /** Records an outcome that the estimate includes, or a trial that confirmed it. */
  record(now: number): void {
    this.#seenAt = now;
  }

  /** Whether there is any; without it the estimate refuses nothing. */
  isPresent(now: number): boolean {
    return now - this.#seenAt < EVIDENCE_LIFETIME_MS;
  }

  /**
   * Whether a call is sent although the estimate would refuse it; takes the trial if so.
   *
   * @param isRepeatable whether the call may be sent again if its outcome stays unknown
   */
  takeTrial(now: number, isRepeatable: boolean): boolean {
    if (!this.isPresent(now)) return true;
    const interval = isRepeatable ? REPEATABLE_TRIAL_INTERVAL_MS : UNREPEATABLE_TRIAL_INTERVAL_MS;
    if (now - Math.max(this.#seenAt, this.#trialAt) < interval) return false;
    this.#trialAt = now;
    return true;
  }
}
