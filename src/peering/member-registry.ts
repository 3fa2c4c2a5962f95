/**
 * The list of daemons in the store, for one that starts and reaches none of its seeds.
 *
 * Liveness is never read from it: who is there is asked over the network. So it needs no lease, and
 * a few writes a day keep it: only the first home writes, and only when the members have changed.
 */
import type { Clock, Log } from '../kernel/index.js';
import { KEYS, type KvStore } from '../platform/index.js';
import type { Roster } from './roster.js';

/** What the registry is made from. */
export interface MemberRegistryOptions {
  readonly store: KvStore;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the whole system starts for the first time: nothing stands in the store yet. */
  readonly isFirstStart: boolean;
  /** Whether it falls to this daemon to write. */
  readonly isWriter: () => boolean;
  /** Called with daemons to look for. */
  readonly onFound: (ips: readonly string[]) => void;
}

const CHECK_INTERVAL_MS = 1000;

/** Members have to be the same for this many rounds before they are written: many start at once. */
const MIN_STABLE_ROUNDS = 3;

/** Rounds between two looks of a daemon that knows nobody else. */
const LOOKUP_ROUNDS = 2;

interface WrittenMembers {
  readonly members: readonly string[];
}

function parseMembers(text: string): readonly string[] {
  try {
    const { members } = JSON.parse(text) as WrittenMembers;
    return Array.isArray(members) ? members.filter((ip) => typeof ip === 'string') : [];
  } catch {
    return [];
  }
}

/** Keeps the list while this daemon is the writer. */
export class MemberRegistry {
  #writtenText: string | undefined;

  #lastText = '';

  #stableRounds = 0;

  constructor(private readonly options: MemberRegistryOptions) {}

  /** Reads and writes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, roster, isWriter, isFirstStart } = this.options;
    if (!isFirstStart) await this.#readList();
    for (let round = 1; !signal.aborted; round += 1) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (roster.size === 1 && round % LOOKUP_ROUNDS === 0) await this.#readList();
      if (!this.#checkStable() || !isWriter() || this.#lastText === this.#writtenText) continue;
      await this.#writeList(this.#lastText);
    }
  }

  async #readList(): Promise<void> {
    const answer = await this.options.store.readItem(KEYS.members, true);
    if (answer.kind === 'item') this.options.onFound(parseMembers(answer.item.text));
  }

  #checkStable(): boolean {
    const members = this.options.roster
      .list()
      .map(({ ip }) => ip)
      .sort();
    const text = JSON.stringify({ members } satisfies WrittenMembers);
    this.#stableRounds = text === this.#lastText ? this.#stableRounds + 1 : 0;
    this.#lastText = text;
    return this.#stableRounds >= MIN_STABLE_ROUNDS;
  }

  async #writeList(text: string): Promise<void> {
    const { store, log } = this.options;
    const current = await store.readItem(KEYS.members, false);
    if (current.kind !== 'item' && current.kind !== 'absent') return;
    if (current.kind === 'item' && current.item.text === text) {
      this.#writtenText = text;
      return;
    }
    const expected = current.kind === 'item' ? current.item.revision : 0;
    const written = await store.write({ key: KEYS.members, text, expected });
    log.info('members.written', { outcome: written.kind });
    // After any other outcome the next round reads what stands there now.
    if (written.kind === 'done') this.#writtenText = text;
  }
}
