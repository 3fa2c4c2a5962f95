/** What targets have said of themselves, kept while their entries are gone from the list and may come back. */
import { Availability } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { TargetRecord } from '../../platform/index.js';

/** Incarnations kept at most: some releases of a large fleet. */
const MAX_INCARNATIONS = 4096;

function nameIncarnation({ incarnation, born }: TargetRecord): string {
  return `${incarnation}/${born}`;
}

/** The book of one daemon. */
export class AvailabilityCache {
  /** Of targets that left, the one that left first to begin with. */
  readonly #entries = new Map<string, Availability>();

  constructor(private readonly clock: Clock) {}

  /** Finds what an incarnation has said before, or begins anew. */
  find(record: TargetRecord): Availability {
    return this.#entries.get(nameIncarnation(record)) ?? new Availability();
  }

  /** Keeps what an incarnation has said that leaves the list. */
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
