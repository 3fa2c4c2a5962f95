/**
 * Reads configuration and targets from the store, at a pace, while this daemon is a reader.
 *
 * A call is dear, so few daemons read. A watch that waits brings a change at once; a beat that says
 * nothing new answers no watch. Its wait is short all the same, because only an answer shows that
 * the store still hears this daemon.
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
  /** The longest pause after a call that the store did not answer, in milliseconds. */
  readonly readLongestPause: () => number;
}

/** How long one watch of the targets waits: news come at once, and its end shows that there were none. */
const TARGETS_WAIT = 900;

const NO_WAIT = 1;

/** Least time between two answers of the targets' watch, for many changes in quick succession. */
const TARGETS_PACE = 200;

/** How often a daemon that does not read looks whether it has to. */
const IDLE_PACE = 200;

/** The same for one that nobody has told anything yet, and which is not ready before. */
const START_PACE = 20;

/** Least time between two answers of the operators' watch, for configurations in quick succession. */
const OPERATORS_PACE = 150;

/** How long one watch of the operators' keys waits. A cut that nobody shows ends with it. */
const OPERATORS_WAIT = 4000;

/** The pause after a call that the store did not answer well, in milliseconds; each next one is longer. */
const FIRST_PAUSE = 200;

/** An outage longer than this may have made entries lapse. */
const LAPSE_OUTAGE = 1000;

/** Entries that lapsed in an outage are back within this time, or gone. */
const LAPSE_GRACE = 1900;

interface PendingRemoval {
  readonly revision: number;
  readonly due: number;
}

/** Pauses that grow with each failure in a row and are spread at random. */
class Backoff {
  #failures = 0;

  constructor(
    private readonly random: Random,
    private readonly readLongest: () => number,
  ) {}

  next(): number {
    const pause = Math.min(this.readLongest(), FIRST_PAUSE * 2 ** this.#failures);
    this.#failures += 1;
    return pause * (0.75 + this.random.next() / 2);
  }

  clear(): void {
    this.#failures = 0;
  }
}

/** The reader of one daemon. */
export class StoreReader {
  /** The revision after which the targets' changes are asked for; undefined when all are to be read. */
  #targetsAfter: number | undefined;

  #readAt = -Infinity;

  /** The revision after which changes of what the operators keep are asked for. */
  #operatorsAfter: number | undefined;

  #failingSince: number | undefined;

  #lapseUntil = -Infinity;

  readonly #pending = new Map<string, PendingRemoval>();

  /** Entries of targets that could not be decoded. */
  readonly #unreadable = new Set<string>();

  /** Keys of the operators that could not be decoded. */
  readonly #unreadableKeys = new Set<string>();

  constructor(private readonly options: StoreReaderOptions) {}

  /** The last moment at which this daemon itself saw that the store held nothing newer. */
  get readAt(): number {
    return this.#readAt;
  }

  /** Entries of targets and keys of the operators that can't be decoded now. */
  get unreadable(): number {
    return this.#unreadable.size + this.#unreadableKeys.size;
  }

  #readIdlePace(): number {
    return this.options.view.provenAt === -Infinity ? START_PACE : IDLE_PACE;
  }

