/**
 * The load of the homes of services, as the entries report it to each other.
 *
 * Only a home that is above half of its capacity reports its load, so this usually costs nothing.
 * The number of homes rises at once and falls only after a minute. Entries may disagree on it for a
 * few seconds, which makes the balance worse but does not affect correctness.
 */
import { ENTRY_CALLS_PER_SECOND } from '../balance/index.js';
import type { LoadMessage } from '../peer/index.js';

const MAX_LOAD_AGE_MS = 10_000;
const SCALE_DOWN_DELAY_MS = 60_000;
const MAX_LOADS_PER_MESSAGE = 16;

/** Rate of a service, in calls per second, above which its home reports its load. */
export const MIN_ANNOUNCED_CALLS_PER_SECOND = ENTRY_CALLS_PER_SECOND / 2;

interface HomeLoad {
  readonly rate: number;
  readonly measuredAt: number;
}

interface HomeCount {
  readonly homes: number;
  /** When this many homes were last needed, on the kernel's clock. */
  readonly neededAt: number;
}

/** The loads that an entry knows, and the number of homes that follows from them. */
export class HomeLoadTable {
  readonly #loads = new Map<string, Map<string, HomeLoad>>();

  readonly #homeCounts = new Map<string, HomeCount>();

  /** Adds a load unless it has expired or a newer one of the same home is known. */
  add({ service, entry, rate, age }: LoadMessage, now: number): void {
    const homes = this.#loads.get(service) ?? new Map<string, HomeLoad>();
    const measuredAt = now - age;
    if (measuredAt <= (homes.get(entry)?.measuredAt ?? -Infinity) || age > MAX_LOAD_AGE_MS) return;
    this.#loads.set(service, homes.set(entry, { rate, measuredAt }));
  }

  /** Lists unexpired loads for a message, up to its maximum, and removes expired ones. */
  list(now: number): readonly LoadMessage[] {
    const loads: LoadMessage[] = [];
    for (const [service, homes] of this.#loads) {
      for (const [entry, { rate, measuredAt }] of homes) {
        if (now - measuredAt > MAX_LOAD_AGE_MS) homes.delete(entry);
        else if (loads.length < MAX_LOADS_PER_MESSAGE)
          loads.push({ service, entry, rate, age: now - measuredAt });
      }
      if (homes.size === 0) this.#loads.delete(service);
    }
    return loads;
  }

  /** Whether any service has more than one home, so that its placement must be computed again. */
  hasMultipleHomes(): boolean {
    return [...this.#homeCounts.values()].some(({ homes }) => homes > 1);
  }

  /** Returns how many homes a service needs for its reported load; 1 when none was reported. */
  countHomes(service: string, now: number): number {
    let rate = 0;
    for (const { rate: homeRate, measuredAt } of this.#loads.get(service)?.values() ?? []) {
      if (now - measuredAt <= MAX_LOAD_AGE_MS) rate += homeRate;
    }
    const needed = Math.max(1, Math.ceil(rate / ENTRY_CALLS_PER_SECOND));
    const previous = this.#homeCounts.get(service);
    if (
      previous !== undefined &&
      needed < previous.homes &&
      now - previous.neededAt < SCALE_DOWN_DELAY_MS
    )
      return previous.homes;
    this.#homeCounts.set(service, { homes: needed, neededAt: now });
    return needed;
  }
}
