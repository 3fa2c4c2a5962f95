/** The targets in use, by service, kept in step with the view. */
import type { FleetView } from '../../view/index.js';
import type { LearnedState, LearnedServiceState } from '../learned-state.js';
import { AvailabilityCache } from './availability-cache.js';
import { GatewayTarget } from './target.js';
import type { TargetListener } from './target-events.js';
import { TargetService, type TargetServiceOptions } from './target-service.js';

/** A daemon to which no call has come for this long serves none. */
const SERVING_TIMEOUT_MS = 1000;

/** What the set is made from. */
export interface TargetSetOptions extends TargetServiceOptions {
  readonly listener: TargetListener;
}

/** All targets of a daemon. */
export class TargetSet {
  readonly #services = new Map<string, TargetService>();

  readonly #targetsByHash = new Map<number, GatewayTarget>();

  #learnedState: LearnedState['services'] = {};

  /** Services without a target that takes calls. */
  readonly #unavailableServices = new Set<TargetService>();

  /** Connections opened to targets since the start. */
  connectionsOpened = 0;

  readonly #availabilityCache: AvailabilityCache;

  constructor(private readonly options: TargetSetOptions) {
    this.#availabilityCache = new AvailabilityCache(options.clock);
  }

  /** Finds a service, known or not: targets may appear before or after the configuration. */
  getService(name: string): TargetService {
    const existing = this.#services.get(name);
    if (existing !== undefined) return existing;
    const service = new TargetService(name, this.options);
    const state = this.#learnedState[name];
    if (state !== undefined) service.restoreLearnedState(state);
    this.#services.set(name, service);
    return service;
  }

  /** Takes what others have learnt of services. */
  restoreLearnedState(learnedState: LearnedState['services']): void {
    this.#learnedState = learnedState;
    for (const [name, service] of this.#services) {
      const state = learnedState[name];
      if (state !== undefined) service.restoreLearnedState(state);
    }
  }

  /** What has been learnt here of services. */
  readLearnedState(): LearnedState['services'] {
    const learnedState: Record<string, LearnedServiceState> = {};
    for (const [name, service] of this.#services) {
      const state = service.readLearnedState();
      if (state !== undefined) learnedState[name] = state;
    }
    return learnedState;
  }

  /** The services in use. */
  listServices(): readonly TargetService[] {
    return [...this.#services.values()];
  }

  /** Takes the targets of the view. */
  update(view: FleetView): void {
    const listed = new Map(
      view.listTargets().map((target) => [target.record.incarnation, target] as const),
    );
    for (const service of this.#services.values()) {
      for (const [incarnation, target] of service.targets) {
        const record = listed.get(incarnation)?.record;
        // A later start under the same name knows nothing of this one: it is another target.
        if (record?.service === service.name && record.born === target.record.born) continue;
        service.targets.delete(incarnation);
        service.clearCandidatePool();
        this.#targetsByHash.delete(target.hash);
        this.#availabilityCache.keep(target.record, target.availability);
        target.close(record !== undefined && record.born > target.record.born);
      }
    }
    const evacuated = new Set(view.evacuations.domains);
    for (const [incarnation, entry] of listed) {
      const isEvacuated = evacuated.has(entry.record.domain);
      const service = this.getService(entry.record.service);
      const { targets, slowdownModel } = service;
      const existing = targets.get(incarnation);
      if (existing !== undefined) {
        if (existing.record.domain !== entry.record.domain) service.clearCandidatePool();
        // Nobody asked it meanwhile, and it may have turned cold.
        if (existing.isEvacuated && !isEvacuated) {
          existing.warmUp.suspectCold(
            this.options.clock.now() + this.#readColdStartDuration(service),
          );
        }
        existing.update(entry, isEvacuated);
        continue;
      }
      const onConnectionOpened = () => {
        this.connectionsOpened += 1;
      };
      const { clock, listener } = this.options;
      const availability = this.#availabilityCache.find(entry.record);
      const target = new GatewayTarget(entry, clock, {
        slowdownModel,
        onConnectionOpened,
        listener,
        availability,
      });
      target.update(entry, isEvacuated);
      targets.set(incarnation, target);
      service.clearCandidatePool();
      this.#targetsByHash.set(target.hash, target);
    }
  }

  /** Where nothing limits what cold targets get, none is taken for cold on suspicion. */
  #readColdStartDuration({ name }: TargetService): number {
    const { rate, duration } = this.options.readColdStartLimits(name);
    return rate === Infinity ? 0 : duration;
  }

  /** Whether calls come to this daemon, be it a few a second. */
  isServing(now: number): boolean {
    return this.listServices().some((service) => now - service.lastCallAt < SERVING_TIMEOUT_MS);
  }

  /** Finds a target by the number that stands for it between daemons. */
  findByHash(hash: number): GatewayTarget | undefined {
    return this.#targetsByHash.get(hash);
  }

  /** Closes connections that have rested too long, and tells of services that no target takes calls of. */
  runPeriodicChecks(): void {
    for (const service of this.#services.values()) {
      for (const target of service.targets.values()) {
        target.connections.closeExpired();
        target.checkBackoffEnd();
      }
      this.#checkAvailability(service);
    }
  }

  #checkAvailability(service: TargetService): void {
    const usableTargets = service.countUsable();
    const isUnavailable = usableTargets === 0;
    if (isUnavailable === this.#unavailableServices.has(service)) return;
    if (isUnavailable) this.#unavailableServices.add(service);
    else this.#unavailableServices.delete(service);
    const { listener } = this.options;
    if (isUnavailable) listener.onServiceUnavailable(service);
    else listener.onServiceAvailable(service, usableTargets);
  }
}
