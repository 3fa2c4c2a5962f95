/** The targets in use, by service, kept in step with the view. */
import type { Clock, Random } from '../kernel/index.js';
import { DecayingMean, RateMeter, WindowBudget, pickTarget } from '../balance/index.js';
import type { FleetView } from '../view/index.js';
import { GatewayTarget } from './target.js';

/** What the set is made from. */
export interface TargetSetOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly domain: string;
  /** Makes the budget for repeats of one service. */
  readonly createBudget: () => WindowBudget;
}

/** Mean slowdown of all targets follows the reports within some redraws. */
const USUAL_HALF_LIFE = 2000;

/** A share of 0.25 to 0.35 of the targets works seven times as long, as the users measured. */
const FIRST_USUAL = 2.5;

/** One service as this daemon uses it. */
export class TargetService {
  readonly targets = new Map<string, GatewayTarget>();

  readonly rate: RateMeter;

  readonly budget: WindowBudget;

  readonly #usual = new DecayingMean(USUAL_HALF_LIFE);

  constructor(
    readonly name: string,
    private readonly options: TargetSetOptions,
  ) {
    this.rate = new RateMeter(options.clock.now());
    this.budget = options.createBudget();
  }

  /** The mean slowdown of the service's targets. */
  readUsual(): number {
    return this.#usual.read(FIRST_USUAL);
  }

  /** Learns from one report of a target's slowdown. */
  noteSlowdown(slowdown: number): void {
    this.#usual.add(slowdown, this.options.clock.now());
  }

  /** Picks a target for one more call; those tried before only if no other is left. */
  pick(tried: ReadonlySet<GatewayTarget>): GatewayTarget | undefined {
    const usable = [...this.targets.values()].filter((target) => target.isUsable);
    const fresh = usable.filter((target) => !tried.has(target));
    const usual = this.readUsual();
    const { random, domain } = this.options;
    return pickTarget(fresh, (target) => target.view(usual, domain), random);
  }
}

/** All targets of a daemon. */
export class TargetSet {
  readonly #services = new Map<string, TargetService>();

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
      targets.set(incarnation, new GatewayTarget(entry, this.options.clock, onOpened));
    }
  }

  /** Closes connections that have rested too long. */
  trim(): void {
    for (const { targets } of this.#services.values()) {
      for (const target of targets.values()) target.connections.trim();
    }
  }
}
