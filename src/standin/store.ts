/**
 * The state of the stand-in for the platform's store: items, revisions, leases, history and faults.
 *
 * It represents an outside service in demos and tests; no part of the product depends on it.
 */
import { type Clock, type Timer, formatAddress } from '../kernel/index.js';
import {
  KEYS,
  type LeaseResult,
  MAX_VALUE_BYTES,
  type Platform,
  type ReadResult,
  type Removal,
  type StoredValue,
  type CompareAndSwap,
  TokenBucket,
  type Vm,
  type WatchResult,
  type WriteResult,
} from '../platform/index.js';

/** A fault of the store. It lasts until it is replaced by `none`. */
export type Fault =
  | { readonly kind: 'none' }
  /** Every connection is reset. */
  | { readonly kind: 'down' }
  /** No call is answered. */
  | { readonly kind: 'silent' }
  /** Every call is refused with 503 and has no effect. */
  | { readonly kind: 'busy' }
  /** Every call is refused with 429, as over the rate limit. */
  | { readonly kind: 'many' }
  /** Every call is served after `delay` milliseconds. */
  | { readonly kind: 'slow'; readonly delay: number }
  /** Writes take effect, after `after` milliseconds if given, and are never answered. */
  | { readonly kind: 'lose-write-replies'; readonly after?: number }
  /** Watches receive no changes. */
  | { readonly kind: 'skip-watches' }
  /** Pending watches are closed once, when the fault begins. */
  | { readonly kind: 'close-watches' }
  /** Stale reads and the list of VMs return what the store held when the fault began. */
  | { readonly kind: 'stale' };

/** The kinds of {@link Fault}, for checking input. */
export const FAULT_KINDS: readonly Fault['kind'][] = [
  ...(['none', 'down', 'silent', 'busy', 'many', 'slow', 'lose-write-replies'] as const),
  ...(['skip-watches', 'close-watches', 'stale'] as const),
];

/**
 * The rate limits of the store, per second, for all callers together. The defaults are those of the
 * real service.
 */
export interface StoreRates {
  readonly writes: number;
  readonly reads: number;
}

const DEFAULT_RATES: StoreRates = { writes: 400, reads: 2000 };

/** Tokens of the rate of reads that a renewal of a lease takes. */
const RENEWAL_READ_TOKENS = 0.1;

/** The number of latest changes that are kept for watches, at least. */
const MIN_HISTORY_CHANGES = 5000;

/** A stored item with its bookkeeping. */
export interface StoreItem extends StoredValue {
  readonly createdAt: number;
  /** Empty when the item has no lease. */
  readonly lease: string;
}

/** A change that a watch reports; `item` is undefined for a removal. */
export interface StoreChange {
  readonly key: string;
  readonly version: number;
  readonly item: StoreItem | undefined;
}

interface Watcher {
  readonly prefix: string;
  readonly resolve: (result: WatchResult) => void;
}

interface Lease {
  readonly ttl: number;
  readonly timer: Timer;
}

/** The stand-in's store, in memory. */
export class Store {
  readonly #items = new Map<string, StoreItem>();

  #staleItems: ReadonlyMap<string, StoreItem> = new Map();

  #history: StoreChange[] = [];

  /** Changes up to this version are no longer in the history. */
  #historyFloor = 0;

  readonly #leases = new Map<string, Lease>();

  #watchers: readonly Watcher[] = [];

  #version = 0;

  #leaseCount = 0;

  readonly #writes: TokenBucket;

  readonly #reads: TokenBucket;

  /** The fault in force. */
  fault: Fault = { kind: 'none' };

  /** Calls admitted (reads, writes) and refused since the start, and the watches pending now. */
  readonly counts = { reads: 0, writes: 0, refused: 0, watching: 0 };

  constructor(
    private readonly clock: Clock,
    rates: StoreRates = DEFAULT_RATES,
  ) {
    this.#writes = new TokenBucket(rates.writes, rates.writes, clock);
    this.#reads = new TokenBucket(rates.reads, rates.reads, clock);
  }

  /** The version of the last change. */
  get version(): number {
    return this.#version;
  }

  /** Sets the fault in force, and ends pending watches if the fault closes them. */
  setFault(fault: Fault): void {
    this.#staleItems = new Map(this.#items);
    this.fault = fault;
    if (fault.kind === 'close-watches' || fault.kind === 'down') {
      this.#settleWatchers(() => true, { kind: 'unavailable', reason: 'closed' });
    }
  }

