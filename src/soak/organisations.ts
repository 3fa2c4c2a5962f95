/** The organisations of a soak, their keys, and the changes that operators make to them. */
import { type Random, pickItem } from '../kernel/index.js';
import type { OrganisationChecker } from './organisation-checker.js';

/** Keys of one organisation at any time. */
const KEYS_PER_ORGANISATION = 2;

/** Probability that a caller goes on using a key that was taken away. */
const STALE_KEY_PROBABILITY = 0.2;

/**
 * The organisations: one whose callers send far more than its limit, one whose callers stay well
 * within it, and one without a limit.
 */
export const ORGANISATION_QUOTAS = {
  small: { rate: 10, burst: 10 },
  large: { rate: 200, burst: 200 },
} as const;

const NAMES = [...Object.keys(ORGANISATION_QUOTAS), 'unlimited'];

/** The keys in force, and those that were taken away. */
export class SoakOrganisations {
  readonly #keys = new Map<string, string[]>(NAMES.map((name) => [name, []] as const));

  readonly #revoked = new Map<string, string[]>(NAMES.map((name) => [name, []] as const));

  #keyCount = 0;

  constructor(
    private readonly checker: OrganisationChecker,
    private readonly now: () => number,
  ) {
    for (const name of NAMES) {
      for (let index = 0; index < KEYS_PER_ORGANISATION; index += 1) this.#addKey(name);
    }
  }

  /** Describes the organisations as the operators' configuration contains them. */
  describe(): readonly object[] {
    const quotas: Readonly<Record<string, { readonly rate: number; readonly burst: number }>> =
      ORGANISATION_QUOTAS;
    return NAMES.map((name) => ({
      ...{ name, api_keys: this.#keys.get(name) ?? [] },
      ...{ rate_per_s: quotas[name]?.rate, burst: quotas[name]?.burst },
    }));
  }

  /** Replaces the oldest key of an organisation; the configuration has to be written after it. */
  revoke(index: number): void {
    const name = NAMES[index % NAMES.length];
    const key = this.#keys.get(name)?.shift();
    if (key === undefined) return;
    this.#revoked.get(name)?.push(key);
    this.checker.recordKeyRemoved(key, this.now());
    this.#addKey(name);
  }

  /** Chooses the key of a caller's next request, now and then one that was taken away. */
  pickKey(caller: number, random: Random): string {
    const name = NAMES[caller % NAMES.length];
    const revoked = this.#revoked.get(name) ?? [];
    const isStale = revoked.length > 0 && random.next() < STALE_KEY_PROBABILITY;
    return pickItem(isStale ? revoked : (this.#keys.get(name) ?? []), random);
  }

  #addKey(name: string): void {
    this.#keyCount += 1;
    const key = `key-${this.#keyCount}-of-${name}`;
    this.#keys.get(name)?.push(key);
    this.checker.recordKeyAdded(key, name, this.now());
  }
}