  #prove(at: number): void {
    this.#readAt = Math.max(this.#readAt, at);
    this.options.view.prove(at);
    this.options.view.noteKnown({ targets: this.#targetsAfter ?? 0 });
  }

  /** Reads once, cheaply and perhaps seconds late, so that a starting daemon knows something. */
  async readStale(): Promise<void> {
    await Promise.all([this.#readAllOfOperators(true), this.#readAllTargets(true)]);
  }

  /** Reads until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#followTargets(signal), this.#followOperators(signal)]);
  }

  async #followTargets(signal: AbortSignal): Promise<void> {
    const { clock, isReader, random, readLongestPause } = this.options;
    const backoff = new Backoff(random, readLongestPause);
    while (!signal.aborted) {
      this.#settlePending();
      if (!isReader()) {
        await clock.sleep(this.#readIdlePace(), signal);
        continue;
      }
      const startedAt = clock.now();
      const read = await this.#readTargets();
      if (read) {
        backoff.clear();
        await clock.sleep(Math.max(0, startedAt + TARGETS_PACE - clock.now()), signal);
      } else {
        this.#noteFailure();
        await clock.sleep(backoff.next(), signal);
      }
    }
  }

  /** One reading of the targets; false when the store did not answer. */
  async #readTargets(): Promise<boolean> {
    const { store, view, clock } = this.options;
    const after = Math.max(this.#targetsAfter ?? 0, view.known.targets);
    if (after === 0) return this.#readAllTargets(false);
    const startedAt = clock.now();
    // Before the first proof nothing is served, so that watch only asks what came after a stale reading.
    const wait = this.#readAt === -Infinity ? NO_WAIT : TARGETS_WAIT;
    const answer = await store.watch(KEYS.targets, after, wait);
    switch (answer.kind) {
      case 'events':
        this.options.log.debug('store.watched', {
          ...{
            after,
            store_revision: answer.storeRevision,
            took: Math.round(clock.now() - startedAt),
          },
          events: answer.events
            .map((event) => (event.kind === 'written' ? event.item.revision : -event.revision))
            .join(','),
        });
        this.#noteSuccess();
        for (const event of answer.events) {
          if (event.kind === 'written') this.#takeTarget(event.item);
          else this.#takeRemoval(event.key, event.revision);
        }
        this.#targetsAfter = Math.max(after, answer.storeRevision);
        // Without news the answer was made at the end of the wait; with news at an unknown moment.
        this.#prove(answer.events.length === 0 ? startedAt + wait : startedAt);
        return true;
      case 'history-gone':
        this.options.log.warn('store.history-gone', { after });
        return this.#readAllTargets(false);
      case 'not-done':
      case 'unknown':
        this.options.log.warn('store.unanswered', {
          ...{ call: 'watch', prefix: KEYS.targets, reason: answer.reason },
          took: Math.round(clock.now() - startedAt),
        });
        return false;
      default:
        return answer satisfies never;
    }
  }

  async #readAllTargets(stale: boolean): Promise<boolean> {
    const { store, view, clock } = this.options;
    const startedAt = clock.now();
    const seen = new Set<string>();
    let firstRevision = 0;
    for (let after = ''; ;) {
      const page = await store.readItems(KEYS.targets, after, stale);
      if (page.kind !== 'items') {
        this.options.log.warn('store.unanswered', { call: 'range', reason: page.reason });
        return false;
      }
      if (firstRevision === 0) firstRevision = page.storeRevision;
      for (const item of page.items) {
        seen.add(item.key.slice(KEYS.targets.length));
        // Changes since the first page come by the watch, in their order: a view that is told of a later one first
        // passes on a position that hides the earlier ones from other daemons.
        if (item.revision <= firstRevision) this.#takeTarget(item);
      }
      const last = page.items.at(-1);
      if (!page.hasMore || last === undefined) break;
      after = last.key;
    }
    this.#targetsAfter = Math.max(this.#targetsAfter ?? 0, firstRevision);
    if (stale) return true;
    this.#noteSuccess();
    for (const { record, revision } of view.listTargets()) {
      if (seen.has(record.incarnation) || revision > firstRevision) continue;
      this.#takeRemoval(KEYS.targets + record.incarnation, firstRevision);
    }
    this.#prove(startedAt);
    return true;
  }

  #takeTarget(item: StoredItem): void {
    const { view, clock, log } = this.options;
    const incarnation = item.key.slice(KEYS.targets.length);
    const record = decodeTarget(incarnation, item.text);
    this.#pending.delete(incarnation);
    if ('kind' in record) {
      // Whoever wrote it, it names no target to use; told once, until it is good again.
      if (!this.#unreadable.has(incarnation)) {
        const { what, expected } = record;
        log.warn('target.unreadable', { incarnation, what, expected, revision: item.revision });
      }
      this.#unreadable.add(incarnation);
      view.removeTarget(incarnation, item.revision);
      return;
    }
    this.#unreadable.delete(incarnation);
    view.putTarget(record, item.revision, clock.now());
  }

  /** Entries that lapsed while the store was away come back; until that is clear they stay in use. */
  #takeRemoval(key: string, revision: number): void {
    const incarnation = key.slice(KEYS.targets.length);
    this.#unreadable.delete(incarnation);
    const now = this.options.clock.now();
    if (now < this.#lapseUntil) {
      this.#pending.set(incarnation, { revision, due: this.#lapseUntil });
      return;
    }
    this.options.view.removeTarget(incarnation, revision);
  }

