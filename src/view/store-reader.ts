/**
 * Reads configuration and targets from the store, at a pace, while this daemon is a reader.
 *
 * A call is dear, so few daemons read. A watch that waits brings a change at once; a heartbeat that says nothing new
 * answers no watch. Its wait is short all the same, because only an answer shows that the store still receives the calls
 * of this daemon. One watch brings everything, so what its answer shows holds for the configuration and for targets.
 */
import type { Clock, Log, Random } from '../kernel/index.js';
import {
  KEYS,
  type KvReader,
  type StoreEvent,
  type StoredItem,
  decodeEvacuation,
  decodeTarget,
} from '../platform/index.js';
import type { FleetView } from './fleet-view.js';

/** What a reader is made from. */
export interface StoreReaderOptions {
  readonly store: KvReader;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Whether this daemon is to read now; others hear from readers. */
  readonly isReader: () => boolean;
  /** Time until this daemon is to read unless it is told of a reading, in milliseconds. */
  readonly getReadDelay: () => number;
  /** The longest pause after a call that the store did not answer, in milliseconds. */
  readonly getMaxBackoff: () => number;
  /** How long one watch waits, in milliseconds. */
  readonly getWatchTimeout: () => number;
}

const MIN_WATCH_TIMEOUT_MS = 1;

/** Least time between two watches, for many changes in quick succession. */
const MIN_WATCH_INTERVAL_MS = 200;

/** How often a daemon that does not read looks whether it has to. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** The same for one that nobody has told anything yet, and which is not ready before. */
const START_CHECK_INTERVAL_MS = 20;

/** The pause after a call that the store did not answer well, in milliseconds; each next one is longer. */
const FIRST_BACKOFF_MS = 200;

/** An outage longer than this may have made entries lapse. */
const MIN_LAPSE_OUTAGE_MS = 1000;

/** Entries that lapsed in an outage are back within this time, or gone. */
const LAPSE_GRACE_MS = 1900;

interface PendingRemoval {
  readonly revision: number;
  readonly due: number;
}

/** Pauses that grow with each failure in a row and are spread at random. */
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

/** The reader of one daemon. */
export class StoreReader {
  /** The revision after which changes are asked for; 0 when everything is to be read. */
  #afterRevision = 0;

  #lastReadAt = -Infinity;

  #failingSince: number | undefined;

  #lapseGraceUntil = -Infinity;

  readonly #pendingRemovals = new Map<string, PendingRemoval>();

  /** Entries of targets that could not be decoded. */
  readonly #unreadableTargets = new Set<string>();

  /** Keys of the operators that could not be decoded. */
  readonly #unreadableKeys = new Set<string>();

  constructor(private readonly options: StoreReaderOptions) {}

  /** The last moment at which this daemon itself saw that the store held nothing newer. */
  get lastReadAt(): number {
    return this.#lastReadAt;
  }

  /** Entries of targets and keys of the operators that can't be decoded now. */
  get unreadableCount(): number {
    return this.#unreadableTargets.size + this.#unreadableKeys.size;
  }

