/** The targets in use, by service, kept in sync with the fleet view. */
import type { OpenSocket } from '../../kernel/index.js';
import type { AnswerGuard } from '../../overload/index.js';
import type { FleetView } from '../../view/index.js';
import type { LearnedState, LearnedServiceState } from '../learned-state.js';
import { AvailabilityCache } from './availability-cache.js';
import { GatewayTarget } from './target.js';
import type { TargetListener } from './target-listener.js';
import { TargetService, type TargetServiceOptions } from './target-service.js';

/** A daemon that received no call for this long is not serving. */
const SERVING_TIMEOUT_MS = 1000;

/** Options of the set of targets. */
export interface TargetSetOptions extends TargetServiceOptions {
  readonly listener: TargetListener;
  /** Opens connections to targets. */
  readonly openSocket: OpenSocket;
  readonly answerGuard?: AnswerGuard;
  /** Called when a target of the service answered or accepted a connection. */
  readonly onContact: (service: TargetService) => void;
  /** Whether this daemon reaches another target than the given one now. */
  readonly confirmReach: (refusing: GatewayTarget) => Promise<boolean>;
  /** Called when a target of the service accepted no connection. */
  readonly onConnectionFailed: (service: TargetService, target: GatewayTarget) => void;
}

/** All targets of a daemon, by service. */
export class TargetSet {
  readonly #services = new Map<string, TargetService>();

  readonly #targetsByHash = new Map<number, GatewayTarget>();

  #learnedState: LearnedState['services'] = new Map();

  /** Services none of whose targets is usable. */
  readonly #unavailableServices = new Set<TargetService>();

  /** Connections opened to targets since the start. */
  connectionsOpened = 0;

  readonly #availabilityCache: AvailabilityCache;

  constructor(private readonly options: TargetSetOptions) {
    this.#availabilityCache = new AvailabilityCache(options.clock);
  }

  /**
   * Returns a service, creating it on first use: targets may appear before or after the
   * configuration.
   */
  getService(name: string): TargetService {
    const existing = this.#services.get(name);
    if (existing !== undefined) return existing;
    const service = new TargetService(name, this.options);
    const state = this.#learnedState.get(name);
    if (state !== undefined) service.restoreLearnedState(state);
    this.#services.set(name, service);
    return service;
  }

  /** Applies the learned state of services that other daemons have stored. */
  restoreLearnedState(learnedState: LearnedState['services']): void {
    this.#learnedState = learnedState;
    for (const [name, service] of this.#services) {
      const state = learnedState.get(name);
      if (state !== undefined) service.restoreLearnedState(state);
    }
  }

  /** Returns what this daemon has learned about its services. */
  readLearnedState(): LearnedState['services'] {
    const learnedState = new Map<string, LearnedServiceState>();
    for (const [name, service] of this.#services) {
      const state = service.readLearnedState();
      if (state !== undefined) learnedState.set(name, state);
    }
    return learnedState;
  }

  /** Lists the services in use. */
  listServices(): readonly TargetService[] {
    return [...this.#services.values()];
  }

  /** Applies the targets and evacuations of the fleet view. */
  update(view: FleetView): void {
    const listed = new Map(
      view.listTargets().map((target) => [target.record.incarnation, target] as const),
    );
    for (const service of this.#services.values()) {
      for (const [incarnation, target] of service.targets) {
        const record = listed.get(incarnation)?.record;
        // A later start under the same name shares no state with this one, so it counts as another
        // target.
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
        // It was not probed while evacuated, and may have become cold.
        if (existing.isEvacuated && !isEvacuated) {
          existing.warmUp.suspectCold(
            this.options.clock.now() + this.#readColdStartDuration(service),
          );
        }
        existing.update(entry, isEvacuated);
        continue;
      }
      const { clock, listener, openSocket, answerGuard, confirmReach } = this.options;
      const { onContact, onConnectionFailed } = this.options;
      const onConnectionOpened = () => {
        this.connectionsOpened += 1;
        onContact(service);
      };
      const availability = this.#availabilityCache.find(entry.record);
      const target = new GatewayTarget(entry, clock, {
        ...{ slowdownModel, listener, availability, openSocket, answerGuard, onConnectionOpened },
        onConnectionFailed: (failed) => onConnectionFailed(service, failed),
        ...{ confirmReach, onContact: () => onContact(service) },
      });
      target.update(entry, isEvacuated);
      targets.set(incarnation, target);
      service.clearCandidatePool();
      this.#targetsByHash.set(target.hash, target);
    }
  }

  /** Without a limit for cold targets, none is assumed to be cold. */
  #readColdStartDuration({ name }: TargetService): number {
    const { rate, duration } = this.options.readColdStartLimits(name);
    return rate === Infinity ? 0 : duration;
  }

  /** Whether this daemon receives calls, even if only a few a second. */
  isServing(now: number): boolean {
    return this.listServices().some((service) => now - service.lastCallAt < SERVING_TIMEOUT_MS);
  }

  /** Finds a target by its hash in datagrams between daemons. */
  findByHash(hash: number): GatewayTarget | undefined {
    return this.#targetsByHash.get(hash);
  }

  /**
   * Closes expired idle connections, and reports ended back-offs, limits of full targets and services that lost or regained
   * their last usable target.
   */
  runPeriodicChecks(): void {
    for (const service of this.#services.values()) {
      for (const target of service.targets.values()) {
        target.connections.closeExpired();
        target.checkBackoffEnd();
        target.full.checkEnd();
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
