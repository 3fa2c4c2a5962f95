/** The targets in use, by service, kept in step with the view. */
import type { FleetView } from '../../view/index.js';
import type { LearnedState, LearnedServiceState } from '../learned-state.js';
import { AvailabilityCache } from './availability-cache.js';
import { GatewayTarget } from './target.js';
import type { TargetListener } from './target-events.js';
import { TargetService, type TargetServiceOptions } from './target-service.js';

/** A daemon to which no call has come for this long serves none. */
const SERVING_TIME = 1000;

/** What the set is made from. */
export interface TargetSetOptions extends TargetServiceOptions {
  readonly listener: TargetListener;
}

/** All targets of a daemon. */
export class TargetSet {
  readonly #services = new Map<string, TargetService>();

  readonly #byHash = new Map<number, GatewayTarget>();

  #lessons: LearnedState['services'] = {};

  /** Services without a target that takes calls. */
  readonly #deserted = new Set<TargetService>();

  /** Connections opened to targets since the start. */
  connectionsOpened = 0;

  readonly #standings: AvailabilityCache;

  constructor(private readonly options: TargetSetOptions) {
    this.#standings = new AvailabilityCache(options.clock);
  }

  /** Finds a service, known or not: targets may appear before or after the configuration. */
  getService(name: string): TargetService {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service = new TargetService(name, this.options);
    const lesson = this.#lessons[name];
    if (lesson !== undefined) service.restoreLearnedState(lesson);
    this.#services.set(name, service);
    return service;
  }

  /** Takes what others have learnt of services. */
  restoreLearnedState(lessons: LearnedState['services']): void {
    this.#lessons = lessons;
    for (const [name, service] of this.#services) {
      const lesson = lessons[name];
      if (lesson !== undefined) service.restoreLearnedState(lesson);
    }
  }

  /** What has been learnt here of services. */
  readLearnedState(): LearnedState['services'] {
    const lessons: Record<string, LearnedServiceState> = {};
    for (const [name, service] of this.#services) {
      const lesson = service.readLearnedState();
      if (lesson !== undefined) lessons[name] = lesson;
    }
    return lessons;
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
        service.noteChange();
        this.#byHash.delete(target.hash);
        this.#standings.keep(target.record, target.availability);
        target.close(record !== undefined && record.born > target.record.born);
      }
    }
    const evacuated = new Set(view.evacuations.domains);
    for (const [incarnation, entry] of listed) {
      const isEvacuated = evacuated.has(entry.record.domain);
      const service = this.getService(entry.record.service);
      const { targets, slowdownModel: memory } = service;
      const known = targets.get(incarnation);
      if (known !== undefined) {
        if (known.record.domain !== entry.record.domain) service.noteChange();
        // Nobody asked it meanwhile, and it may have turned cold.
        if (known.isEvacuated && !isEvacuated) {
          known.warmUp.suspectCold(this.options.clock.now() + this.#readColdTime(service));
        }
        known.update(entry, isEvacuated);
        continue;
      }
      const onOpened = () => {
        this.connectionsOpened += 1;
      };
      const { clock, listener } = this.options;
      const standing = this.#standings.find(entry.record);
      const target = new GatewayTarget(entry, clock, {
        slowdownModel: memory,
        onConnectionOpened: onOpened,
        listener,
        availability: standing,
      });
      target.update(entry, isEvacuated);
      targets.set(incarnation, target);
      service.noteChange();
      this.#byHash.set(target.hash, target);
    }
  }

  /** Where nothing limits what cold targets get, none is taken for cold on suspicion. */
  #readColdTime({ name }: TargetService): number {
    const { rate, duration: time } = this.options.readColdStartLimits(name);
    return rate === Infinity ? 0 : time;
  }

  /** Whether calls come to this daemon, be it a few a second. */
  isServing(now: number): boolean {
    return this.listServices().some((service) => now - service.lastCallAt < SERVING_TIME);
  }

  /** Finds a target by the number that stands for it between daemons. */
  findByHash(hash: number): GatewayTarget | undefined {
    return this.#byHash.get(hash);
  }

  /** Closes connections that have rested too long, and tells of services that no target takes calls of. */
  runPeriodicChecks(): void {
    for (const service of this.#services.values()) {
      for (const target of service.targets.values()) {
        target.connections.closeExpired();
        target.checkBackoffEnd();
      }
      this.#reviewService(service);
    }
  }

  #reviewService(service: TargetService): void {
    const usable = service.countUsable();
    const isDeserted = usable === 0;
    if (isDeserted === this.#deserted.has(service)) return;
    if (isDeserted) this.#deserted.add(service);
    else this.#deserted.delete(service);
    const { listener } = this.options;
    if (isDeserted) listener.onServiceUnavailable(service);
    else listener.onServiceAvailable(service, usable);
  }
}
