/**
 * Reads the configuration and the targets from the store at a bounded rate, while this daemon is a
 * reader.
 *
 * Calls to the store are expensive, so few daemons read. A waiting watch returns a change at once;
 * a heartbeat without changes does not end it. Its timeout is short all the same, because only an
 * answer shows that the store still receives this daemon's calls. One watch covers all keys, so its
 * answer confirms the configuration and the targets alike.
 */
import type { Clock, Log, Random } from '../kernel/index.js';
import {
  type AllItems,
  type DecodeFault,
  KEYS,
  type KvReader,
  type StoreEvent,
  type StoredItem,
  type TargetRecord,
  decodeEvacuation,
  decodeTarget,
  readAllItems,
} from '../platform/index.js';
import type { FleetView } from './fleet-view.js';

/** The dependencies of a reader. */
export interface StoreReaderOptions {
  readonly store: KvReader;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Whether this daemon reads the store now; the others get the changes from readers. */
  readonly isReader: () => boolean;
  /** Time until this daemon has to read unless it learns of a read by another, in milliseconds. */
  readonly getReadDelay: () => number;
  /** The longest back-off after a call that the store did not answer, in milliseconds. */
  readonly getMaxBackoff: () => number;
  /** The longest wait of one watch, in milliseconds. */
  readonly getWatchTimeout: () => number;
}

const MIN_WATCH_TIMEOUT_MS = 1;

/**
 * Shortest time between the starts of two watches, which limits the calls when many changes follow
 * one another.
 */
const MIN_WATCH_INTERVAL_MS = 200;

/** How often a daemon that does not read checks whether it has to. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** The same for a daemon whose view was never confirmed: it is not ready before that. */
const START_CHECK_INTERVAL_MS = 20;

/** The back-off after the first failed call; it doubles with each further failure in a row. */
const FIRST_BACKOFF_MS = 200;

/** In an outage of this length or longer, leases of entries may have lapsed. */
const MIN_LAPSE_OUTAGE_MS = 1000;

/** Entries whose leases lapsed in an outage are written again within this time, or stay removed. */
const LAPSE_GRACE_MS = 1900;

/** Entries that can't be decoded, and removals that wait, of which this many are kept. */
const MAX_UNREADABLE = 1000;
const MAX_PENDING_REMOVALS = 10_000;

/** Characters of a key that are logged. */
const MAX_LOGGED_KEY = 256;

/** Failure domains that may be evacuated at once. */
const MAX_EVACUATED_DOMAINS = 1000;

const TOO_MANY_DOMAINS = {
  what: 'further failure domains',
  expected: `at most ${MAX_EVACUATED_DOMAINS}`,
};

/** Keeps a key. When there are too many, the oldest one is dropped, and may be logged again. */
function addBounded(keys: Set<string>, key: string): void {
  const [oldest] = keys;
  if (keys.size >= MAX_UNREADABLE && oldest !== undefined) keys.delete(oldest);
  keys.add(key);
}

interface PendingRemoval {
  readonly revision: number;
  readonly due: number;
}

/** A target's entry as it was read. */
interface ReadTarget {
  readonly incarnation: string;
  readonly record: TargetRecord | DecodeFault;
  readonly revision: number;
}

function readTarget({ key, text, revision }: StoredItem): ReadTarget {
  const incarnation = key.slice(KEYS.targets.length);
  return { incarnation, record: decodeTarget(incarnation, text), revision };
}

/** Keeps the text of the configuration only; of other keys, the name is all that counts. */
function keepConfiguration(item: StoredItem): StoredItem {
  return item.key === KEYS.configuration ? item : { ...item, text: '' };
}

/** What came of a watch, or of reading everything. */
type ReadOutcome = 'read' | 'too-long' | 'failed';

/** Exponential back-off with jitter. */
class Backoff {
  #failures = 0;

  constructor(
    private readonly random: Random,
    private readonly getMax: () => number,
  ) {}

  next(): number {
    const pause = Math.min(this.getMax(), FIRST_BACKOFF_MS * 2 ** this.#failures);
    this.#failures += 1;
    return pause * (0.75 + this.random.next() / 2);
  }

  clear(): void {
    this.#failures = 0;
  }
}

/** Reads the store for one daemon and applies the changes to its view. */
export class StoreReader {
  /** The revision after which changes are requested; 0 when everything has to be read. */
  #afterRevision = 0;

