/**
 * The quota of one organisation at one daemon: its tokens, the calls that wait for one, and what is
 * counted of it.
 */
import { QuotaBucket, QuotaDemand, getPairHash } from '../../balance/index.js';
import type { Clock, Timer } from '../../kernel/index.js';
import type { TokenGrant, TokenRequest } from '../../peering/index.js';
import type { Organisation, Quota } from '../../routing/index.js';
import type { Loan } from './quota-exchange.js';
import {
  type Admission,
  LimitedTicket,
  type QuotaTicket,
  type TicketSource,
  UNLIMITED_ADMISSION,
} from './quota-ticket.js';

/** This daemon's part of the quotas, and the daemons that may lend it tokens. */
export interface QuotaShare {
  /** From 0 to 1. */
  readonly part: number;
  /** IP addresses of the other daemons that have a part. */
  readonly peers: readonly string[];
}

/** Dependencies of an account. */
export interface QuotaAccountOptions {
  readonly clock: Clock;
  /** How long tokens may be lent, in milliseconds. */
  readonly leaseTime: number;
  readonly readShare: () => QuotaShare;
  /** Requests over the quota that are allowed in its window, over all daemons. */
  readonly readSlack: () => number;
  readonly sendRequest: (peer: string, organisation: number, wanted: number) => void;
  /** Called when a call is refused. */
  readonly onRefused: (account: QuotaAccount, reason: QuotaRefusal, retryAfter: number) => void;
}

/**
 * Why a call is refused: the limit is known to be reached, or no token came within the longest
 * wait.
 */
export type QuotaRefusal = 'limit' | 'timeout';

/** The reasons, in the order in which they are shown. */
export const QUOTA_REFUSALS: readonly QuotaRefusal[] = ['limit', 'timeout'];

interface WaitingCall {
  readonly expiresAt: number;
  readonly resolve: (admission: Admission) => void;
}

/** Longest time for which a call waits for a token, in milliseconds. */
const MAX_WAIT_MS = 60;

/**
 * While calls wait, replies that do not come are noticed and tokens that have been filled are used
 * at this interval, in milliseconds.
 */
const WAIT_CHECK_INTERVAL_MS = 5;

/** Retry-After for a call whose organisation is removed meanwhile, in milliseconds. */
const REMOVED_RETRY_AFTER_MS = 100;

/**
 * After replies that did not cover the calls that wait, calls without a token are refused at once
 * and no tokens are requested for this time, in milliseconds.
 */
const LIMIT_REACHED_MS = 100;

/** Sums of tokens may fall short of a whole one by up to this. */
const ROUNDING_ERROR = 1e-6;

/** An account without calls for this long requests no tokens in advance, in milliseconds. */
const IDLE_TIME_MS = 1000;

/** The weight of the last interval in the rate of use. */
const USAGE_WEIGHT = 0.2;

/** The account of one organisation. */
export class QuotaAccount implements TicketSource {
  readonly name: string;

  /** Identifies the organisation between daemons. */
  readonly hash: number;

  /** Calls refused since the start, by reason. */
  readonly refused: Record<QuotaRefusal, number> = { limit: 0, timeout: 0 };

  /** Requests a second that were admitted recently, without those that did not run. */
  usage = 0;

  #quota: Quota;

  readonly #bucket: QuotaBucket;

  readonly #demand = new QuotaDemand();

  #waiting: WaitingCall[] = [];

  #waitTimer: Timer | undefined;

  #lastArrivalAt = -Infinity;

  /** Until when the limit is known to be reached, by replies that did not cover the demand. */
  #limitedUntil = -Infinity;

  /** Tokens taken and not returned since {@link measureUsage}. */
  #used = 0;

  constructor(
    organisation: Organisation,
    quota: Quota,
    private readonly options: QuotaAccountOptions,
  ) {
    this.name = organisation.name;
    this.hash = getPairHash('organisation', organisation.name);
    this.#quota = quota;
    this.#bucket = new QuotaBucket(options.leaseTime);
    this.refill();
  }

  /** The organisation's requests per second over all daemons. */
  get rate(): number {
    return this.#quota.rate;
  }

  /** Whether calls came recently, or wait. */
  get isActive(): boolean {
    return (
      this.#waiting.length > 0 || this.options.clock.now() - this.#lastArrivalAt < IDLE_TIME_MS
    );
  }

  /** Puts another quota into force, at once. */
  setQuota(quota: Quota): void {
    this.#quota = quota;
    this.refill();
  }

  /** Adds what this daemon's part of the quota has given since the last time. */
  refill(): void {
    const { clock, readShare, readSlack } = this.options;
    const { part } = readShare();
    const { rate, burst } = this.#quota;
    // Half of the slack lets a quota without burst bear the random variation of arrivals.
    const depth = part * (burst + readSlack() / 2);
    this.#bucket.refill(clock.now(), { rate: part * rate, depth });
  }

