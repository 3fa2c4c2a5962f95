/**
 * A fleet of daemons that exchange what the store holds, in one process and on a clock that the
 * test advances.
 */
import { setMaxListeners } from 'node:events';
import { KnowledgeExchange } from '../../src/gateway/fleet/knowledge-exchange.js';
import { ManualClock, createSeededRandom, createSilentLog } from '../../src/kernel/index.js';
import {
  KEYS,
  type KvReader,
  type StoreEvent,
  type StoredItem,
  type WatchAnswer,
} from '../../src/platform/index.js';
import { type FeedRequest, ReaderRole, Roster } from '../../src/peering/index.js';
import { writeConfiguration, writeTarget } from '../../src/standin/index.js';
import { FleetView, StoreReader, planPropagation } from '../../src/view/index.js';

/** The promised time from the acknowledgement of a change until it is in force everywhere. */
export const PROPAGATION_LIMIT_MS = 2000;

const ADDRESS = { host: '10.0.0.9', port: 80 };

/** How long a call to the store waits for an answer, in addition to a watch's own timeout. */
const STORE_TIMEOUT_MS = 1000;

/** How long a fetch from another daemon waits for a response. */
const FEED_TIMEOUT_MS = 600;

const READER_COUNT = 2;

/** Delays in a fleet, in milliseconds. */
export interface FleetFaults {
  /** One-way delay between two daemons. */
  readonly link?: number;
  /** One-way delay to or from the store, its processing included. */
  readonly store?: number;
  /** How long a received message waits until the daemon handles it. */
  readonly lag?: number;
}

type Wake = () => void;

/**
 * A store in memory. It answers no call of a daemon that was disconnected at any time during the
 * call.
 */
class MemoryStore {
  readonly items = new Map<string, StoredItem>();

  readonly events: StoreEvent[] = [];

  readonly #waiters = new Set<Wake>();

  /** The number of calls by each daemon. */
  readonly calls = new Map<string, number>();

  #revision = 0;

  #disconnectedUntil = new Map<string, number>();

  constructor(
    private readonly clock: ManualClock,
    private readonly delay: number,
  ) {}

  put(key: string, text: string): void {
    this.#revision += 1;
    const item = { key, text, revision: this.#revision };
    this.items.set(key, item);
    this.events.push({ kind: 'written', item });
    for (const wake of [...this.#waiters]) wake();
  }

  /** Cuts a daemon off: it gets no answer until it is reconnected. */
  disconnect(ip: string): void {
    this.#disconnectedUntil.set(ip, Infinity);
  }

  reconnect(ip: string): void {
    this.#disconnectedUntil.set(ip, this.clock.now());
  }

  /** Whether a call sent at a given time gets no answer. */
  #isLost(ip: string, sentAt: number): boolean {
    const until = this.#disconnectedUntil.get(ip) ?? -Infinity;
    return until === Infinity || sentAt <= until;
  }

  createReader(ip: string): KvReader {
    const call = async <T>(wait: number, answer: () => Promise<T>) => {
      const sentAt = this.clock.now();
      this.calls.set(ip, (this.calls.get(ip) ?? 0) + 1);
      await this.clock.sleep(this.delay);
      const result = await answer();
      await this.clock.sleep(this.delay);
      if (!this.#isLost(ip, sentAt)) return result;
      await this.clock.sleep(Math.max(0, sentAt + wait + STORE_TIMEOUT_MS - this.clock.now()));
      return { kind: 'unknown' as const, reason: 'timeout' };
    };
    return {
      readItem: () => call(0, async () => ({ kind: 'absent' as const })),
      readItems: (prefix) =>
        call(0, async () => ({
          ...{ kind: 'items' as const, storeRevision: this.#revision, hasMore: false },
          items: [...this.items.values()].filter(({ key }) => key.startsWith(prefix)),
        })),
      watch: (prefix, after, wait) => call(wait, () => this.#watch(prefix, after, wait)),
    };
  }

  async #watch(prefix: string, after: number, wait: number): Promise<WatchAnswer> {
    const list = () =>
      this.events.filter(
        (it) => it.kind === 'written' && it.item.revision > after && it.item.key.startsWith(prefix),
      );
    if (list().length === 0) {
      await new Promise<void>((resolve) => {
        const timer = this.clock.schedule(wait, resolve);
        const wake = () => {
          if (list().length === 0) return;
          this.#waiters.delete(wake);
          timer.cancel();
          resolve();
        };
        this.#waiters.add(wake);
      });
    }
    return { kind: 'events', events: list(), storeRevision: this.#revision };
  }
}

/** One daemon: its view, its roster, and the exchange that keeps them up to date. */
class TestDaemon {
  readonly view: FleetView;

  readonly roster: Roster;

  /** When each version of the configuration came into force here. */
  readonly adopted = new Map<number, number>();

  isGone = false;

  readonly #exchange: KnowledgeExchange;

  readonly #reader: StoreReader;

  constructor(
    readonly ip: string,
    private readonly fleet: TestFleet,
    seed: number,
  ) {
    const { clock } = fleet;
    const self = { ip, domain: `d${seed % 3}`, capacity: 1, isSenior: true };
    this.view = new FleetView({
      onTable: ({ version }) => this.adopted.set(version, clock.now()),
      onTarget: () => undefined,
      onEvacuations: () => undefined,
      onFault: () => undefined,
    });
    const { view } = this;
    this.roster = new Roster({
      clock,
      self,
      readSelfState: () => 'ready',
      minHomes: 3,
      minHomeCapacity: 1,
    });
    const duty = new ReaderRole(
      clock,
      {
        isDesignated: () => this.isReader,
        isNearHomes: () => this.roster.isNearHomes(),
      },
      () => fleet.times,
    );
    duty.recordServing();
    this.#reader = new StoreReader({
      ...{ store: fleet.store.createReader(ip), view, clock, log: createSilentLog() },
      ...{ random: createSeededRandom(seed), isReader: () => duty.isReader() },
      ...{ getMaxBackoff: () => duty.getMaxBackoff(), getReadDelay: () => duty.getReadDelay() },
      getWatchTimeout: () => fleet.times.watchTimeout,
    });
    this.#exchange = new KnowledgeExchange({
      ...{ clock, self: ip, view, roster: this.roster, reader: this.#reader, readerRole: duty },
      feed: {
        fetchChanges: (from: string, request: FeedRequest) => fleet.fetch(this, from, request),
        fetchMembers: () => Promise.resolve(true),
      } as never,
      listPoisonReports: () => [],
    });
  }

  /** Whether it is one of the daemons that read the store for all. */
  get isReader(): boolean {
    const readers = this.roster.listHomes().slice(0, READER_COUNT);
    return readers.some(({ ip }) => ip === this.ip);
  }

  run(signal: AbortSignal): void {
    this.#reader.run(signal).catch(() => undefined);
    this.#pollPeers(signal).catch(() => undefined);
  }

  async #pollPeers(signal: AbortSignal): Promise<void> {
    const { clock } = this.fleet;
    while (!signal.aborted) {
      for (const { ip } of this.roster.listToPoll()) {
        this.#poll(ip).catch(() => undefined);
      }
      const { nearPollInterval, remotePollInterval } = this.fleet.times;
      await clock.sleep(this.roster.isNearHomes() ? nearPollInterval : remotePollInterval, signal);
    }
  }

  async #poll(ip: string): Promise<void> {
    const { clock } = this.fleet;
    const polledAt = clock.now();
    const other = this.fleet.find(ip);
    await this.fleet.delayMessage();
    if (other.isGone) return;
    const knowledge = other.#exchange.read();
    const presences = other.roster.listPresences();
    await this.fleet.delayMessage();
    if (this.isGone) return;
    const elapsed = clock.now() - polledAt;
    this.roster.recordStatus({ ip, domain: other.domain, capacity: 1, isSenior: true }, IDLE);
    for (const presence of presences) {
      this.roster.mergePresence({ ...presence, age: presence.age + elapsed });
    }
    const { lastRead, proofAge } = knowledge;
    await this.#exchange.receive(
      { ip, domain: other.domain, capacity: 1, isSenior: true },
      {
        ...{ ...knowledge, proofAge: proofAge + elapsed },
        lastRead: lastRead && { ...lastRead, age: lastRead.age + elapsed },
      },
    );
  }

  get domain(): string {
    return this.roster.list().find(({ ip }) => ip === this.ip)?.domain ?? '';
  }
}