  #lastReadAt = -Infinity;

  #failingSince: number | undefined;

  #lapseGraceUntil = -Infinity;

  readonly #pendingRemovals = new Map<string, PendingRemoval>();

  /** Incarnations whose entries could not be decoded. */
  readonly #unreadableTargets = new Set<string>();

  /** Operators' keys that could not be decoded. */
  readonly #unreadableKeys = new Set<string>();

  constructor(private readonly options: StoreReaderOptions) {}

  /** The last time at which this daemon itself saw that the store held nothing newer. */
  get lastReadAt(): number {
    return this.#lastReadAt;
  }

  /** How many entries of targets and operators' keys currently can't be decoded. */
  get unreadableCount(): number {
    return this.#unreadableTargets.size + this.#unreadableKeys.size;
  }

  /**
   * Reads everything once, by cheap reads that may be seconds stale, so that a starting daemon has
   * a first view.
   */
  async readStale(): Promise<void> {
    await this.#readAll(true);
  }

  /** Reads until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isReader, random, getMaxBackoff } = this.options;
    const backoff = new Backoff(random, getMaxBackoff);
    while (!signal.aborted) {
      this.#applyDueRemovals();
      if (!isReader()) {
        // Others read meanwhile, so an outage that this daemon saw earlier must not count when it
        // reads again.
        this.#failingSince = undefined;
        await clock.sleep(this.#chooseIdleDelay(), signal);
        continue;
      }
      const startedAt = clock.now();
      const outcome = await this.#readChanges();
      if (outcome === 'read') {
        backoff.clear();
        await clock.sleep(Math.max(0, startedAt + MIN_WATCH_INTERVAL_MS - clock.now()), signal);
      } else {
        // A store whose watches are all too long would else be read whole, again and again.
        if (outcome === 'failed') this.#recordFailure();
        await clock.sleep(backoff.next(), signal);
      }
    }
  }

  #chooseIdleDelay(): number {
    const { view, getReadDelay } = this.options;
    const interval = view.provenAt === -Infinity ? START_CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
    return Math.max(1, Math.min(interval, getReadDelay()));
  }

  /** Reads the changes by one watch, or everything where that is needed. */
  async #readChanges(): Promise<ReadOutcome> {
    const { store, view, clock, log } = this.options;
    const after = Math.max(this.#afterRevision, Math.min(view.known.targets, view.known.operators));
    if (after === 0) return (await this.#readAll(false)) ? 'read' : 'failed';
    const startedAt = clock.now();
    const timeout = this.#chooseWatchTimeout(startedAt);
    const answer = await store.watch(KEYS.all, after, timeout);
    const took = Math.round(clock.now() - startedAt);
    switch (answer.kind) {
      case 'events':
        log.debug('store.watched', {
          ...{ after, store_revision: answer.storeRevision, took },
          events: answer.events
            .map((event) => (event.kind === 'written' ? event.item.revision : -event.revision))
            .join(','),
        });
        this.#recordSuccess();
        // The proof below confirms the version in force, so a conversion ends before it.
        await Promise.all(answer.events.map((event) => this.#applyEvent(event)));
        this.#afterRevision = Math.max(after, answer.storeRevision);
        // Without events the store answered at the end of the wait; with events, at an unknown
        // time.
        this.#recordProof(answer.events.length === 0 ? startedAt + timeout : startedAt);
        return 'read';
      case 'history-gone':
        log.warn('store.history-gone', { after });
        return (await this.#readAll(false)) ? 'read' : 'failed';
      case 'too-long':
        log.warn('store.too-long', { after, reason: answer.reason });
        return (await this.#readAll(false)) ? 'too-long' : 'failed';
      case 'not-done':
      case 'unknown':
        log.warn('store.unanswered', { call: 'watch', reason: answer.reason, took });
        return 'failed';
      default:
        return answer satisfies never;
    }
  }

  /**
   * Chooses the timeout of the next watch so that it ends when the last read gets as old as a watch
   * may last. Before the first read, and after a call without an answer, the watch returns
   * immediately.
   */
  #chooseWatchTimeout(now: number): number {
    if (this.#failingSince !== undefined) return MIN_WATCH_TIMEOUT_MS;
    const timeout = this.options.getWatchTimeout();
    return Math.max(MIN_WATCH_TIMEOUT_MS, Math.min(timeout, this.#lastReadAt + timeout - now));
  }

  #recordProof(at: number): void {
    const { view } = this.options;
    this.#lastReadAt = Math.max(this.#lastReadAt, at);
    view.recordProof(at);
    view.advanceKnown({ targets: this.#afterRevision, operators: this.#afterRevision });
  }

  /** Reads everything; the next watch returns what changed since the first page. */
  async #readAll(allowsStale: boolean): Promise<boolean> {
    const startedAt = this.options.clock.now();
    const revisions = await Promise.all([
      this.#readAllOperatorKeys(allowsStale),
      this.#readAllTargets(allowsStale),
    ]);
    const [operators, targets] = revisions;
    if (operators === undefined || targets === undefined) return false;
    this.#afterRevision = Math.max(this.#afterRevision, Math.min(operators, targets));
    if (allowsStale) return true;
    this.#recordSuccess();
    this.#recordProof(startedAt);
    return true;
  }

  /**
   * Reads all targets; returns the store revision of the first page, undefined when the store did
   * not answer.
   */
  async #readAllTargets(allowsStale: boolean): Promise<number | undefined> {
    const { view } = this.options;
    const items = await this.#readItems(KEYS.targets, allowsStale, readTarget);
    if (items === undefined) return undefined;
    const seen = new Set<string>();
    for (const item of items.items) {
      seen.add(item.incarnation);
      // The next watch returns the changes since the first page in order. Applying a later one
      // first would move the view's position past the earlier ones, and other daemons would never
      // fetch those.
      if (item.revision <= items.revision) this.#applyTarget(item);
    }
    if (allowsStale) return items.revision;
    for (const { record, revision } of view.listTargets()) {
      if (seen.has(record.incarnation) || revision > items.revision) continue;
      this.#applyRemoval(KEYS.targets + record.incarnation, items.revision);
    }
    return items.revision;
  }

  /** Reads everything under a prefix; undefined when the store did not answer. */
  async #readItems<T>(
    prefix: string,
    allowsStale: boolean,
    keep: (item: StoredItem) => T,
  ): Promise<AllItems<T> | undefined> {
    const { store, log } = this.options;
    const answer = await readAllItems(store, { prefix, allowsStale, keep });
    if (answer.kind === 'all') return answer;
    log.warn('store.unanswered', { call: 'range', prefix, reason: answer.reason });
    return undefined;
  }

  #applyEvent(event: StoreEvent): Promise<void> | undefined {
    const key = event.kind === 'written' ? event.item.key : event.key;
    if (key.startsWith(KEYS.operators)) return this.#applyOperatorEvent(event);
    if (key.startsWith(KEYS.targets)) this.#applyTargetEvent(event);
    return undefined;
  }

  #applyTargetEvent(event: StoreEvent): void {
    if (event.kind === 'written') this.#applyTarget(readTarget(event.item));
    else this.#applyRemoval(event.key, event.revision);
  }

  #applyTarget({ incarnation, record, revision }: ReadTarget): void {
    const { view, clock, log } = this.options;
    this.#pendingRemovals.delete(incarnation);
    if ('kind' in record) {
      // An entry that can't be decoded names no usable target. Logged once, until it can be decoded
      // again.
      if (!this.#unreadableTargets.has(incarnation)) {
        const { what, expected } = record;
        log.warn('target.unreadable', {
          ...{ incarnation: incarnation.slice(0, MAX_LOGGED_KEY), what, expected, revision },
        });
      }
      addBounded(this.#unreadableTargets, incarnation);
      view.removeTarget(incarnation, revision);
      return;
    }
    this.#unreadableTargets.delete(incarnation);
    view.putTarget(record, revision, clock.now());
  }

  /**
   * Removes a target. After an outage the removal waits: entries that only lapsed in it are written
   * again.
   */
  #applyRemoval(key: string, revision: number): void {
    const incarnation = key.slice(KEYS.targets.length);
    this.#unreadableTargets.delete(incarnation);
    const now = this.options.clock.now();
    if (now < this.#lapseGraceUntil && this.#pendingRemovals.size < MAX_PENDING_REMOVALS) {
      this.#pendingRemovals.set(incarnation, { revision, due: this.#lapseGraceUntil });
      return;
    }
    this.options.view.removeTarget(incarnation, revision);
  }

  #applyDueRemovals(): void {
    const { clock, view, log } = this.options;
    const now = clock.now();
    for (const [incarnation, { revision, due }] of this.#pendingRemovals) {
      if (now < due) continue;
      this.#pendingRemovals.delete(incarnation);
      log.info('target.lapsed', { incarnation, revision });
      // Other daemons may have reached a later revision meanwhile, so the removal takes the newest
      // known one.
      view.removeTarget(incarnation, Math.max(revision, view.position.targets, view.known.targets));
    }
  }

  #recordSuccess(): void {
    const { clock, log } = this.options;
    if (this.#failingSince === undefined) return;
    const outage = clock.now() - this.#failingSince;
    this.#failingSince = undefined;
    log.info('store.regained', { outage: Math.round(outage) });
    if (outage >= MIN_LAPSE_OUTAGE_MS) this.#lapseGraceUntil = clock.now() + LAPSE_GRACE_MS;
  }

  #recordFailure(): void {
    const { clock, log } = this.options;
    if (this.#failingSince !== undefined) return;
    this.#failingSince = clock.now();
    log.warn('store.lost', { proven_age: Math.round(clock.now() - this.options.view.provenAt) });
  }

  /**
   * Reads all operators' keys; returns the store revision of the first page, undefined without an
   * answer.
   */
  async #readAllOperatorKeys(allowsStale: boolean): Promise<number | undefined> {
    const items = await this.#readItems(KEYS.operators, allowsStale, keepConfiguration);
    if (items === undefined) return undefined;
    await Promise.all(items.items.map((item) => this.#applyConfiguration(item)));
    // Later pages may be newer than the first; the next watch repeats what changed since the first.
    const domains = this.#listDomains(items.items.map(({ key }) => key));
    this.options.view.setEvacuations({ domains, revision: items.revision });
    return items.revision;
  }

  /**
   * Lists the domains that the keys ask to evacuate; a key that can't be decoded is logged once.
   */
  #listDomains(keys: readonly string[]): readonly string[] {
    const domains: string[] = [];
    for (const key of keys) {
      const domain = this.#readDomain(key);
      if (domain !== undefined) domains.push(domain);
    }
    if (domains.length > MAX_EVACUATED_DOMAINS) {
      this.options.log.warn('evacuation.unreadable', TOO_MANY_DOMAINS);
    }
    return domains.slice(0, MAX_EVACUATED_DOMAINS);
  }

  #readDomain(key: string): string | undefined {
    if (!key.startsWith(KEYS.evacuations)) return undefined;
    const domain = decodeEvacuation(key);
    if (typeof domain === 'string') return domain;
    if (!this.#unreadableKeys.has(key)) {
      const { what, expected } = domain;
      this.options.log.warn('evacuation.unreadable', { what, expected });
    }
    addBounded(this.#unreadableKeys, key);
    return undefined;
  }

  #applyOperatorEvent(event: StoreEvent): Promise<void> | undefined {
    const { view, log } = this.options;
    const isWritten = event.kind === 'written';
    if (isWritten && event.item.key === KEYS.configuration) {
      return this.#applyConfiguration(event.item);
    }
    const [key, revision] = isWritten
      ? [event.item.key, event.item.revision]
      : [event.key, event.revision];
    if (!isWritten) this.#unreadableKeys.delete(key);
    const domain = this.#readDomain(key);
    if (domain === undefined) return undefined;
    const others = view.evacuations.domains.filter((known) => known !== domain);
    if (isWritten && others.length >= MAX_EVACUATED_DOMAINS) {
      log.warn('evacuation.unreadable', TOO_MANY_DOMAINS);
      return undefined;
    }
    view.setEvacuations({ domains: isWritten ? [...others, domain] : others, revision });
    return undefined;
  }

  #applyConfiguration(item: StoredItem): Promise<void> | undefined {
    if (item.key !== KEYS.configuration) return undefined;
    return this.options.view.setConfiguration(item.text, item.revision);
  }
}
