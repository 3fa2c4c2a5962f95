/** The targets in use, by service, kept in step with the view. */
import type { Clock, Random } from '../kernel/index.js';
import {
  type Advice,
  DecayingMean,
  KneeEstimate,
  RateMeter,
  WindowBudget,
  choosePlace,
} from '../balance/index.js';
import type { FleetView } from '../view/index.js';
import { type PlaceWish, SlotQueue } from './slot-queue.js';
import { GatewayTarget } from './target.js';

/** What the set is made from. */
export interface TargetSetOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly domain: string;
  /** Daemons that share the targets. */
  readonly countHomes: () => number;
  /** Makes the budget for repeats of one service. */
  readonly createBudget: () => WindowBudget;
}

/** Mean slowdown of all targets follows the reports within some redraws. */
const USUAL_HALF_LIFE = 2000;

/** Calls of a service change little; this follows some hundreds of them. */
const TIME_HALF_LIFE = 3000;

/** A share of 0.25 to 0.35 of the targets works seven times as long, as the users measured. */
const FIRST_USUAL = 2.5;

/** A daemon to which no call has come for this long serves none. */
const SERVING_TIME = 1000;

/** One service as this daemon uses it. */
export class TargetService {
  readonly targets = new Map<string, GatewayTarget>();

  readonly rate: RateMeter;

  lastCallAt = -Infinity;

  readonly budget: WindowBudget;

  /** Calls that wait for a target. */
  readonly queue: SlotQueue;

  readonly knee = new KneeEstimate();

  readonly #usual = new DecayingMean(USUAL_HALF_LIFE);

  readonly #time = new DecayingMean(TIME_HALF_LIFE);

  constructor(
    readonly name: string,
    private readonly options: TargetSetOptions,
  ) {
    this.rate = new RateMeter(options.clock.now());
    this.budget = options.createBudget();
    this.queue = new SlotQueue(options.clock, (call, ahead) => this.choosePlace(call, ahead));
  }

  /** Counts a call that arrives. */
  noteCall(): void {
    this.lastCallAt = this.options.clock.now();
    this.rate.add(this.lastCallAt);
    this.budget.noteRequest();
  }

  /** The mean slowdown of the service's targets. */
  readUsual(): number {
    return this.#usual.read(FIRST_USUAL);
  }

  /** Learns from one report of a target's slowdown. */
  noteSlowdown(slowdown: number): void {
    this.#usual.add(slowdown, this.options.clock.now());
  }

  /** How long calls take at a usual, idle target, in milliseconds; `fallback` before the first one. */
  readTime(fallback: number): number {
    return this.#time.read(fallback);
  }

  /** Learns from one call how long calls take at a usual target. */
  noteTime(time: number): void {
    this.#time.add(time, this.options.clock.now());
  }

  /** Advises a call that has tried some targets already. @param ahead calls that go first */
  choosePlace({ tried, bodyBytes }: PlaceWish, ahead: number): Advice<GatewayTarget> {
    const { random, domain } = this.options;
    const usual = this.readUsual();
    const candidates: GatewayTarget[] = [];
    for (const target of this.targets.values()) {
      if (target.isUsable && !tried.has(target)) candidates.push(target);
    }
    const homes = this.options.countHomes();
    const terms = { usual, domain, homes, knee: this.knee };
    return choosePlace(candidates, (target) => target.view(terms), {
      ...{ ahead, sharers: homes, random, bodyBytes },
    });
  }
}

/** All targets of a daemon. */
export class TargetSet {
  readonly #services = new Map<string, TargetService>();

  readonly #byHash = new Map<number, GatewayTarget>();

  /** Connections opened to targets since the start. */
  opened = 0;

  constructor(private readonly options: TargetSetOptions) {}

  /** Finds a service, known or not: targets may appear before or after the configuration. */
  find(name: string): TargetService {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service = new TargetService(name, this.options);
    this.#services.set(name, service);
    return service;
  }

  /** The services in use. */
  list(): readonly TargetService[] {
    return [...this.#services.values()];
  }

  /** Takes the targets of the view. */
  update(view: FleetView): void {
    const listed = new Map(
      view.listTargets().map((target) => [target.record.incarnation, target] as const),
    );
    for (const service of this.#services.values()) {
      for (const [incarnation, target] of service.targets) {
        if (listed.get(incarnation)?.record.service === service.name) continue;
        service.targets.delete(incarnation);
        this.#byHash.delete(target.hash);
        target.connections.close();
      }
    }
    for (const [incarnation, entry] of listed) {
      const { targets } = this.find(entry.record.service);
      const known = targets.get(incarnation);
      if (known !== undefined) {
        known.update(entry);
        continue;
      }
      const onOpened = () => {
        this.opened += 1;
      };
      const target = new GatewayTarget(entry, this.options.clock, onOpened);
      targets.set(incarnation, target);
      this.#byHash.set(target.hash, target);
    }
  }

  /** Whether calls come to this daemon, be it a few a second. */
  isServing(now: number): boolean {
    return this.list().some((service) => now - service.lastCallAt < SERVING_TIME);
  }

  /** Finds a target by the number that stands for it between daemons. */
  findByHash(hash: number): GatewayTarget | undefined {
    return this.#byHash.get(hash);
  }

  /** Closes connections that have rested too long. */
  trim(): void {
    for (const { targets } of this.#services.values()) {
      for (const target of targets.values()) target.connections.trim();
    }
  }
}
