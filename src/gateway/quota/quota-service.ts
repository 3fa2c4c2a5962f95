/**
 * The quotas of organisations over the whole fleet, as one daemon applies them: it holds its part of
 * each quota as tokens and exchanges tokens with other homes. What the parts and loans add up to is
 * described in src/balance/quota-bucket.ts.
 */
import { computeQuotaLease } from '../../balance/index.js';
import type { Clock, Log, Random } from '../../kernel/index.js';
import type { QuotaMessages } from '../../peering/index.js';
import type { Organisation, RouteTable } from '../../routing/index.js';
import { QuotaAccount, type QuotaRefusal, type QuotaShare } from './quota-account.js';
import { QuotaExchange } from './quota-exchange.js';
import { QuotaRefusalLog } from './quota-refusal-log.js';
import {
  type Admission,
  type QuotaTicket,
  UNLIMITED_ADMISSION,
  UNLIMITED_TICKET,
} from './quota-ticket.js';

/** What the platform agreed on for all organisations. */
export interface QuotaBounds {
  /** The time over which requests are counted, in milliseconds. */
  readonly window: number;
  /** The fraction of the quota that may be exceeded in that time. */
  readonly overshoot: number;
  /** Requests that may come in that time besides. */
  readonly slack: number;
}

/** Options of the service. */
export interface QuotaServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly readShare: () => QuotaShare;
  readonly readBounds: () => QuotaBounds;
  readonly send: (ip: string, messages: QuotaMessages) => void;
}

/** What operators see of the quotas at one daemon. */
export interface QuotaStatus {
  /** The part of the fleet that this daemon holds. */
  readonly part: number;
  readonly accounts: readonly QuotaAccount[];
}

/** Interval at which tokens are requested in advance while calls come, in milliseconds. */
const TICK_INTERVAL_MS = 20;

/**
 * Interval at which all buckets are filled, in milliseconds. One that is not filled for 1.2 s is
 * emptied.
 */
const REFILL_INTERVAL_MS = 200;

/** Interval at which a daemon without organisations looks for some, in milliseconds. */
const IDLE_INTERVAL_MS = 1000;

/** The part of the fleet is computed from all pollers, so it is kept for this time in milliseconds. */
const SHARE_LIFETIME_MS = 20;

/** The quotas of one daemon. */
export class QuotaService {
  readonly #accounts = new Map<string, QuotaAccount>();

  readonly #byHash = new Map<number, QuotaAccount>();

  /** Accounts with recent calls. */
  readonly #active = new Set<QuotaAccount>();

  readonly #exchange: QuotaExchange;

  readonly #refusalLog: QuotaRefusalLog;

  #share: QuotaShare = { part: 0, peers: [] };

  #shareReadAt = -Infinity;

  #refilledAt = -Infinity;