  /** Reads once, cheaply and perhaps seconds late, so that a starting daemon knows something. */
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
        // Others read, so the outage that this daemon saw is over, whatever it sees when it reads again.
        this.#failingSince = undefined;
        await clock.sleep(this.#chooseIdleDelay(), signal);
        continue;
      }
      const startedAt = clock.now();
      const hasRead = await this.#readChanges();
      if (hasRead) {
        backoff.clear();
        await clock.sleep(Math.max(0, startedAt + MIN_WATCH_INTERVAL_MS - clock.now()), signal);
      } else {
        this.#recordFailure();
        await clock.sleep(backoff.next(), signal);
      }
    }
  }

  #chooseIdleDelay(): number {
    const { view, getReadDelay } = this.options;
    const interval = view.provenAt === -Infinity ? START_CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
    return Math.max(1, Math.min(interval, getReadDelay()));
  }

  /** One reading; false when the store did not answer. */
  async #readChanges(): Promise<boolean> {
    const { store, view, clock, log } = this.options;
    const after = Math.max(this.#afterRevision, Math.min(view.known.targets, view.known.operators));
    if (after === 0) return this.#readAll(false);
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
        for (const event of answer.events) this.#applyEvent(event);
        this.#afterRevision = Math.max(after, answer.storeRevision);
        // Without news the answer was made at the end of the wait; with news at an unknown moment.
        this.#recordProof(answer.events.length === 0 ? startedAt + timeout : startedAt);
        return true;
      case 'history-gone':
        log.warn('store.history-gone', { after });
        return this.#readAll(false);
      case 'not-done':
      case 'unknown':
        log.warn('store.unanswered', { call: 'watch', reason: answer.reason, took });
        return false;
      default:
        return answer satisfies never;
    }
  }

  /**
   * How long the next watch waits: until the last proof is as old as one may become. Before the first one, and after a
   * call that was not answered, it only asks what there is.
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

  /** Reads everything; what changes meanwhile comes by the watch from the first page on. */
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

  /** Reads all targets; returns the store's revision at the first page, undefined when the store did not answer. */
  async #readAllTargets(allowsStale: boolean): Promise<number | undefined> {
    const { view } = this.options;
    const items = await this.#readItems(KEYS.targets, allowsStale);
    if (items === undefined) return undefined;
    const seen = new Set<string>();
    for (const item of items.listed) {
      seen.add(item.key.slice(KEYS.targets.length));
      // Changes since the first page come by the watch, in their order: a view that is told of a later one first
      // passes on a position that hides the earlier ones from other daemons.
      if (item.revision <= items.revision) this.#applyTarget(item);
    }
    if (allowsStale) return items.revision;
    for (const { record, revision } of view.listTargets()) {
      if (seen.has(record.incarnation) || revision > items.revision) continue;
      this.#applyRemoval(KEYS.targets + record.incarnation, items.revision);
    }
    return items.revision;
  }

  /** Reads the pages of a prefix; `revision` is the store's at the first one. */
  async #readItems(
    prefix: string,
    allowsStale: boolean,
  ): Promise<{ readonly listed: readonly StoredItem[]; readonly revision: number } | undefined> {
    const { store, log } = this.options;
    const listed: StoredItem[] = [];
    let revision: number | undefined;
    for (let after = ''; ;) {
      const page = await store.readItems(prefix, after, allowsStale);
      if (page.kind !== 'items') {
        log.warn('store.unanswered', { call: 'range', prefix, reason: page.reason });
        return undefined;
      }
      revision ??= page.storeRevision;
      listed.push(...page.items);
      const last = page.items.at(-1);
      if (!page.hasMore || last === undefined) return { listed, revision };
      after = last.key;
    }
  }

  #applyEvent(event: StoreEvent): void {
    const key = event.kind === 'written' ? event.item.key : event.key;
    if (key.startsWith(KEYS.operators)) this.#applyOperatorEvent(event);
    if (!key.startsWith(KEYS.targets)) return;
    if (event.kind === 'written') this.#applyTarget(event.item);
    else this.#applyRemoval(event.key, event.revision);
  }

  #applyTarget(item: StoredItem): void {
    const { view, clock, log } = this.options;
    const incarnation = item.key.slice(KEYS.targets.length);
    const record = decodeTarget(incarnation, item.text);
    this.#pendingRemovals.delete(incarnation);
    if ('kind' in record) {
      // Whoever wrote it, it names no target to use; told once, until it is good again.
      if (!this.#unreadableTargets.has(incarnation)) {
        const { what, expected } = record;
        log.warn('target.unreadable', { incarnation, what, expected, revision: item.revision });
      }
      this.#unreadableTargets.add(incarnation);
      view.removeTarget(incarnation, item.revision);
      return;
    }
    this.#unreadableTargets.delete(incarnation);
    view.putTarget(record, item.revision, clock.now());
  }

  /** Entries that lapsed while the store was away come back; until that is clear they stay in use. */
  #applyRemoval(key: string, revision: number): void {
    const incarnation = key.slice(KEYS.targets.length);
    this.#unreadableTargets.delete(incarnation);
    const now = this.options.clock.now();
    if (now < this.#lapseGraceUntil) {
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
      // Others have heard of a later revision meanwhile, so the removal is told as of now.
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

  /** Reads all that the operators keep; returns as for targets. */
  async #readAllOperatorKeys(allowsStale: boolean): Promise<number | undefined> {
    const items = await this.#readItems(KEYS.operators, allowsStale);
    if (items === undefined) return undefined;
    for (const item of items.listed) this.#applyConfiguration(item);
    // Later pages may be newer than the first; what changed since then is told again, from there on.
    const domains = this.#listDomains(items.listed.map(({ key }) => key));
    this.options.view.setEvacuations({ domains, revision: items.revision });
    return items.revision;
  }

  /** The domains that the keys ask to evacuate; one that can't be read is told of once. */
  #listDomains(keys: readonly string[]): readonly string[] {
    const domains: string[] = [];
    for (const key of keys) {
      const domain = this.#readDomain(key);
      if (domain !== undefined) domains.push(domain);
    }
    return domains;
  }

  #readDomain(key: string): string | undefined {
    if (!key.startsWith(KEYS.evacuations)) return undefined;
    const domain = decodeEvacuation(key);
    if (typeof domain === 'string') return domain;
    if (!this.#unreadableKeys.has(key)) {
      const { what, expected } = domain;
      this.options.log.warn('evacuation.unreadable', { what, expected });
    }
    this.#unreadableKeys.add(key);
    return undefined;
  }

  #applyOperatorEvent(event: StoreEvent): void {
    const { view } = this.options;
    const isWritten = event.kind === 'written';
    if (isWritten) this.#applyConfiguration(event.item);
    const [key, revision] = isWritten
      ? [event.item.key, event.item.revision]
      : [event.key, event.revision];
    if (!isWritten) this.#unreadableKeys.delete(key);
    const domain = this.#readDomain(key);
    if (domain === undefined) return;
    const others = view.evacuations.domains.filter((known) => known !== domain);
    view.setEvacuations({ domains: isWritten ? [...others, domain] : others, revision });
  }

  #applyConfiguration(item: StoredItem): void {
    if (item.key !== KEYS.configuration) return;
    this.options.view.setConfiguration(item.text, item.revision);
  }
}
