/**
 * The state of the platform stand-in: versions, leases, watches, the VM list and its faults.
 *
 * It stands for an outside service in demos and tests; no part of the product depends on it.
 */
import { type Clock, type Timer, formatAddress } from '../kernel/index.js';
import {
  type LeaseResult,
  MAX_VALUE_BYTES,
  type Platform,
  type ReadResult,
  type Removal,
  type Stored,
  type Swap,
  TokenBucket,
  type Vm,
  type WatchResult,
  type WriteResult,
} from '../platform/index.js';

/** A fault of the platform. Each stays until it is replaced by `none`. */
export type Fault =
  | { readonly kind: 'none' }
  | { readonly kind: 'down' }
  | { readonly kind: 'slow'; readonly delay: number }
  | { readonly kind: 'lose-write-replies' }
  | { readonly kind: 'skip-watches' }
  | { readonly kind: 'close-watches' }
  | { readonly kind: 'stale-vms' };

/** The kinds of {@link Fault}, for checking input. */
export const FAULT_KINDS: readonly Fault['kind'][] = [
  ...(['none', 'down', 'slow', 'lose-write-replies'] as const),
  ...(['skip-watches', 'close-watches', 'stale-vms'] as const),
];

/** The rates of the real service, per second, for all callers together. */
export interface StoreRates {
  readonly writes: number;
  readonly reads: number;
}

const DEFAULT_RATES: StoreRates = { writes: 300, reads: 2000 };

interface Waiter {
  readonly prefix: string;
  readonly resolve: (result: WatchResult) => void;
}

interface Lease {
  readonly ttl: number;
  readonly timer: Timer;
}

/** The stand-in's store. */
export class Store {
  readonly #items = new Map<string, Stored & { readonly lease: string | undefined }>();

  readonly #changed = new Map<string, number>();

  readonly #leases = new Map<string, Lease>();

  #waiters: readonly Waiter[] = [];

  #vms = new Map<string, Vm>();

  #staleVms: readonly Vm[] = [];

  #version = 0;

  #leaseCount = 0;

  readonly #writes: TokenBucket;

  readonly #reads: TokenBucket;

  /** The fault in force. */
  fault: Fault = { kind: 'none' };

  /** Calls answered and refused since the start. */
  readonly counts = { reads: 0, writes: 0, refused: 0, watching: 0 };

  constructor(
    private readonly clock: Clock,
    rates: StoreRates = DEFAULT_RATES,
  ) {
    this.#writes = new TokenBucket(rates.writes, rates.writes, clock);
    this.#reads = new TokenBucket(rates.reads, rates.reads, clock);
  }

  /** Sets the fault in force and ends what it ends. */
  setFault(fault: Fault): void {
    this.#staleVms = [...this.#vms.values()];
    this.fault = fault;
    if (fault.kind === 'close-watches' || fault.kind === 'down') {
      this.#settleWaiters(() => true, { kind: 'unavailable', reason: 'closed' });
    }
  }

  /** Takes one token of the rate for reads or writes; false when the rate is exceeded. */
  admit(kind: 'read' | 'write'): boolean {
    const bucket = kind === 'read' ? this.#reads : this.#writes;
    if (!bucket.take()) {
      this.counts.refused += 1;
      return false;
    }
    this.counts[kind === 'read' ? 'reads' : 'writes'] += 1;
    return true;
  }

  read(key: string): ReadResult {
    const item = this.#items.get(key);
    return item === undefined ? { kind: 'absent' } : { kind: 'found', item };
  }

