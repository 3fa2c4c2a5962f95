/**
 * The measuring budget: one number for each pool, for the whole system.
 *
 * The right to spend a pool's budget for the next ten seconds is one item in the platform's service,
 * created only where there is none and attached to a lease that is never renewed. The platform's own
 * clock frees it, so no clock of ours, no membership and no healthy network is needed for the sum
 * over all daemons to stay within the budget; without the platform nothing is spent at all.
 */
import { type Clock, assertInvariant } from '../kernel/index.js';
import type { Platform } from '../platform/index.js';

/** Length of a grant, in milliseconds. */
export const GRANT_DURATION_MS = 10_000;

/** A grant is not used in its last part, so that a slow probe still falls within it. */
const GRANT_MARGIN_MS = 1500;

interface Grant {
  readonly usableUntil: number;
  readonly amount: number;
  readonly spent: number;
}

/** Key of a pool's grant. */
export function buildGrantKey(service: string, pool: string): string {
  return `measure/${service}/${pool}`;
}

/** The right of this daemon to spend the budget of one pool. */
export class MeasuringGrant {
  #grant: Grant | undefined;

  #isRequesting = false;

  /** Target milliseconds spent since the start. */
  spent = 0;

  /** Target milliseconds granted since the start. */
  granted = 0;

  /**
   * @param key item that stands for the right, from {@link buildGrantKey}
   * @param budget target milliseconds a second, for the whole system
   */
  constructor(
    private readonly key: string,
    private readonly budget: number,
    private readonly platform: Platform,
    private readonly clock: Clock,
  ) {}

  /** Spends `cost` target milliseconds if the grant covers them; asks for a grant when it has none. */
  async spend(cost: number): Promise<boolean> {
    if (this.#spendFromGrant(cost)) return true;
    const { clock } = this;
    const expired = this.#grant === undefined || clock.now() >= this.#grant.usableUntil;
    if (!expired || this.#isRequesting || this.budget * (GRANT_DURATION_MS / 1000) < cost)
      return false;
    this.#isRequesting = true;
    this.#grant = await this.#requestGrant();
    this.#isRequesting = false;
    return this.#spendFromGrant(cost);
  }

  #spendFromGrant(cost: number): boolean {
    const grant = this.#grant;
    if (grant === undefined || this.clock.now() >= grant.usableUntil) return false;
    if (grant.spent + cost > grant.amount) return false;
    this.#grant = { ...grant, spent: grant.spent + cost };
    this.spent += cost;
    assertInvariant(this.spent <= this.granted, 'no more is spent on measuring than was granted');
    return true;
  }

  async #requestGrant(): Promise<Grant | undefined> {
    // The grant ends no later than its lease: time is counted from before the lease was asked for.
    const requestedAt = this.clock.now();
    const lease = await this.platform.grantLease(GRANT_DURATION_MS);
    if (lease.kind !== 'held') return undefined;
    const result = await this.platform.swap({
      ...{ key: this.key, value: String(this.budget), expect: 0, lease: lease.lease },
    });
    if (result.kind !== 'written') return undefined;
    const amount = (this.budget * GRANT_DURATION_MS) / 1000;
    this.granted += amount;
    return { usableUntil: requestedAt + GRANT_DURATION_MS - GRANT_MARGIN_MS, amount, spent: 0 };
  }
}
