/** Logs calls that are refused because of a quota: one line a second and organisation at most. */
import type { Clock, Log } from '../../kernel/index.js';
import type { QuotaAccount, QuotaRefusal } from './quota-account.js';

/** Least time between two lines of one organisation, in milliseconds. */
const LINE_INTERVAL_MS = 1000;

interface RefusalCount {
  loggedAt: number;
  count: number;
  reason: QuotaRefusal;
  retryAfter: number;
}

/** The log of one daemon. */
export class QuotaRefusalLog {
  readonly #counts = new Map<QuotaAccount, RefusalCount>();

  /** @param readPart returns the part of the fleet that this daemon holds */
  constructor(
    private readonly options: { readonly clock: Clock; readonly log: Log },
    private readonly readPart: () => number,
  ) {}

  /** Records a refused call. @param retryAfter what its caller was told, in milliseconds */
  record(account: QuotaAccount, reason: QuotaRefusal, retryAfter: number): void {
    const existing = this.#counts.get(account);
    const entry = existing ?? { loggedAt: -Infinity, count: 0, reason, retryAfter };
    if (existing === undefined) this.#counts.set(account, entry);
    entry.count += 1;
    entry.reason = reason;
    entry.retryAfter = retryAfter;
    this.#writeDue(account, entry);
  }

  /** Writes the lines that are due for calls refused since the last ones. */
  flush(): void {
    for (const [account, entry] of this.#counts) {
      if (entry.count > 0) this.#writeDue(account, entry);
      else if (this.#isDue(entry)) this.#counts.delete(account);
    }
  }

  /** Forgets an organisation that was removed. */
  remove(account: QuotaAccount): void {
    this.#counts.delete(account);
  }

  #isDue({ loggedAt }: RefusalCount): boolean {
    return this.options.clock.now() - loggedAt >= LINE_INTERVAL_MS;
  }

  #writeDue(account: QuotaAccount, entry: RefusalCount): void {
    if (!this.#isDue(entry)) return;
    this.options.log.info('quota.refused', {
      ...{ organisation: account.name, count: entry.count, reason: entry.reason },
      ...{ rate: account.rate, part: this.readPart().toFixed(4) },
      ...{ tokens: account.readTokens().toFixed(2), usage: account.usage.toFixed(1) },
      retry_after: Math.round(entry.retryAfter),
    });
    entry.loggedAt = this.options.clock.now();
    entry.count = 0;
  }
}
