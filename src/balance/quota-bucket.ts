/**
 * Token bucket of one organisation at one daemon: its part of a quota that holds for the fleet.
 *
 * The bound. In any window W, all daemons together admit at most
 *
 *   depth + rate x (W + T + R) + rate x m x 1.2 s
 *
 * calls, where T is the time for which tokens are lent, R the time within which a token may be
 * returned, and m the part of the fleet that is counted at two daemons.
 *
 * Proof. Tokens are created by filling only, at `rate` times the sum of the parts. That sum is at
 * most one, except that a part m may be counted twice for 1.2 s. A call that is admitted in the
 * window takes a token that was created in the window or was usable at its start. Of the latter, those
 * in buckets are at most depth, as each bucket holds at most its part of it. Any other was lent and
 * has not expired, or was taken by a call that may still return it. It left a bucket within T + R
 * before the start, because a lease runs from when the borrower requested it, which is before the
 * lender granted it, and because a call returns its token within R or not at all. At T + R before
 * the start it was in a bucket, or it has been created since. So the usable tokens are at most
 * depth + rate x (T + R). Losing, delaying, repeating or reordering a message creates no token: the
 * lender removes what it grants, and the borrower accepts one grant for each request.
 *
 * Without the limit R, calls that wait for long and end without having run would return any number
 * of tokens in one window, in addition to those created since.
 */

/** One daemon's part of the quota of an organisation. */
export interface QuotaTerms {
  /** Requests per second. */
  readonly rate: number;
  /** Tokens that the daemon may hold. */
  readonly depth: number;
}

/** How long a lent token may be used, in milliseconds from when the borrower requested it. */
export const QUOTA_LEASE_MS = 250;

/**
 * The part of the lease time within which a call that has not run returns its token. Calls that are
 * rejected at once do so sooner; the remaining ones count as used.
 */
const RETURN_PART = 0.4;

/**
 * After a longer gap without filling, the process was suspended, and its part of the fleet may be
 * counted at other daemons.
 */
const MAX_GAP_MS = 1200;

const SECOND_MS = 1000;

/** Amounts are sent in hundredths of a token. */
const STEPS = 100;

/** Accumulated fractions of a token may fall short of a whole one by up to this. */
const ROUNDING_ERROR = 1e-9;

interface Lease {
  amount: number;
  readonly expiresAt: number;
}

/**
 * Computes how long tokens may be lent, in milliseconds: at most half of what the quota's bound
 * allows in addition. @param window in milliseconds
 */
export function computeQuotaLease(window: number, overshoot: number): number {
  return Math.min(QUOTA_LEASE_MS, (overshoot * window) / 2);
}

/** The tokens of one organisation at one daemon; empty at first. Times are in milliseconds. */
export class QuotaBucket {
  #own = 0;

  #terms: QuotaTerms = { rate: 0, depth: 0 };

  #filledAt: number | undefined;

  /** What others lent, in the order of expiry. */
  #leases: Lease[] = [];

  /** @param leaseTime how long tokens may be lent */
  constructor(private readonly leaseTime: number = QUOTA_LEASE_MS) {}

  /**
   * Adds what the daemon's part gave since the last call, and adopts new terms. Must be called at
   * least once in 1.2 s, else the bucket is emptied.
   */
  refill(now: number, terms: QuotaTerms): void {
    const elapsed = Math.max(0, now - (this.#filledAt ?? now));
    // The part may have changed at any time since the last call.
    const rate = Math.min(this.#terms.rate, terms.rate);
    const filled = elapsed > MAX_GAP_MS ? 0 : this.#own + (rate * elapsed) / SECOND_MS;
    this.#own = Math.min(terms.depth, filled);
    this.#terms = terms;
    this.#filledAt = Math.max(now, this.#filledAt ?? now);
  }

  /** Takes a token, first of those that expire soonest. Returns whether there was one. */
  take(now: number): boolean {
    this.#removeExpired(now);
    let missing = 1;
    if (this.#sum() < missing - ROUNDING_ERROR) return false;
    for (const lease of this.#leases) {
      const used = Math.min(lease.amount, missing);
      lease.amount -= used;
      missing -= used;
      if (missing <= 0) break;
    }
    this.#own = Math.max(0, this.#own - missing);
    this.#removeExpired(now);
    return true;
  }

  /**
   * Returns the token of a call that ended without having run. Has no effect later than 0.4 of the
   * lease time after the call took it.
   */
  giveBack(now: number, takenAt: number): void {
    if (now - takenAt > this.leaseTime * RETURN_PART) return;
    this.#own = Math.max(this.#own, Math.min(this.#terms.depth, this.#own + 1));
  }

  /** Adds tokens that another daemon lent until `expiresAt`, by this daemon's clock. */
  borrow(amount: number, expiresAt: number): void {
    const at = this.#leases.findIndex((lease) => lease.expiresAt > expiresAt);
    this.#leases.splice(at < 0 ? this.#leases.length : at, 0, { amount, expiresAt });
  }

  /**
   * Removes up to `wanted` tokens for another daemon, and returns how many, in whole hundredths.
   * Keeps `reserve`, and lends nothing that was borrowed.
   */
  lend(now: number, wanted: number, reserve: number): number {
    const amount = Math.min(wanted, this.readLendable(now, reserve));
    const granted = Math.max(0, Math.floor(amount * STEPS + ROUNDING_ERROR)) / STEPS;
    this.#own -= granted;
    return granted;
  }

  /** Returns how many tokens could be lent now, in whole hundredths. */
  readLendable(now: number, reserve: number): number {
    const isStale = now - (this.#filledAt ?? now) > MAX_GAP_MS;
    const free = isStale ? 0 : Math.max(0, this.#own - reserve);
    return Math.floor(free * STEPS + ROUNDING_ERROR) / STEPS;
  }

  /** Returns the number of tokens, with those that were lent to this daemon. */
  readTokens(now: number): number {
    this.#removeExpired(now);
    return this.#sum();
  }

  #sum(): number {
    let sum = this.#own;
    for (const { amount } of this.#leases) sum += amount;
    return sum;
  }

  #removeExpired(now: number): void {
    if (this.#leases.length === 0) return;
    this.#leases = this.#leases.filter(
      ({ amount, expiresAt }) => expiresAt > now && amount > ROUNDING_ERROR,
    );
  }
}
