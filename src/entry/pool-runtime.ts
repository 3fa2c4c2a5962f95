/** One pool of a service at work in this entry: its targets, kept in step with all witnesses. */
import {
  type Address,
  type Clock,
  type Random,
  assertInvariant,
  formatAddress,
  parseAddress,
} from '../kernel/index.js';
import {
  Pool,
  type Strategy,
  Target,
  assignTargets,
  createAdaptiveLimit,
  createFixedLimit,
} from '../balance/index.js';
import type { PoolConfig, Service } from '../config/index.js';
import type { Vm } from '../platform/index.js';
import { type Placement, listVmsInRole } from './placement.js';

/** What a pool at work is made from. */
export interface PoolRuntimeOptions {
  readonly service: Service;
  readonly config: PoolConfig;
  readonly strategy: Strategy;
  readonly clock: Clock;
  readonly random: Random;
  readonly onTargetRemoved: (address: Address) => void;
  /** The same pool under the configuration before, whose targets are kept when they still fit. */
  readonly previous?: PoolRuntime;
}

/** The VMs of the list and which of them appeared while this daemon was running. */
export interface VmView {
  readonly vms: readonly Vm[];
  readonly isNew: (address: string) => boolean;
}

interface ListedTarget {
  readonly address: Address;
  readonly domain: string;
  readonly leaving: boolean;
  /** Whether the target appeared while this daemon was running; the configured ones are taken as warm. */
  readonly isNew: boolean;
}

const RESERVED_HOME_SHARES = 2;

/** A pool at work. */
export class PoolRuntime {
  readonly pool: Pool;

  readonly #targets: Map<string, Target>;

  constructor(private readonly options: PoolRuntimeOptions) {
    const { service, strategy, clock, random, config, previous } = options;
    const canReuseTargets =
      previous !== undefined &&
      previous.config.slots === config.slots &&
      previous.config.cold_start === config.cold_start;
    this.#targets = new Map(canReuseTargets ? previous.#targets : []);
    this.pool = new Pool({ strategy, queueLimit: service.queue_limit, clock, random });
  }

  get config(): PoolConfig {
    return this.options.config;
  }

  /** Takes the list and the placement, and chooses the targets that this entry uses. */
  update({ vms, isNew }: VmView, placement: Placement, selfId: string): void {
    const listed = this.#listTargets({ vms, isNew });
    for (const [name, target] of this.#targets) {
      if (listed.has(name)) continue;
      target.updateListedState('gone');
      this.#targets.delete(name);
      this.options.onTargetRemoved(target.address);
    }
    const { homes } = placement.plan;
    const names = [...listed.keys()];
    const assigned = placement.sharesTargets ? assignTargets(names, homes, selfId) : new Set(names);
    const used: Target[] = [];
    for (const [name, listedTarget] of listed) {
      if (!assigned.has(name)) continue;
      const target = this.#targets.get(name) ?? this.#createTarget(name, listedTarget);
      target.updateListedState(listedTarget.leaving ? 'leaving' : 'live');
      used.push(target);
    }
    this.pool.setTargets(used);
  }

  /** Finds a target by its address, also one that this entry has used before. */
  findTarget(name: string): Target | undefined {
    return this.#targets.get(name);
  }

  /** Connections that this entry may open to one target. */
  countConnections(homes: number): number {
    const share = Math.floor(this.config.connections / (homes + RESERVED_HOME_SHARES));
    assertInvariant(share >= 0, 'a share of connections is never negative');
    return Math.max(1, share);
  }

  #listTargets({ vms, isNew }: VmView): ReadonlyMap<string, ListedTarget> {
    const listed = new Map<string, ListedTarget>();
    for (const address of this.config.targets) {
      listed.set(formatAddress(address), {
        ...{ address, domain: '', leaving: false, isNew: false },
      });
    }
    for (const { address, domain, state } of listVmsInRole(vms, this.config.role)) {
      const name = formatAddress(address);
      const leaving = state === 'leaving';
      listed.set(name, { address, domain, leaving, isNew: isNew(name) });
    }
    return listed;
  }

  #createTarget(name: string, listedTarget: ListedTarget): Target {
    const { config, clock, random } = this.options;
    const address = parseAddress(name) ?? listedTarget.address;
    const limit =
      config.slots > 0
        ? createFixedLimit(config.slots)
        : createAdaptiveLimit(this.countConnections(1));
    const target = new Target({
      ...{ address, domain: listedTarget.domain, limit, coldStart: config.cold_start },
      ...{ isNew: listedTarget.isNew, clock, random },
    });
    this.#targets.set(name, target);
    return target;
  }
}