  constructor(private readonly options: QuotaServiceOptions) {
    this.#exchange = new QuotaExchange({
      ...options,
      readLeaseTime: () => this.#readLeaseTime(),
    });
    this.#refusalLog = new QuotaRefusalLog(options, () => this.#readShare().part);
  }

  /** Takes a token for a call of an organisation; a promise while the call waits for one. */
  admit(organisation: Organisation): Admission | Promise<Admission> {
    const account = this.#findAccount(organisation);
    if (account === undefined) return UNLIMITED_ADMISSION;
    this.#active.add(account);
    return account.admit();
  }

  /** Creates the ticket of a call for which another daemon holds the token. */
  createCarriedTicket(organisation: Organisation): QuotaTicket {
    return this.#findAccount(organisation)?.createCarriedTicket() ?? UNLIMITED_TICKET;
  }

  /** Receives requests for tokens, and grants, from another daemon. */
  receive(from: string, { requests, grants }: QuotaMessages): void {
    if (this.#accounts.size === 0) return;
    for (const request of requests) {
      const { organisation, id } = request;
      const account = this.#byHash.get(organisation);
      this.#exchange.sendGrant(
        from,
        account?.lend(request) ?? { organisation, amount: 0, id, left: 0 },
      );
    }
    for (const grant of grants) {
      const loan = this.#exchange.acceptGrant(from, grant);
      if (loan !== undefined) {
        this.#byHash.get(grant.organisation)?.recordLoan(from, loan, grant.left);
      }
    }
  }

  /** Puts the organisations of a configuration into force: lower limits bind at once. */
  configure(table: Pick<RouteTable, 'organisations'>): void {
    const { organisations } = table;
    for (const [name, account] of this.#accounts) {
      const organisation = organisations?.findByName(name);
      if (organisation?.quota !== undefined) continue;
      account.close(organisation !== undefined);
      this.#accounts.delete(name);
      this.#byHash.delete(account.hash);
      this.#active.delete(account);
      this.#refusalLog.remove(account);
    }
    for (const organisation of organisations?.list() ?? []) {
      if (organisation.quota === undefined) continue;
      const account = this.#accounts.get(organisation.name);
      if (account === undefined) this.#openAccount(organisation);
      else account.setQuota(organisation.quota);
    }
  }

  /** Fills buckets and requests tokens in advance until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    signal.addEventListener('abort', () => this.#exchange.close(), { once: true });
    while (!signal.aborted) {
      await clock.sleep(this.#accounts.size === 0 ? IDLE_INTERVAL_MS : TICK_INTERVAL_MS, signal);
      if (this.#accounts.size > 0) this.#tick();
    }
  }

  /** Describes the quotas; the accounts are those of organisations with a limit. */
  describe(): QuotaStatus {
    const accounts = [...this.#accounts.values()];
    return { part: accounts.length === 0 ? 0 : this.#readShare().part, accounts };
  }

  #tick(): void {
    const now = this.options.clock.now();
    const sinceRefill = now - this.#refilledAt;
    if (sinceRefill >= REFILL_INTERVAL_MS) {
      this.#refilledAt = now;
      for (const account of this.#accounts.values()) {
        account.refill();
        account.measureUsage(sinceRefill);
      }
      this.#refusalLog.flush();
    }
    this.#exchange.removeExpired();
    for (const account of this.#active) {
      if (account.isActive) account.serveWaiting();
      else this.#active.delete(account);
    }
  }

  /** Finds the account of an organisation; undefined when it has no limit. */
  #findAccount(organisation: Organisation): QuotaAccount | undefined {
    if (organisation.quota === undefined) return undefined;
    // A call may have been matched to its organisation before a newer configuration came into force.
    return this.#accounts.get(organisation.name) ?? this.#openAccount(organisation);
  }

  #openAccount(organisation: Organisation): QuotaAccount | undefined {
    const { quota } = organisation;
    if (quota === undefined) return undefined;
    const { clock } = this.options;
    const account = new QuotaAccount(organisation, quota, {
      ...{ clock, leaseTime: this.#readLeaseTime(), readShare: () => this.#readShare() },
      readSlack: () => this.options.readBounds().slack,
      sendRequest: (peer, hash, wanted) => this.#exchange.sendRequest(peer, hash, wanted),
      onRefused: (refused: QuotaAccount, reason: QuotaRefusal, retryAfter: number) =>
        this.#refusalLog.record(refused, reason, retryAfter),
    });
    this.#accounts.set(account.name, account);
    this.#byHash.set(account.hash, account);
    return account;
  }

  #readLeaseTime(): number {
    const { window, overshoot } = this.options.readBounds();
    return computeQuotaLease(window, overshoot);
  }

  #readShare(): QuotaShare {
    const now = this.options.clock.now();
    if (now - this.#shareReadAt < SHARE_LIFETIME_MS) return this.#share;
    this.#shareReadAt = now;
    this.#share = this.options.readShare();
    return this.#share;
  }
}
