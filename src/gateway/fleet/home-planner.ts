/**
 * Measures the utilisation of this daemon and, while it is the first home, plans the number of
 * homes.
 */
import type { Clock, Log } from '../../kernel/index.js';
import { HomeScaler, type Roster } from '../../peering/index.js';
import { UtilisationMeter, createUtilisationReader } from './utilisation-meter.js';

/** Options of the planner. */
export interface HomePlannerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly roster: Roster;
  /** IP address of this daemon, and its capacity in cores. */
  readonly self: string;
  readonly capacity: number;
  /** Returns the smallest number of homes, from the settings. */
  readonly readMinHomes: () => number;
}

const PLAN_INTERVAL_MS = 500;

/** The planner of one daemon. */
export class HomePlanner {
  readonly #scaler = new HomeScaler();

  readonly #meter: UtilisationMeter;

  #utilisation = 0;

  constructor(private readonly options: HomePlannerOptions) {
    this.#meter = new UtilisationMeter(options.clock, createUtilisationReader());
  }

  /** Recent utilisation of this daemon, from 0 to 1. */
  get utilisation(): number {
    return this.#utilisation;
  }

  /** Measures and plans until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, roster, self } = this.options;
    while (!signal.aborted) {
      await clock.sleep(PLAN_INTERVAL_MS, signal);
      this.#utilisation = this.#meter.read();
      if (roster.listHomes()[0]?.ip === self) this.#planHomes();
    }
  }

  #planHomes(): void {
    const { clock, log, roster, readMinHomes, capacity } = this.options;
    const before = Math.max(roster.desiredHomes, roster.listHomes().length);
    const utilisations = [
      { utilisation: this.#utilisation, capacity },
      ...roster.listHomeUtilisations(),
    ];
    const input = { homes: before, minHomes: readMinHomes(), utilisations, now: clock.now() };
    const planned = Math.min(
      Math.max(before, roster.countHomeCandidates()),
      this.#scaler.plan(input),
    );
    if (planned === before) return;
    roster.setDesiredHomes(planned);
    const parts = utilisations.map((home) => home.utilisation.toFixed(2)).join(',');
    log.info('homes.planned', { before, after: roster.desiredHomes, busy: parts });
  }
}
