/**
 * How busy the homes of services are, as far as the entries have told each other.
 *
 * Only a home that is more than half full speaks up, so in ordinary times this costs nothing. The
 * number of homes rises at once and falls only after a minute, and entries may disagree for a few
 * seconds, which costs some balance and no correctness.
 */
import { ENTRY_CALLS_PER_SECOND } from '../balance/index.js';
import type { LoadMessage } from '../peer/index.js';

const LIFE = 10_000;
const FALL_DELAY = 60_000;
const MAX_LISTED = 16;

/** Calls a second at which a home tells the others. */
export const MIN_ANNOUNCED_CALLS_PER_SECOND = ENTRY_CALLS_PER_SECOND / 2;

interface Heard {
  readonly rate: number;
  readonly at: number;
}

interface Held {
  readonly homes: number;
  /** When as many homes were last needed. */
  readonly at: number;
}

/** The loads that an entry knows. */
export class HomeLoadTable {
  readonly #heard = new Map<string, Map<string, Heard>>();

  readonly #held = new Map<string, Held>();

  /** Takes a load of some age; a fresher one of the same home replaces it. */
  add({ service, entry, rate, age }: LoadMessage, now: number): void {
    const homes = this.#heard.get(service) ?? new Map<string, Heard>();
    const at = now - age;
    if (at <= (homes.get(entry)?.at ?? -Infinity) || age > LIFE) return;
    this.#heard.set(service, homes.set(entry, { rate, at }));
  }

  /** Lists fresh loads for a message. */
  list(now: number): readonly LoadMessage[] {
    const loads: LoadMessage[] = [];
    for (const [service, homes] of this.#heard) {
      for (const [entry, { rate, at }] of homes) {
        if (now - at > LIFE) homes.delete(entry);
        else if (loads.length < MAX_LISTED) loads.push({ service, entry, rate, age: now - at });
      }
      if (homes.size === 0) this.#heard.delete(service);
    }
    return loads;
  }

  /** Whether any service is held at more homes than one, so that placing must be looked at again. */
  hasMultipleHomes(): boolean {
    return [...this.#held.values()].some(({ homes }) => homes > 1);
  }

  /** Returns how many homes a service needs for what was heard; 1 when nothing was. */
  countHomes(service: string, now: number): number {
    let rate = 0;
    for (const { rate: part, at } of this.#heard.get(service)?.values() ?? []) {
      if (now - at <= LIFE) rate += part;
    }
    const needed = Math.max(1, Math.ceil(rate / ENTRY_CALLS_PER_SECOND));
    const held = this.#held.get(service);
    if (held !== undefined && needed < held.homes && now - held.at < FALL_DELAY) return held.homes;
    this.#held.set(service, { homes: needed, at: now });
    return needed;
  }
}
