/**
 * Decides when a target that is avoided because of its failures gets a call all the same.
 *
 * Only calls show that a target has recovered, and other targets are preferred to one that has
 * failed, so without trials it would get no call until its failures are forgotten. Trials are real
 * calls: their number is limited to a share of all, and those go first whose callers don't notice a
 * failure.
 */

/** Time from a failure to the next trial, in milliseconds. */
const TRIAL_INTERVAL_MS = 500;

/** The same for a target that fails nearly all calls. */
const FAILING_INTERVAL_MS = 800;

/** The same for a call whose caller would notice a failure: others get the time to go first. */
const NOTICED_INTERVAL_MS = 1500;

/** The same for a target whose health check fails as well. */
const SUSPECT_INTERVAL_MS = 2000;

/** What a trial costs if it fails. */
export type TrialKind =
  /** The call would have to wait otherwise, and its caller would not notice the failure. */
  | 'needed'
  /** It would have to wait otherwise, and the failure would reach its caller. */
  | 'needed-noticed'
  /** Other targets are free, and its caller would not notice the failure. */
  | 'unnoticed'
  /** Other targets are free, and the failure would reach its caller. */
  | 'noticed';

/** Share of a service's calls that may be trials of each kind. */
const TRIAL_SHARES: Readonly<Record<TrialKind, number>> = {
  ...{ needed: 0.25, 'needed-noticed': 0.1, unnoticed: 0.1, noticed: 0.02 },
};

const TRIAL_KINDS: readonly TrialKind[] = ['needed', 'needed-noticed', 'unnoticed', 'noticed'];

/** Trials that are not used are saved over this many calls. */
const MAX_SAVED_CALLS = 80;

/** A call that would be a trial. */
export interface TrialCall {
  /** Whether the call may be sent again whatever happens to it. */
  readonly isRepeatable: boolean;
}

/** The state of a target that a trial depends on. */
export interface TrialTerms extends TrialCall {
  /** Successes since the last failure. */
  readonly successesInRow: number;
  /** Calls of this daemon at the target. */
  readonly inFlight: number;
  /** Whether nearly all recent calls failed there. */
  readonly isFailing: boolean;
  readonly isSuspect: boolean;
}

/** The trials of one target. */
export class FailureTrial {
  /** When a call failed or a trial began. */
  #triedAt = -Infinity;

  #mayHaveRun = false;

  /** Records a failure. @param mayHaveRun whether the call that failed may have run */
  recordFailure(now: number, mayHaveRun: boolean): void {
    this.#triedAt = now;
    this.#mayHaveRun = mayHaveRun;
  }

  /** Records that a trial begins. */
  recordStart(now: number): void {
    this.#triedAt = now;
  }

  /** Names the kind of a trial. @param isNeeded whether the call would have to wait otherwise */
  findKind(call: TrialCall, isNeeded: boolean): TrialKind {
    if (isNeeded) return this.#isNoticed(call) ? 'needed-noticed' : 'needed';
    return this.#isNoticed(call) ? 'noticed' : 'unnoticed';
  }

  /**
   * Whether a trial is due: some time after a failure one call, and one more at once for each
   * success in a row.
   */
  isDue(terms: TrialTerms, now: number): boolean {
    if (terms.inFlight > terms.successesInRow) return false;
    return terms.successesInRow > 0 || now - this.#triedAt >= this.#chooseInterval(terms);
  }

  #chooseInterval(terms: TrialTerms): number {
    if (terms.isSuspect) return SUSPECT_INTERVAL_MS;
    if (this.#isNoticed(terms)) return NOTICED_INTERVAL_MS;
    return terms.isFailing ? FAILING_INTERVAL_MS : TRIAL_INTERVAL_MS;
  }

  /** Whether the caller would notice if the call failed as the last one did. */
  #isNoticed({ isRepeatable }: TrialCall): boolean {
    return !isRepeatable && this.#mayHaveRun;
  }
}

/** Limits the trials of a service to a share of its calls. */
export class TrialBudget {
  readonly #saved: Record<TrialKind, number> = {
    ...{ needed: 0, 'needed-noticed': 0, unnoticed: 0, noticed: 0 },
  };

  /** Counts a call of the service. */
  recordCall(): void {
    for (const kind of TRIAL_KINDS) {
      const share = TRIAL_SHARES[kind];
      this.#saved[kind] = Math.min(MAX_SAVED_CALLS * share, this.#saved[kind] + share);
    }
  }

  /** Takes a trial; false when its share is used up. */
  spend(kind: TrialKind): boolean {
    if (this.#saved[kind] < 1) return false;
    this.#saved[kind] -= 1;
    return true;
  }
}
