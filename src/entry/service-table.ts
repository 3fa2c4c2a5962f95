/** All services at work in this entry, rebuilt when the configuration, VMs or members change. */
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

/** What the table is made from. */
export interface ServiceTableOptions {
  readonly strategy: Strategy;
  readonly clock: Clock;
  readonly random: Random;
  /** Failure domain of this entry. */
  readonly domain: string;
  readonly selfId: () => string;
  readonly listCandidates: () => readonly Member[];
  readonly onTargetRemoved: (address: Address) => void;
  /** Homes that the measured load of a service needs. */
  readonly countNeededHomes: (service: string) => number;
}

/** A busy service; `rate` in calls a second. */
export interface BusyService {
  readonly service: string;
  readonly rate: number;
}

/** The services at work. */
export class ServiceTable {
  #configuration: Configuration = EMPTY_CONFIGURATION;

  #vms: readonly Vm[] = [];

  /** Addresses that were on the first list; a target that appears later is cold. */
  #initialAddresses: ReadonlySet<string> | undefined;

  #runtimes: ReadonlyMap<string, ServiceRuntime> = new Map();

  constructor(private readonly options: ServiceTableOptions) {}

  /** The services at work, in the order of the configuration. */
  list(): readonly ServiceRuntime[] {
    return [...this.#runtimes.values()];
  }

  /** Finds the service of a call. */
  find(host: string, path: string): ServiceRuntime | undefined {
    const service = findService(this.#configuration, host, path);
    return service === undefined ? undefined : this.#runtimes.get(service.name);
  }

  /** Finds a service by its name. */
  findByName(name: string): ServiceRuntime | undefined {
    return this.#runtimes.get(name);
  }

  /** Takes a new configuration; services whose text is unchanged go on as they are. */
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

  /** Takes a new list of VMs. */
  setVms(vms: readonly Vm[]): void {
    this.#vms = vms;
    this.#initialAddresses ??= new Set(vms.map(({ address }) => formatAddress(address)));
    this.refresh();
  }

  /** Places all services again, after the members changed. */
  refresh(): void {
    const view = this.readVmView();
    for (const runtime of this.#runtimes.values()) {
      runtime.update(view, this.#place(runtime.service), this.options.selfId());
    }
  }

  /** What pools need to know of the list of VMs. */
  readVmView(): VmView {
    const initialAddresses = this.#initialAddresses;
    return {
      vms: this.#vms,
      isNew: (name) => initialAddresses !== undefined && !initialAddresses.has(name),
    };
  }

  /** Measures the services that are at home here and busy enough to tell others; calls a second. */
  listBusy(now: number, minRate: number): readonly BusyService[] {
    const busy: BusyService[] = [];
    for (const { service, rate, placement } of this.#runtimes.values()) {
      const measured = rate.read(now);
      if (placement.isHome && measured > minRate)
        busy.push({ service: service.name, rate: measured });
    }
    return busy;
  }

  /** Takes another entry's notice that a target is leaving. */
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
