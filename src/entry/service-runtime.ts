/** One service as run by this entry: its pools, retry and hedge budgets, and counts. */
import type { Address, Clock, Random } from '../kernel/index.js';
import { RateMeter, ShareBudget, type Strategy } from '../balance/index.js';
import { MAIN_POOL, type Service } from '../config/index.js';
import type { Placement } from './placement.js';
import { PoolRuntime, type VmView } from './pool-runtime.js';

/** Numbers of calls by how they ended, since the start. */
export interface CallCounts {
  answered: number;
  notRun: number;
  unknown: number;
  cut: number;
  gone: number;
  relayed: number;
  policyFailures: number;
}

/** Configuration and dependencies of a {@link ServiceRuntime}. */
export interface ServiceRuntimeOptions {
  readonly service: Service;
  readonly placement: Placement;
  readonly strategy: Strategy;
  readonly clock: Clock;
  readonly random: Random;
  /** Called when a target is no longer listed. */
  readonly onTargetRemoved: (address: Address) => void;
  /** The same service under the previous configuration; its counts and targets are carried over. */
  readonly previous?: ServiceRuntime;
}

/** A service run by this entry. Its pools are created when this entry first needs them. */
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

  /** Returns the pools; empty until this entry first needs them. */
  listPools(): readonly PoolRuntime[] {
    return this.#pools === undefined ? [] : [...this.#pools.values()];
  }

  /** Applies a new VM list and placement. */
  update(view: VmView, placement: Placement, selfId: string): void {
    this.placement = placement;
    if (placement.isHome) this.#createPools();
    for (const runtime of this.listPools()) runtime.update(view, placement, selfId);
  }

  /** Finds a pool by name, else the main pool. Creates the pools if there are none yet. */
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
