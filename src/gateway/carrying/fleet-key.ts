/**
 * The key with which daemons prove to each other that a carried call comes from a daemon. It lies
 * in the platform's store, which callers and targets can't read.
 */
import { randomBytes } from 'node:crypto';
import type { Clock, Log, Random } from '../../kernel/index.js';
import { KEYS, type KvStore } from '../../platform/index.js';

/** Options of the key. */
export interface FleetKeyOptions {
  readonly store: KvStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Whether the whole system starts for the first time, so that no daemon has written a key. */
  readonly isFirstStart: boolean;
  /** Whether this daemon is the one that writes a missing key. */
  readonly isWriter: () => boolean;
}

const KEY_BYTES = 32;

/** Interval of attempts to read the key until it is known. */
const READ_INTERVAL_MS = 2000;

/** On the first start of the whole system, the writer writes the key within this time. */
const FIRST_WRITE_MS = 4000;

/** Daemons that start together read the key within this time, not all at once. */
const SPREAD_MS = 2000;

/** Calls that need the key cause a read this often at most while the key is not known. */
const MIN_READ_INTERVAL_MS = 200;

/** A key that another daemon rejects, or that doesn't match, is read again this often at most. */
const REFRESH_INTERVAL_MS = 10_000;

const KEY_PATTERN = /^[0-9a-f]{64}$/;

/** The key as one daemon knows it. */
export class FleetKey {
  #value: string | undefined;

  #readAt = -Infinity;

  #reading: Promise<void> | undefined;

  constructor(private readonly options: FleetKeyOptions) {}

  /** The key; undefined until this daemon has read it. */
  get value(): string | undefined {
    return this.#value;
  }

  /**
   * Reads the key, because a call needs it or it did not match that of another daemon. A key that is
   * known is not read again if it was read lately. Resolves after the read; never rejects.
   */
  async refresh(): Promise<void> {
    const age = this.options.clock.now() - this.#readAt;
    if (this.#reading === undefined && this.#value !== undefined && age < REFRESH_INTERVAL_MS) {
      return;
    }
    await this.#read(this.#value === undefined ? MIN_READ_INTERVAL_MS - age : 0);
  }

  /** Reads the key, or writes a missing one, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, isFirstStart, isWriter } = this.options;
    const spread = random.next() * SPREAD_MS;
    await clock.sleep(isFirstStart && !isWriter() ? FIRST_WRITE_MS + spread : spread, signal);
    while (!signal.aborted) {
      if (this.#value === undefined) await this.#read(0);
      await clock.sleep(READ_INTERVAL_MS, signal);
    }
  }

  /** Reads the key after a delay, once for all that wait for it. */
  async #read(delay: number): Promise<void> {
    this.#reading ??= this.#readOrWrite(delay).finally(() => {
      this.#reading = undefined;
    });
    await this.#reading;
  }

  async #readOrWrite(delay: number): Promise<void> {
    const { store, clock, log, isWriter } = this.options;
    if (delay > 0) await clock.sleep(delay);
    const isKnown = this.#value !== undefined;
    this.#readAt = clock.now();
    const answer = await store.readItem(KEYS.fleetKey, !isKnown);
    if (answer.kind === 'item' && KEY_PATTERN.test(answer.item.text)) {
      this.#value = answer.item.text;
      return;
    }
    if (answer.kind === 'item') {
      log.warn('key.unreadable', { bytes: answer.item.text.length, expected: '64 hex digits' });
    }
    if (!isWriter()) return;
    const expected = answer.kind === 'item' ? answer.item.revision : 0;
    if (answer.kind !== 'item' && answer.kind !== 'absent') return;
    const text = randomBytes(KEY_BYTES).toString('hex');
    const written = await store.write({ key: KEYS.fleetKey, text, expected });
    log.info('key.written', { outcome: written.kind });
    if (written.kind === 'done') this.#value = text;
  }
}
