/**
 * The measuring budget: one limit for each pool, for the whole system.
 *
 * The right to spend a pool's budget for the next ten seconds is one item in the platform's
 * service. It is created only if absent and attached to a lease that is never renewed, so it
 * expires by the platform's clock. To keep the total of all daemons within the budget, neither
 * synchronised clocks nor the membership nor a working network are needed. Without the platform
 * nothing is spent.
 */
import { type Clock, assertInvariant } from '../kernel/index.js';
import type { Platform } from '../platform/index.js';

/** Duration of a grant, in milliseconds. */
export const GRANT_DURATION_MS = 10_000;

/** A grant is not used in its last part, so that even a slow probe ends before the grant does. */
const GRANT_MARGIN_MS = 1500;

interface Grant {
  readonly usableUntil: number;
  readonly amount: number;
  readonly spent: number;
}

/** Returns the store key of a pool's grant. */
export function buildGrantKey(service: string, pool: string): string {
  return `measure/${service}/${pool}`;
}

/** This daemon's access to the measuring budget of one pool. */
export class MeasuringGrant {
  #grant: Grant | undefined;

  #isRequesting = false;

  /** Time of targets spent since the start, in milliseconds. */
  spent = 0;

  /** Time of targets granted since the start, in milliseconds. */
  granted = 0;

  /**
   * @param key store key of the grant, from {@link buildGrantKey}
   * @param budget time of targets for the whole system, in milliseconds per second
   */
  constructor(
    private readonly key: string,
    private readonly budget: number,
    private readonly platform: Platform,
    private readonly clock: Clock,
  ) {}

  /**
   * Spends `cost` milliseconds of target time if the grant covers them; requests a new grant when
   * there is no current one. False when nothing was spent.
   */
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
    assertInvariant(this.spent <= this.granted, 'measuring must not spend more than was granted');
    return true;
  }

  async #requestGrant(): Promise<Grant | undefined> {
    // The time is taken before the request, so that the grant ends no later than its lease.
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
