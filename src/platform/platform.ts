/**
 * The platform's key-value service and its list of VMs, behind one narrow typed interface.
 *
 * Every outcome is a value. A write has four outcomes: it took effect, it met another version, it
 * was certainly not applied, or its effect is unknown. Each caller has to handle all four.
 */
import { type Address, createServiceKey } from '../kernel/index.js';

/** A stored value with the version of its last write. Versions increase across the whole store. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** The platform could not answer; `reason` is for logs. */
export interface Unavailable {
  readonly kind: 'unavailable';
  readonly reason: string;
}

/** The outcome of reading one key. */
export type ReadResult =
  | { readonly kind: 'found'; readonly item: StoredValue }
  | { readonly kind: 'absent' }
  | Unavailable;

/** The outcome of reading a range of keys; `version` is the store's version at that moment. */
export type RangeResult =
  | { readonly kind: 'items'; readonly items: readonly StoredValue[]; readonly version: number }
  | Unavailable;

/** The outcome of a compare-and-swap or a removal. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly current: StoredValue | undefined }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** The outcome of granting or renewing a lease; a lapsed lease cannot be renewed. */
export type LeaseResult =
  | { readonly kind: 'held'; readonly lease: string; readonly ttl: number }
  | { readonly kind: 'lapsed' }
  | Unavailable;

/** The outcome of one watch of a prefix; after `gap` the range must be read again. */
export type WatchResult =
  | { readonly kind: 'changed'; readonly version: number }
  | { readonly kind: 'quiet' }
  | { readonly kind: 'gap' }
  | Unavailable;

/** A VM as the platform lists it. The list may be out of date. */
export interface Vm {
  readonly address: Address;
  /** What runs there: `entry`, or the role that a pool names. */
  readonly role: string;
  readonly domain: string;
  readonly state: 'live' | 'leaving';
}

/** The outcome of reading the list of VMs. */
export type VmsResult = { readonly kind: 'vms'; readonly vms: readonly Vm[] } | Unavailable;

/**
 * A compare-and-swap: `value` replaces the item of version `expect`; 0 means that there must be no
 * item.
 */
export interface CompareAndSwap {
  readonly key: string;
  readonly value: string;
  readonly expect: number;
  /** The store removes the item when this lease lapses. */
  readonly lease?: string;
}

/** A removal of the item of version `expect`. */
export interface Removal {
  readonly key: string;
  readonly expect: number;
}

/** The platform service. Each method makes one call to it; none retries. */
export interface Platform {
  read(key: string): Promise<ReadResult>;
  range(prefix: string): Promise<RangeResult>;
  swap(swap: CompareAndSwap): Promise<WriteResult>;
  remove(removal: Removal): Promise<WriteResult>;
  grantLease(ttl: number): Promise<LeaseResult>;
  renewLease(lease: string): Promise<LeaseResult>;
  /**
   * Waits until a key of `prefix` changes after store version `after`; ends without a change after
   * a time-out.
   */
  watch(prefix: string, after: number, signal: AbortSignal): Promise<WatchResult>;
  vms(): Promise<VmsResult>;
}

/** The key of the platform service. */
export const platformService = createServiceKey<Platform>('platform');

/** The longest value that the platform stores, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;
