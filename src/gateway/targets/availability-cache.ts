/** What targets have said of themselves, kept while their entries are gone from the list and may come back. */
import { Availability } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { TargetRecord } from '../../platform/index.js';

/** Incarnations kept at most: some releases of a large fleet. */
const MOST_KEPT = 4096;

function nameIncarnation({ incarnation, born }: TargetRecord): string {
  return `${incarnation}/${born}`;
}

/** The book of one daemon. */
export class AvailabilityCache {
  /** Of targets that left, the one that left first to begin with. */
  readonly #kept = new Map<string, Availability>();

  constructor(private readonly clock: Clock) {}

  /** Finds what an incarnation has said before, or begins anew. */
  find(record: TargetRecord): Availability {
    return this.#kept.get(nameIncarnation(record)) ?? new Availability();
  }

  /** Keeps what an incarnation has said that leaves the list. */
  keep(record: TargetRecord, standing: Availability): void {
    if (!standing.isRestricted(this.clock.now())) return;
    const name = nameIncarnation(record);
    this.#kept.delete(name);
    this.#kept.set(name, standing);
    if (this.#kept.size <= MOST_KEPT) return;
    const [first] = this.#kept.keys();
    if (first !== undefined) this.#kept.delete(first);
  }
}
