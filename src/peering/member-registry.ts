/**
 * Keeps a list of daemons in the store, for a daemon that starts and reaches none of its seeds.
 *
 * The list says nothing about liveness, which daemons find out by polling each other. So it needs
 * no lease, and a few writes a day suffice: only the first home writes, and only when the members
 * have changed.
 */
import { isIPv4 } from 'node:net';
import type { Clock, Log } from '../kernel/index.js';
import { KEYS, type KvStore } from '../platform/index.js';
import type { Roster } from './roster.js';

/** The dependencies of the registry. */
export interface MemberRegistryOptions {
  readonly store: KvStore;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the whole system starts for the first time, so that the store is still empty. */
  readonly isFirstStart: boolean;
  /** Whether this daemon is the one that writes the list. */
  readonly isWriter: () => boolean;
  /** Called with the addresses of the daemons in the list. */
  readonly onFound: (ips: readonly string[]) => void;
}

const CHECK_INTERVAL_MS = 1000;

/**
 * For how many rounds the members must not change before they are written, as many daemons may
 * start together.
 */
const MIN_STABLE_ROUNDS = 3;

/** A daemon that knows no other reads the list every this many rounds. */
const LOOKUP_ROUNDS = 2;

interface WrittenMembers {
  readonly members: readonly string[];
}

function parseMembers(text: string): readonly string[] {
  try {
    const { members } = JSON.parse(text) as WrittenMembers;
    return Array.isArray(members)
      ? members.filter((ip) => typeof ip === 'string' && isIPv4(ip))
      : [];
  } catch {
    return [];
  }
}

/** Writes the list while this daemon is the writer, and reads it when the daemon knows no other. */
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

  /** Builds the current list and checks that it has not changed for enough rounds. */
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
    // After any other outcome the next round reads the current list and tries again.
    if (written.kind === 'done') this.#writtenText = text;
  }
}