  range(prefix: string): { readonly items: readonly Stored[]; readonly version: number } {
    const items = [...this.#items.values()]
      .filter((item) => item.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { items, version: this.#version };
  }

  swap({ key, value, expect, lease }: Swap): WriteResult {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) return { kind: 'refused', reason: 'too large' };
    if (lease !== undefined && !this.#leases.has(lease)) {
      return { kind: 'refused', reason: 'no such lease' };
    }
    const current = this.#items.get(key);
    if ((current?.version ?? 0) !== expect) return { kind: 'conflict', current };
    this.#version += 1;
    this.#items.set(key, { key, value, version: this.#version, lease });
    this.#announce(key);
    return { kind: 'written', version: this.#version };
  }

  remove({ key, expect }: Removal): WriteResult {
    const current = this.#items.get(key);
    if ((current?.version ?? 0) !== expect) return { kind: 'conflict', current };
    this.#version += 1;
    this.#items.delete(key);
    this.#announce(key);
    return { kind: 'written', version: this.#version };
  }

  grantLease(ttl: number): LeaseResult {
    this.#leaseCount += 1;
    const lease = `lease-${this.#leaseCount}`;
    this.#keepLease(lease, ttl);
    return { kind: 'held', lease, ttl };
  }

  renewLease(lease: string): LeaseResult {
    const held = this.#leases.get(lease);
    if (held === undefined) return { kind: 'lapsed' };
    held.timer.cancel();
    this.#keepLease(lease, held.ttl);
    return { kind: 'held', lease, ttl: held.ttl };
  }

  /** Ends a lease as if its time were over. */
  lapseLease(lease: string): void {
    this.#leases.get(lease)?.timer.cancel();
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove({ key: item.key, expect: item.version });
    }
  }

  /** Waits for a change of `prefix` after `after`; `wait` bounds it in milliseconds. */
  watch(
    prefix: string,
    after: number,
    { wait, signal }: { readonly wait: number; readonly signal: AbortSignal },
  ): Promise<WatchResult> {
    const skipping = this.fault.kind === 'skip-watches';
    const changed = [...this.#changed].some(
      ([key, version]) => key.startsWith(prefix) && version > after,
    );
    if (changed && !skipping) return Promise.resolve({ kind: 'changed', version: this.#version });
    return new Promise((resolve) => {
      const timer = this.clock.schedule(wait, () => waiter.resolve({ kind: 'quiet' }));
      const waiter: Waiter = {
        prefix,
        resolve: (result) => {
          timer.cancel();
          this.#waiters = this.#waiters.filter((other) => other !== waiter);
          this.counts.watching = this.#waiters.length;
          resolve(result);
        },
      };
      this.#waiters = [...this.#waiters, waiter];
      this.counts.watching = this.#waiters.length;
      signal.addEventListener('abort', () => waiter.resolve({ kind: 'quiet' }), { once: true });
    });
  }

  /** Adds a VM or replaces the one at its address. */
  putVm(vm: Vm): void {
    this.#vms.set(formatAddress(vm.address), vm);
  }

  /** Removes the VM at an address `a.b.c.d:port`. */
  removeVm(address: string): void {
    this.#vms.delete(address);
  }

  listVms(): readonly Vm[] {
    return this.fault.kind === 'stale-vms' ? this.#staleVms : [...this.#vms.values()];
  }

  #keepLease(lease: string, ttl: number): void {
    const timer = this.clock.schedule(ttl, () => this.lapseLease(lease));
    this.#leases.set(lease, { ttl, timer });
  }

  #announce(key: string): void {
    this.#changed.set(key, this.#version);
    if (this.fault.kind === 'skip-watches') return;
    this.#settleWaiters((waiter) => key.startsWith(waiter.prefix), {
      kind: 'changed',
      version: this.#version,
    });
  }

  #settleWaiters(matches: (waiter: Waiter) => boolean, result: WatchResult): void {
    for (const waiter of this.#waiters.filter(matches)) waiter.resolve(result);
  }
}

/** Creates a platform that calls a store in this process, with the store's faults. */
export function createStorePlatform(store: Store, clock: Clock, watchWait = 20_000): Platform {
  const down = { kind: 'unavailable', reason: 'down' } as const;
  const prepare = async (kind: 'read' | 'write'): Promise<boolean> => {
    if (store.fault.kind === 'slow') await clock.sleep(store.fault.delay);
    return store.fault.kind !== 'down' && store.admit(kind);
  };
  const write = async (apply: () => WriteResult): Promise<WriteResult> => {
    if (!(await prepare('write'))) return { kind: 'refused', reason: 'down' };
    const result = apply();
    const lost = store.fault.kind === 'lose-write-replies';
    return lost ? { kind: 'unknown', reason: 'reply lost' } : result;
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
