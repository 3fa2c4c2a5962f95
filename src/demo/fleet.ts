/** Several daemons inside one process, on a store and a transport that can be made to fail. */
import {
  type Address,
  type Clock,
  Kernel,
  ManualClock,
  type Network,
  clockService,
  createSeededRandom,
  createSilentLog,
  createSilentMetrics,
  createSystemClock,
  createTcpNetwork,
  formatAddress,
  logService,
  metricsService,
  networkService,
  randomService,
} from '../kernel/index.js';
import { hashText, type Manifest, buildTextKey, HEAD_KEY } from '../config/index.js';
import { Entry, type EntryOptions } from '../entry/index.js';
import { MemoryTransports, peerTransportService } from '../peer/index.js';
import { type Platform, platformService } from '../platform/index.js';
import { checkEntrySettings } from '../settings/index.js';
import {
  Store,
  type TargetServer,
  type TargetServerOptions,
  createStorePlatform,
  startTarget,
} from '../standin/index.js';

export const SECRET = 'a-secret-of-the-tests';

/** The text of a service document with one pool of the given targets. */
export function writeService(targets: readonly Address[], more = '', pool = ''): string {
  const list = targets.map(formatAddress).join(', ');
  return `[service]\nhosts = test.example\n${more}\n[pool]\ntargets = ${list}\nslots = 4\n${pool}\n`;
}

/** Puts documents into a store as if they had been accepted. */
export function putDocuments(store: Store, documents: Readonly<Record<string, string>>): void {
  const found = store.read(HEAD_KEY);
  const item = found.kind === 'found' ? found.item : undefined;
  const before = item === undefined ? undefined : (JSON.parse(item.value) as Manifest);
  const hashes: Record<string, string> = { ...before?.documents };
  for (const [name, text] of Object.entries(documents)) {
    hashes[name] = hashText(text);
    store.swap({ key: buildTextKey(hashText(text)), value: text, expect: 0 });
  }
  const revision = (before?.revision ?? 0) + 1;
  const edits = Object.entries(hashes).map(([name, after]) => ({ name, before: 'none', after }));
  const record = {
    ...{ revision, change: `test-${revision}`, author: 'test', acceptedBy: 'test' },
    ...{ message: '', at: 0, edits },
  };
  const records = [...(before?.records ?? []), record];
  const manifest: Manifest = { revision, documents: hashes, records, archived: 0 };
  const expect = item?.version ?? 0;
  store.swap({ key: HEAD_KEY, value: JSON.stringify(manifest), expect });
}

/** What a test daemon is made from. */
export interface FleetOptions {
  readonly clock?: ManualClock;
  readonly network?: Network;
  readonly settings?: string;
  readonly entry?: EntryOptions;
}

/** Several daemons in this process that share a store and a transport. */
export class Fleet {
  readonly clock: Clock;

  readonly store: Store;

  readonly transports = new MemoryTransports();

  readonly entries: Entry[] = [];

  readonly targets: TargetServer[] = [];

  #count = 0;

  constructor(private readonly options: FleetOptions = {}) {
    this.clock = options.clock ?? createSystemClock();
    this.store = new Store(this.clock);
  }

  /** Starts a daemon; its platform can be wrapped to cut it off alone. */
  async start(
    domain = 'hu/a',
    wrap: (platform: Platform) => Platform = (platform) => platform,
  ): Promise<Entry> {
    this.#count += 1;
    const peers = `127.0.1.${this.#count}:1`;
    const ports = this.options.network === undefined ? '0' : String(this.#count);
    const text = `[entry]\nname = e${this.#count}\nfailure_domain = ${domain}\ncallers = 127.0.0.1:${ports}
peers = ${peers}\nrelay = 127.0.0.2:${ports}\nadmin = 127.0.0.1:0\n
[platform]\naddress = 127.0.0.1:1\ncalls_per_second = 1000
[security]\npeer_secret = ${SECRET}\noperator_credential = none\n[log]\nlevel = silent\n${this.options.settings ?? ''}`;
    const settings = checkEntrySettings('test', text).unsafeCoerce();
    const kernel = new Kernel()
      .provide(clockService, this.clock)
      .provide(randomService, createSeededRandom(this.#count))
      .provide(networkService, this.options.network ?? createTcpNetwork())
      .provide(logService, createSilentLog())
      .provide(metricsService, createSilentMetrics())
      .provide(platformService, wrap(createStorePlatform(this.store, this.clock)))
      .provide(peerTransportService, this.transports.create(peers));
    this.store.putVm({
      address: { host: `127.0.1.${this.#count}`, port: 1 },
      ...{ role: 'entry', domain, state: 'live' },
    });
    const entry = new Entry(kernel, settings, this.options.entry);
    this.entries.push(entry);
    await entry.start();
    return entry;
  }

  /** Starts a stand-in target. */
  async startTarget(options: Partial<TargetServerOptions> = {}): Promise<TargetServer> {
    const target = await startTarget({
      ...{ address: { host: '127.0.0.1', port: 0 }, slots: 4, serviceTime: 2, queueLimit: 100 },
      ...{ random: createSeededRandom(7), ...options },
    });
    this.targets.push(target);
    return target;
  }

  close(): void {
    for (const entry of this.entries) entry.destroy();
    for (const target of this.targets) target.close();
  }
}
