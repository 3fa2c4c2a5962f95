/** The services run by this entry, updated when the configuration, VM list or members change. */
import { type Address, type Clock, type Random, formatAddress } from '../kernel/index.js';
import { type Strategy, isBounded, parseRegion } from '../balance/index.js';
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type Service,
  findService,
} from '../config/index.js';
import type { Member } from '../peer/index.js';
import type { Vm } from '../platform/index.js';
import { type Placement, placeService } from './placement.js';
import type { VmView } from './pool-runtime.js';
import { ServiceRuntime } from './service-runtime.js';

/** Dependencies of a {@link ServiceTable}. */
export interface ServiceTableOptions {
  readonly strategy: Strategy;
  readonly clock: Clock;
  readonly random: Random;
  /** Failure domain of this entry. */
  readonly domain: string;
  /** Member id of this entry. */
  readonly selfId: () => string;
  /** Returns the entries that can be homes. */
  readonly listCandidates: () => readonly Member[];
  /** Called when a target is no longer listed. */
  readonly onTargetRemoved: (address: Address) => void;
  /** Returns how many homes the measured load of a service needs. */
  readonly countNeededHomes: (service: string) => number;
}

/** A service with its rate, in calls per second. */
export interface BusyService {
  readonly service: string;
  readonly rate: number;
}

/** The services of the current configuration, by name. */
export class ServiceTable {
  #configuration: Configuration = EMPTY_CONFIGURATION;

  #vms: readonly Vm[] = [];

  /** Addresses on the first VM list; a target that appears later counts as cold. */
  #initialAddresses: ReadonlySet<string> | undefined;

  #runtimes: ReadonlyMap<string, ServiceRuntime> = new Map();

  constructor(private readonly options: ServiceTableOptions) {}

  /** Returns the services in the order of the configuration. */
  list(): readonly ServiceRuntime[] {
    return [...this.#runtimes.values()];
  }

  /** Finds the service that a call with this host and path is for. */
  find(host: string, path: string): ServiceRuntime | undefined {
    const service = findService(this.#configuration, host, path);
    return service === undefined ? undefined : this.#runtimes.get(service.name);
  }

  /** Finds a service by name. */
  findByName(name: string): ServiceRuntime | undefined {
    return this.#runtimes.get(name);
  }

  /** Applies a new configuration; remaining services keep their counts and suitable targets. */
  setConfiguration(configuration: Configuration): void {
    this.#configuration = configuration;
    const runtimes = new Map<string, ServiceRuntime>();
    for (const service of configuration.services) {
      const previous = this.#runtimes.get(service.name);
      runtimes.set(service.name, this.#createRuntime(service, previous));
    }
    this.#runtimes = runtimes;
    this.refresh();
  }

  /** Applies a new VM list. */
  setVms(vms: readonly Vm[]): void {
    this.#vms = vms;
    this.#initialAddresses ??= new Set(vms.map(({ address }) => formatAddress(address)));
    this.refresh();
  }

  /** Recomputes the placement of all services, for example after the members changed. */
  refresh(): void {
    const view = this.readVmView();
    for (const runtime of this.#runtimes.values()) {
      runtime.update(view, this.#place(runtime.service), this.options.selfId());
    }
  }

  /** Returns the VM list as pools use it. */
  readVmView(): VmView {
    const initialAddresses = this.#initialAddresses;
    return {
      vms: this.#vms,
      isNew: (name) => initialAddresses !== undefined && !initialAddresses.has(name),
    };
  }

  /** Lists the services with their home here and a rate above `minRate` calls per second. */
  listBusy(now: number, minRate: number): readonly BusyService[] {
    const busy: BusyService[] = [];
    for (const { service, rate, placement } of this.#runtimes.values()) {
      const measured = rate.read(now);
      if (placement.isHome && measured > minRate)
        busy.push({ service: service.name, rate: measured });
    }
    return busy;
  }

  /** Records another entry's notice that a target is leaving. */
  recordLeavingTarget(name: string): void {
    for (const runtime of this.#runtimes.values()) {
      for (const pool of runtime.listPools()) pool.findTarget(name)?.recordLeavingNotice();
    }
  }

  #place(service: Service): Placement {
    return placeService(service, {
      ownRegion: parseRegion(this.options.domain),
      selfId: this.options.selfId(),
      vms: this.#vms,
      candidates: this.options.listCandidates(),
      countNeededHomes: this.options.countNeededHomes,
      makesAllHomes: !isBounded(this.options.strategy),
    });
  }

  #createRuntime(service: Service, previous: ServiceRuntime | undefined): ServiceRuntime {
    const { strategy, clock, random, onTargetRemoved } = this.options;
    const placement = this.#place(service);
    const shared = { strategy, clock, random, onTargetRemoved };
    return new ServiceRuntime({ ...shared, service, placement, previous });
  }
}
