/** Draining and back-off of targets that left the list, kept in case their entries come back. */
import { Availability } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { TargetRecord } from '../../platform/index.js';

/** Enough for several releases of a large fleet. */
const MAX_INCARNATIONS = 4096;

function nameIncarnation({ incarnation, born }: TargetRecord): string {
  return `${incarnation}/${born}`;
}

/** The cache of one daemon. */
export class AvailabilityCache {
  /** Entries of targets that left, the least recent first. */
  readonly #entries = new Map<string, Availability>();

  constructor(private readonly clock: Clock) {}

  /** Returns what an incarnation stated earlier, or an empty state. */
  find(record: TargetRecord): Availability {
    return this.#entries.get(nameIncarnation(record)) ?? new Availability();
  }

  /** Keeps what an incarnation stated when it leaves the list. */
  keep(record: TargetRecord, availability: Availability): void {
    if (!availability.isRestricted(this.clock.now())) return;
    const name = nameIncarnation(record);
    this.#entries.delete(name);
    this.#entries.set(name, availability);
    if (this.#entries.size <= MAX_INCARNATIONS) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}
