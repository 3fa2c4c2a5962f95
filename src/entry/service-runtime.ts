/** One service at work in this entry: its pools, budgets and counts. */
import type { Address, Clock, Random } from '../kernel/index.js';
import { RateMeter, ShareBudget, type Strategy } from '../balance/index.js';
import { MAIN_POOL, type Service } from '../config/index.js';
import type { Placement } from './placement.js';
import { PoolRuntime, type VmView } from './pool-runtime.js';

/** Calls by how they ended, since the start. */
export interface CallCounts {
  answered: number;
  notRun: number;
  unknown: number;
  cut: number;
  gone: number;
  relayed: number;
  policyFailures: number;
}

/** What a service at work is made from. */
export interface ServiceRuntimeOptions {
  readonly service: Service;
  readonly placement: Placement;
  readonly strategy: Strategy;
  readonly clock: Clock;
  readonly random: Random;
  readonly onTargetRemoved: (address: Address) => void;
  /** The same service under the configuration before. */
  readonly previous?: ServiceRuntime;
}

/** A service at work. Its pools are built when this entry first has to use them. */
export class ServiceRuntime {
  readonly counts: CallCounts;

  readonly retryBudget: ShareBudget;

  readonly hedgeBudget: ShareBudget;

  readonly rate: RateMeter;

  placement: Placement;

  #pools: ReadonlyMap<string, PoolRuntime> | undefined;

  constructor(private readonly options: ServiceRuntimeOptions) {
    const { service, clock, placement, previous } = options;
    this.counts = previous?.counts ?? {
      ...{ answered: 0, notRun: 0, unknown: 0, cut: 0, gone: 0, relayed: 0, policyFailures: 0 },
    };
    this.retryBudget = new ShareBudget(service.retry_percent);
    this.hedgeBudget = new ShareBudget(service.hedge_percent);
    this.rate = new RateMeter(clock.now());
    this.placement = placement;
  }

  get service(): Service {
    return this.options.service;
  }

  /** The pools in use; empty while this entry has had no reason to use any. */
  listPools(): readonly PoolRuntime[] {
    return this.#pools === undefined ? [] : [...this.#pools.values()];
  }

  /** Takes a new list of VMs or a new placement. */
  update(view: VmView, placement: Placement, selfId: string): void {
    this.placement = placement;
    if (placement.isHome) this.#createPools();
    for (const runtime of this.listPools()) runtime.update(view, placement, selfId);
  }

  /** Finds a pool by name, or the main one, building the pools if need be. */
  findPool(name: string | undefined, view: VmView, selfId: string): PoolRuntime {
    if (this.#pools === undefined) {
      this.#createPools();
      this.update(view, this.placement, selfId);
    }
    const pools = this.#pools as ReadonlyMap<string, PoolRuntime>;
    return pools.get(name ?? MAIN_POOL) ?? (pools.get(MAIN_POOL) as PoolRuntime);
  }

  #createPools(): void {
    if (this.#pools !== undefined) return;
    const { service, strategy, clock, random, onTargetRemoved } = this.options;
    const previousPools = this.options.previous?.listPools() ?? [];
    this.#pools = new Map(
      service.pools.map((config) => {
        const previous = previousPools.find((pool) => pool.config.name === config.name);
        const shared = { service, strategy, clock, random, onTargetRemoved };
        return [config.name, new PoolRuntime({ ...shared, config, previous })];
      }),
    );
  }
}
