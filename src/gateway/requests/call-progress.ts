/** What has happened to one call so far, on whatever path. */
import { SendLedger } from '../../proxy/ledger.js';

/** The progress of one call. */
export class CallProgress {
  /** Which attempts may have run, over this daemon's own connections or another daemon's. */
  readonly ledger: SendLedger;

  /** Attempts that may have reached a target. */
  attemptCount: number;

  /** Targets to which this daemon could open no connection for the call. */
  connectionFailures = 0;

  /**
   * Whether this daemon has taken the next repeat from its retry budget; otherwise the daemon that
   * carries it has to take it from its own.
   */
  isRepeatPaid = false;

  /** Whether these were all targets that it could go to. */
  isExhausted = false;

  /** Whether no daemon that may carry the call could serve it. */
  isCarriedInVain = false;

  /**
   * @param isRepeatable whether the call may be repeated
   * @param isCounted whether the service counts the call already
   */
  constructor(
    isRepeatable: boolean,
    attemptCount: number,
    public isCounted: boolean,
  ) {
    this.ledger = new SendLedger(isRepeatable);
    this.attemptCount = attemptCount;
  }
}