  /** Takes a token for a call; a promise while it waits for one. */
  admit(): Admission | Promise<Admission> {
    const now = this.options.clock.now();
    this.#lastArrivalAt = now;
    this.#demand.recordArrival(now);
    if (this.#waiting.length === 0) {
      const takenAt = this.take();
      if (takenAt !== undefined) return this.#createAdmitted(takenAt);
    }
    this.#requestTokens(now, 1);
    if (this.#isLimited(now)) return this.#refuse('limit');
    return new Promise((resolve) => {
      this.#waiting.push({ expiresAt: now + MAX_WAIT_MS, resolve });
      this.#scheduleWaitCheck();
    });
  }

  /** Creates the ticket of a call for which another daemon holds the token. */
  createCarriedTicket(): QuotaTicket {
    return new LimitedTicket(this, undefined);
  }

  take(): number | undefined {
    const now = this.options.clock.now();
    this.refill();
    if (!this.#bucket.take(now)) return undefined;
    this.#used += 1;
    return now;
  }

  giveBack(takenAt: number): void {
    this.refill();
    this.#bucket.giveBack(this.options.clock.now(), takenAt);
    this.#used -= 1;
    this.serveWaiting();
  }

  /** Lends another daemon what its request asks for, as far as own calls do not need it. */
  lend({ wanted, id }: TokenRequest): TokenGrant {
    const now = this.options.clock.now();
    this.refill();
    const reserve = this.#demand.readReserve(now) + this.#waiting.length;
    const amount = this.#bucket.lend(now, wanted, reserve);
    const left = this.#bucket.readLendable(now, reserve);
    return { organisation: this.hash, amount, id, left };
  }

  /** Adds what another daemon has lent. */
  recordLoan(peer: string, { amount, expiresAt }: Loan, left: number): void {
    if (amount > 0) this.#bucket.borrow(amount, expiresAt);
    this.#demand.recordReply(peer, amount, left, this.options.clock.now());
    this.serveWaiting(true);
  }

  /**
   * Gives tokens to calls that wait, requests more, and refuses calls that waited too long.
   *
   * @param isAfterReply whether another daemon has just replied, so that what is known of the others
   *   is recent
   */
  serveWaiting(isAfterReply = false): void {
    const now = this.options.clock.now();
    while (this.#waiting.length > 0) {
      const takenAt = this.take();
      if (takenAt === undefined) break;
      this.#waiting.shift()?.resolve(this.#createAdmitted(takenAt));
    }
    const requested = this.#requestTokens(now, 0);
    if (this.#demand.isExhausted(now)) this.#refuseWaiting(0, 'limit');
    else if (isAfterReply && requested > 0) this.#refuseUncovered(now, requested);
    const stillWaiting = this.#waiting.findIndex(({ expiresAt }) => expiresAt > now);
    const expired = stillWaiting < 0 ? this.#waiting.length : stillWaiting;
    for (const { resolve } of this.#waiting.splice(0, expired)) resolve(this.#refuse('timeout'));
  }

  /**
   * Refuses the calls that the requested tokens will not cover. Requests follow what the others
   * reported to have left, so smaller ones than needed mean that the limit is reached.
   */
  #refuseUncovered(now: number, requested: number): void {
    const covered = Math.floor(this.#bucket.readTokens(now) + requested + ROUNDING_ERROR);
    if (covered >= this.#waiting.length) return;
    this.#limitedUntil = now + LIMIT_REACHED_MS;
    this.#refuseWaiting(covered, 'limit');
  }

  /** Refuses the calls that wait, except the first ones. */
  #refuseWaiting(kept: number, reason: QuotaRefusal): void {
    for (const { resolve } of this.#waiting.splice(kept)) resolve(this.#refuse(reason));
  }

  #isLimited(now: number): boolean {
    return now < this.#limitedUntil || this.#demand.isExhausted(now);
  }

  /** Ends the account, because the organisation was removed or has no limit any more. */
  close(isUnlimited: boolean): void {
    this.#waitTimer?.cancel();
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const { resolve } of waiting) {
      resolve(
        isUnlimited ? UNLIMITED_ADMISSION : { kind: 'refused', retryAfter: REMOVED_RETRY_AFTER_MS },
      );
    }
  }

  /** Returns the tokens of this daemon now. */
  readTokens(): number {
    return this.#bucket.readTokens(this.options.clock.now());
  }

  /** Updates the rate of use. @param interval time since the last call, in milliseconds */
  measureUsage(interval: number): void {
    const rate = (Math.max(0, this.#used) * 1000) / interval;
    this.#used = 0;
    this.usage += (rate - this.usage) * USAGE_WEIGHT;
  }

  #createAdmitted(takenAt: number): Admission {
    return { kind: 'admitted', ticket: new LimitedTicket(this, takenAt) };
  }

  /**
   * Requests tokens of other daemons; returns how many in all.
   *
   * @param arriving calls about to wait
   */
  #requestTokens(now: number, arriving: number): number {
    if (now < this.#limitedUntil && this.#waiting.length === 0) return 0;
    const { readShare, sendRequest } = this.options;
    const { part, peers } = readShare();
    const requests = this.#demand.planRequests(now, {
      ...{ homes: peers, tokens: this.#bucket.readTokens(now) },
      ...{ rate: part * this.#quota.rate, waiting: this.#waiting.length + arriving },
    });
    for (const { peer, wanted } of requests) sendRequest(peer, this.hash, wanted);
    return requests.reduce((sum, { wanted }) => sum + wanted, 0);
  }

  #refuse(reason: QuotaRefusal): Admission {
    const now = this.options.clock.now();
    const ownRate = this.options.readShare().part * this.#quota.rate;
    const retryAfter = this.#demand.planRetry(now, ownRate + this.#demand.readLentRate(now));
    this.refused[reason] += 1;
    this.options.onRefused(this, reason, retryAfter);
    return { kind: 'refused', retryAfter };
  }

  #scheduleWaitCheck(): void {
    this.#waitTimer ??= this.options.clock.schedule(WAIT_CHECK_INTERVAL_MS, () => {
      this.#waitTimer = undefined;
      this.serveWaiting();
      if (this.#waiting.length > 0) this.#scheduleWaitCheck();
    });
  }
}
