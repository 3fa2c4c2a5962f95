/** One pool of a service as run by this entry: keeps its targets in line with the VM list. */
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

/** Configuration and dependencies of a {@link PoolRuntime}. */
export interface PoolRuntimeOptions {
  readonly service: Service;
  readonly config: PoolConfig;
  readonly strategy: Strategy;
  readonly clock: Clock;
  readonly random: Random;
  /** Called when a target is no longer listed. */
  readonly onTargetRemoved: (address: Address) => void;
  /**
   * The same pool under the previous configuration. Its targets are kept unless the settings they
   * depend on changed.
   */
  readonly previous?: PoolRuntime;
}

/** The VM list, and which addresses appeared while this daemon was running. */
export interface VmView {
  readonly vms: readonly Vm[];
  readonly isNew: (address: string) => boolean;
}

interface ListedTarget {
  readonly address: Address;
  readonly domain: string;
  readonly leaving: boolean;
  /** Whether the target appeared while this daemon ran; configured targets count as warm. */
  readonly isNew: boolean;
}

/** Shares of a target's connections that stay unused besides one share for each home. */
const RESERVED_HOME_SHARES = 2;

/** A pool with its targets in use. */
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

  /** Applies a new VM list and placement, and chooses the targets that this entry uses. */
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

  /** Finds a target by its address, including listed ones that this entry does not use any more. */
  findTarget(name: string): Target | undefined {
    return this.#targets.get(name);
  }

  /** Returns how many connections this entry may open to one target with `homes` homes in all. */
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