  #settlePending(): void {
    const { clock, view, log } = this.options;
    const now = clock.now();
    for (const [incarnation, { revision, due }] of this.#pending) {
      if (now < due) continue;
      this.#pending.delete(incarnation);
      log.info('target.lapsed', { incarnation, revision });
      // Others have heard of a later revision meanwhile, so the removal is told as of now.
      view.removeTarget(incarnation, Math.max(revision, view.position.targets, view.known.targets));
    }
  }

  #noteSuccess(): void {
    const { clock, log } = this.options;
    if (this.#failingSince === undefined) return;
    const outage = clock.now() - this.#failingSince;
    this.#failingSince = undefined;
    log.info('store.regained', { outage: Math.round(outage) });
    if (outage >= LAPSE_OUTAGE) this.#lapseUntil = clock.now() + LAPSE_GRACE;
    // A watch that waited through the outage may have lost its answer.
    this.#readAllOfOperators(false).catch((error: Error) => {
      log.error('store.broken', { error: error.message });
    });
  }

  #noteFailure(): void {
    const { clock, log } = this.options;
    if (this.#failingSince !== undefined) return;
    this.#failingSince = clock.now();
    log.warn('store.lost', { proven_age: Math.round(clock.now() - this.options.view.provenAt) });
  }

  async #followOperators(signal: AbortSignal): Promise<void> {
    const { clock, isReader, random, readLongestPause } = this.options;
    const backoff = new Backoff(random, readLongestPause);
    while (!signal.aborted) {
      if (!isReader()) {
        await clock.sleep(this.#readIdlePace(), signal);
        continue;
      }
      const read = await this.#readOperators();
      if (read) backoff.clear();
      await clock.sleep(read ? OPERATORS_PACE : backoff.next(), signal);
    }
  }

  /** One reading of what the operators keep; false when the store did not answer, or nothing is there. */
  async #readOperators(): Promise<boolean> {
    const { store, view, clock } = this.options;
    const after = Math.max(this.#operatorsAfter ?? 0, view.known.operators);
    if (after === 0 || view.table === undefined) return this.#readAllOfOperators(false);
    const startedAt = clock.now();
    const answer = await store.watch(KEYS.operators, after, OPERATORS_WAIT);
    switch (answer.kind) {
      case 'events':
        for (const event of answer.events) this.#takeOperatorsEvent(event);
        this.#noteOperatorsKnown(Math.max(after, answer.storeRevision));
        view.proveOperators(answer.events.length === 0 ? startedAt + OPERATORS_WAIT : startedAt);
        return true;
      case 'history-gone':
        return this.#readAllOfOperators(false);
      case 'not-done':
      case 'unknown':
        this.options.log.warn('store.unanswered', {
          ...{ call: 'watch', prefix: KEYS.operators, reason: answer.reason },
          took: Math.round(clock.now() - startedAt),
        });
        return false;
      default:
        return answer satisfies never;
    }
  }

  /** Reads all that the operators keep. They have a configuration before anybody calls; until then asks again soon. */
  async #readAllOfOperators(stale: boolean): Promise<boolean> {
    const { store, view, clock } = this.options;
    const startedAt = clock.now();
    const keys: string[] = [];
    let firstRevision = 0;
    let hasConfiguration = false;
    for (let after = ''; ;) {
      const page = await store.readItems(KEYS.operators, after, stale);
      if (page.kind !== 'items') return false;
      if (firstRevision === 0) firstRevision = page.storeRevision;
      for (const item of page.items) {
        if (item.key === KEYS.configuration) hasConfiguration = true;
        this.#takeConfiguration(item);
        keys.push(item.key);
      }
      const last = page.items.at(-1);
      if (!page.hasMore || last === undefined) break;
      after = last.key;
    }
    // Later pages may be newer than the first; what changed since then is heard of again, from there on.
    view.setEvacuations({ domains: this.#listDomains(keys), revision: firstRevision });
    if (!stale) {
      this.#noteOperatorsKnown(firstRevision);
      view.proveOperators(startedAt);
    }
    return hasConfiguration;
  }

  #noteOperatorsKnown(revision: number): void {
    this.#operatorsAfter = Math.max(this.#operatorsAfter ?? 0, revision);
    this.options.view.noteKnown({ operators: this.#operatorsAfter });
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

  #takeOperatorsEvent(event: StoreEvent): void {
    const { view } = this.options;
    const isWritten = event.kind === 'written';
    if (isWritten) this.#takeConfiguration(event.item);
    const [key, revision] = isWritten
      ? [event.item.key, event.item.revision]
      : [event.key, event.revision];
    if (!isWritten) this.#unreadableKeys.delete(key);
    const domain = this.#readDomain(key);
    if (domain === undefined) return;
    const others = view.evacuations.domains.filter((known) => known !== domain);
    view.setEvacuations({ domains: isWritten ? [...others, domain] : others, revision });
  }

  #takeConfiguration(item: StoredItem): void {
    if (item.key !== KEYS.configuration) return;
    this.options.view.setConfiguration(item.text, item.revision);
  }
}