const IDLE = { state: 'ready', utilisation: 0, pollers: 0 } as const;

/** Nine daemons in three failure domains, and their store. */
export class TestFleet {
  readonly clock = new ManualClock();

  readonly times = planPropagation(PROPAGATION_LIMIT_MS);

  readonly store: MemoryStore;

  readonly daemons: readonly TestDaemon[];

  readonly #running = new AbortController();

  constructor(
    seed: number,
    private readonly faults: FleetFaults = {},
  ) {
    const { store = 2 } = faults;
    this.store = new MemoryStore(this.clock, store);
    this.configure(1);
    this.store.put(`${KEYS.targets}i`, writeTarget(ADDRESS));
    const ips = Array.from({ length: 9 }, (_, index) => `10.0.${seed}.${index + 1}`);
    this.daemons = ips.map((ip, index) => new TestDaemon(ip, this, 10 * seed + index));
    for (const { roster } of this.daemons) {
      for (const { ip, domain } of this.daemons) {
        roster.addMember({ ip, domain, capacity: 1, isSenior: true });
        roster.recordStatus({ ip, domain, capacity: 1, isSenior: true }, IDLE);
      }
    }
    setMaxListeners(0, this.#running.signal);
    for (const daemon of this.daemons) daemon.run(this.#running.signal);
  }

  configure(version: number): void {
    this.store.put(KEYS.configuration, writeConfiguration(version, [{ prefix: '/a/' }]));
  }

  /** Writes the target's entry with the state `draining`. */
  drain(): void {
    this.store.put(`${KEYS.targets}i`, writeTarget(ADDRESS, { state: 'draining' }));
  }

  find(ip: string): TestDaemon {
    const found = this.daemons.find((daemon) => daemon.ip === ip);
    if (found === undefined) throw new Error(`no daemon has the address ${ip}`);
    return found;
  }

  /** The daemons that read the store for all. */
  listReaders(): readonly TestDaemon[] {
    return this.daemons.filter(({ isReader }) => isReader);
  }

  /** Waits for as long as a message takes from one daemon until another one handles it. */
  async delayMessage(): Promise<void> {
    const { link = 1, lag = 0 } = this.faults;
    await this.clock.sleep(link + lag);
  }

  async fetch(to: TestDaemon, from: string, { position }: FeedRequest): Promise<boolean> {
    const other = this.find(from);
    const startedAt = this.clock.now();
    // The first two messages open the connection.
    for (let message = 0; message < 3; message += 1) await this.delayMessage();
    if (other.isGone) {
      await this.clock.sleep(Math.max(0, startedAt + FEED_TIMEOUT_MS - this.clock.now()));
      return false;
    }
    const delta = other.view.diffSince(position, this.clock.now());
    await this.delayMessage();
    to.view.applyDelta(delta, this.clock.now());
    return true;
  }

  stop(): void {
    this.#running.abort();
  }
}