  /** Takes a token from the rate of reads or writes; false when the rate is exceeded. */
  admit(kind: 'read' | 'write' | 'renewal'): boolean {
    const bucket = kind === 'write' ? this.#writes : this.#reads;
    if (!bucket.take(kind === 'renewal' ? RENEWAL_READ_TOKENS : 1)) {
      this.counts.refused += 1;
      return false;
    }
    this.counts[kind === 'write' ? 'writes' : 'reads'] += 1;
    return true;
  }

  /** Reads an item; `isStale` allows a stale answer. */
  read(key: string, isStale = false): ReadResult {
    const item = this.#getItems(isStale).get(key);
    return item === undefined ? { kind: 'absent' } : { kind: 'found', item };
  }

  /** Reads all items under a prefix, in the order of their keys. */
  range(
    prefix: string,
    isStale = false,
  ): { readonly items: readonly StoreItem[]; readonly version: number } {
    const items = [...this.#getItems(isStale || prefix === KEYS.vms).values()]
      .filter((item) => item.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { items, version: this.#version };
  }

  /** Writes an item if its version is `expect`; 0 means that there is no such item. */
  swap({ key, value, expect, lease = '' }: CompareAndSwap): WriteResult {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) return { kind: 'refused', reason: 'too large' };
    if (lease !== '' && !this.#leases.has(lease)) {
      return { kind: 'refused', reason: 'no such lease' };
    }
    const current = this.#items.get(key);
    if ((current?.version ?? 0) !== expect) return { kind: 'conflict', current };
    this.put(key, value, lease);
    return { kind: 'written', version: this.#version };
  }

  /** Removes an item if its version is `expect`. */
  remove({ key, expect }: Removal): WriteResult {
    const current = this.#items.get(key);
    if ((current?.version ?? 0) !== expect) return { kind: 'conflict', current };
    this.drop(key);
    return { kind: 'written', version: this.#version };
  }

  /** Writes an item without a version check, as its owner would, and returns its version. */
  put(key: string, value: string, lease = ''): number {
    this.#version += 1;
    const version = this.#version;
    const createdAt = this.#items.get(key)?.createdAt ?? version;
    const item = { key, value, version, createdAt, lease };
    this.#items.set(key, item);
    this.#recordChange({ key, version, item });
    return version;
  }

  /** Removes an item without a version check, as its owner would. */
  drop(key: string): void {
    this.#version += 1;
    if (!this.#items.delete(key)) return;
    this.#recordChange({ key, version: this.#version, item: undefined });
  }

  /** Grants a new lease for `ttl` milliseconds. */
  grantLease(ttl: number): LeaseResult {
    this.#leaseCount += 1;
    const lease = String(this.#leaseCount);
    this.#setLease(lease, ttl);
    return { kind: 'held', lease, ttl };
  }

  /** Renews a lease for its full time, unless it has lapsed. */
  renewLease(lease: string): LeaseResult {
    const current = this.#leases.get(lease);
    if (current === undefined) return { kind: 'lapsed' };
    current.timer.cancel();
    this.#setLease(lease, current.ttl);
    return { kind: 'held', lease, ttl: current.ttl };
  }

  /** Ends a lease as if its time had run out, and removes its items. */
  lapseLease(lease: string): void {
    this.#leases.get(lease)?.timer.cancel();
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.drop(item.key);
    }
  }

  /** Ends every lease, as a store does that was down for long. */
  lapseAll(): void {
    for (const lease of [...this.#leases.keys()]) this.lapseLease(lease);
  }

  /** Drops the history, so that older watches have to read again. */
  compact(): void {
    this.#history = [];
    this.#historyFloor = this.#version;
  }

  /**
   * Lists the changes under a prefix after a version; undefined when the history doesn't reach back
   * that far.
   */
  listChanges(prefix: string, after: number): readonly StoreChange[] | undefined {
    if (after < this.#historyFloor) return undefined;
    return this.#history.filter(({ key, version }) => version > after && key.startsWith(prefix));
  }

  /**
   * Waits until something under `prefix` has changed since version `after`, for at most `wait`
   * milliseconds.
   */
  watch(
    prefix: string,
    after: number,
    { wait, signal }: { readonly wait: number; readonly signal: AbortSignal },
  ): Promise<WatchResult> {
    const changes = this.listChanges(prefix, after);
    if (changes === undefined) return Promise.resolve({ kind: 'gap' });
    if (changes.length > 0 && this.fault.kind !== 'skip-watches') {
      return Promise.resolve({ kind: 'changed', version: this.#version });
    }
    return new Promise((resolve) => {
      const timer = this.clock.schedule(wait, () => waiter.resolve({ kind: 'quiet' }));
      const waiter: Watcher = {
        prefix,
        resolve: (result) => {
          timer.cancel();
          this.#watchers = this.#watchers.filter((other) => other !== waiter);
          this.counts.watching = this.#watchers.length;
          resolve(result);
        },
      };
      this.#watchers = [...this.#watchers, waiter];
      this.counts.watching = this.#watchers.length;
      signal.addEventListener('abort', () => waiter.resolve({ kind: 'quiet' }), { once: true });
    });
  }

  /** Adds a VM, or replaces the one at its address. */
  putVm(vm: Vm): void {
    this.put(KEYS.vms + formatAddress(vm.address), JSON.stringify(vm));
  }

  /** Removes the VM at an address `a.b.c.d:port`. */
  removeVm(address: string): void {
    this.drop(KEYS.vms + address);
  }

  /** Lists the VMs. */
  listVms(): readonly Vm[] {
    return this.range(KEYS.vms).items.map(({ value }) => JSON.parse(value) as Vm);
  }

  #getItems(isStale: boolean): ReadonlyMap<string, StoreItem> {
    return isStale && this.fault.kind === 'stale' ? this.#staleItems : this.#items;
  }

  #setLease(lease: string, ttl: number): void {
    const timer = this.clock.schedule(ttl, () => this.lapseLease(lease));
    this.#leases.set(lease, { ttl, timer });
  }

  #recordChange(change: StoreChange): void {
    this.#history.push(change);
    if (this.#history.length > 2 * MIN_HISTORY_CHANGES) this.#forgetOldest();
    if (this.fault.kind === 'skip-watches') return;
    this.#settleWatchers((waiter) => change.key.startsWith(waiter.prefix), {
      kind: 'changed',
      version: this.#version,
    });
  }

  #forgetOldest(): void {
    const removed = this.#history.splice(0, MIN_HISTORY_CHANGES);
    this.#historyFloor = removed.at(-1)?.version ?? this.#historyFloor;
  }

  #settleWatchers(matches: (waiter: Watcher) => boolean, result: WatchResult): void {
    for (const waiter of this.#watchers.filter(matches)) waiter.resolve(result);
  }
}

/** The faults in which no call is served. */
const FAULTS_WITHOUT_SERVICE: ReadonlySet<Fault['kind']> = new Set([
  'down',
  'silent',
  'busy',
  'many',
]);

/**
 * Creates a platform that calls a store in this process, and applies the store's faults and rates.
 * Watches wait for at most `watchWait` milliseconds.
 */
export function createStorePlatform(store: Store, clock: Clock, watchWait = 20_000): Platform {
  const down = { kind: 'unavailable', reason: 'down' } as const;
  const prepare = async (kind: 'read' | 'write'): Promise<boolean> => {
    if (store.fault.kind === 'slow') await clock.sleep(store.fault.delay);
    return !FAULTS_WITHOUT_SERVICE.has(store.fault.kind) && store.admit(kind);
  };
  const write = async (apply: () => WriteResult): Promise<WriteResult> => {
    if (!(await prepare('write'))) return { kind: 'refused', reason: 'down' };
    const result = apply();
    const isReplyLost = store.fault.kind === 'lose-write-replies';
    return isReplyLost ? { kind: 'unknown', reason: 'reply lost' } : result;
  };
  return {
    read: async (key) => ((await prepare('read')) ? store.read(key) : down),
    range: async (prefix) =>
      (await prepare('read')) ? { kind: 'items', ...store.range(prefix) } : down,
    swap: (swap) => write(() => store.swap(swap)),
    remove: (removal) => write(() => store.remove(removal)),
    grantLease: async (ttl) => ((await prepare('write')) ? store.grantLease(ttl) : down),
    renewLease: async (lease) => ((await prepare('write')) ? store.renewLease(lease) : down),
    watch: async (prefix, after, signal) =>
      (await prepare('read')) ? store.watch(prefix, after, { wait: watchWait, signal }) : down,
    vms: async () => ((await prepare('read')) ? { kind: 'vms', vms: store.listVms() } : down),
  };
}
