/**
 * The client of the platform's store. Each method makes one call and returns every outcome as a
 * value.
 */
import http from 'node:http';
import {
  type AnswerWatcher,
  type Address,
  type HttpFailure,
  type HttpReply,
  type JsonObject,
  exchangeHttp,
  isJsonObject,
  createServiceKey,
} from '../kernel/index.js';

/** An item of the store. */
export interface StoredItem {
  readonly key: string;
  /** The value, decoded as UTF-8. */
  readonly text: string;
  /** The store's revision at the item's last change. */
  readonly revision: number;
}

/** A change that a watch reports. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoredItem }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** The call was certainly not applied: the store refused it, or it never left this machine. */
export interface NotApplied {
  readonly kind: 'not-done';
  /** Describes the refusal or failure, for logs. */
  readonly reason: string;
}

/** It is unknown whether the call was applied, or will be within the next seconds. */
export interface OutcomeUnknown {
  readonly kind: 'unknown';
  /** Describes the failure, for logs. */
  readonly reason: string;
}

/** A page of items in the order of their keys. */
export interface ItemPage {
  readonly kind: 'items';
  readonly items: readonly StoredItem[];
  /** The revision of the store when the page was read. */
  readonly storeRevision: number;
  /** Whether there are items after this page. */
  readonly hasMore: boolean;
}

/**
 * The outcome of a watch. The items must be read again after `history-gone`, and after `too-long`: the
 * changes are more than one answer may hold.
 */
export type WatchAnswer =
  | {
      readonly kind: 'events';
      readonly events: readonly StoreEvent[];
      readonly storeRevision: number;
    }
  | { readonly kind: 'history-gone' }
  | { readonly kind: 'too-long'; readonly reason: string }
  | NotApplied
  | OutcomeUnknown;

/** The outcome of reading one key. */
export type ItemAnswer =
  | { readonly kind: 'item'; readonly item: StoredItem; readonly storeRevision: number }
  | { readonly kind: 'absent' }
  | NotApplied
  | OutcomeUnknown;

/** The outcome of a conditional write or removal. */
export type WriteAnswer =
  | { readonly kind: 'done'; readonly revision: number }
  /** `current` is the stored item; undefined when the key does not exist. */
  | { readonly kind: 'condition-failed'; readonly current: StoredItem | undefined }
  | NotApplied
  | OutcomeUnknown;

/**
 * A write of one key that takes effect only while the key is at revision `expected`; 0 means that
 * it must not exist.
 */
export interface ConditionalWrite {
  readonly key: string;
  readonly text: string;
  readonly expected: number;
  /** The store removes the key when this lease ends. */
  readonly lease?: string;
}

/** A removal of one key that takes effect only while the key is at revision `expected`. */
export interface ConditionalRemoval {
  readonly key: string;
  readonly expected: number;
}

/** The outcome of granting or renewing a lease; `ttl` is in milliseconds. */
export type LeaseAnswer =
  | { readonly kind: 'held'; readonly lease: string; readonly ttl: number }
  | { readonly kind: 'lapsed' }
  | NotApplied
  | OutcomeUnknown;

/** The read access to the store. */
export interface KvReader {
  /** Reads one key. A read with `allowStale` is cheap and may be seconds old. */
  readItem(key: string, allowStale: boolean): Promise<ItemAnswer>;
  /**
   * Reads one page of the items whose keys start with `prefix` and come after `after`. Several pages
   * together are not a consistent snapshot.
   */
  readItems(
    prefix: string,
    after: string,
    allowStale: boolean,
  ): Promise<ItemPage | NotApplied | OutcomeUnknown>;
  /** Waits up to `wait` milliseconds for changes after a revision, or until the signal aborts. */
  watch(prefix: string, after: number, wait: number, signal?: AbortSignal): Promise<WatchAnswer>;
}

/** The client of the store. Each method makes one call; none retries. */
export interface KvStore extends KvReader {
  write(write: ConditionalWrite): Promise<WriteAnswer>;
  remove(removal: ConditionalRemoval): Promise<WriteAnswer>;
  /** Requests a lease that ends `ttl` milliseconds after the call has arrived. */
  grantLease(ttl: number): Promise<LeaseAnswer>;
  renewLease(lease: string): Promise<LeaseAnswer>;
  /** Returns the number of calls since the start, by kind. */
  counts(): Readonly<Record<string, number>>;
  /** Closes the connections to the store. */
  close(): void;
}

/** The key of the store service. */
export const kvStoreService = createServiceKey<KvStore>('kv-store');

const OK = 200;
const NOT_FOUND = 404;
const HISTORY_GONE = 410;
const CONDITION_FAILED = 412;

/**
 * Statuses that mean that the call was not applied; 404 on a write means that its lease has ended.
 */
const REFUSED_STATUSES = new Set([400, 403, 404, 413, 429, 503]);

function readFields(value: unknown): JsonObject {
  return isJsonObject(value) ? value : {};
}

/**
 * Decodes an item; undefined when its key or revision is missing. A value that is not text decodes
 * to a text that no document accepts.
 */
function decodeItem(value: unknown): StoredItem | undefined {
  if (!isJsonObject(value)) return undefined;
  const { key_file: key, value: bytes, revision } = value;
  if (typeof key !== 'string' || typeof revision !== 'number') return undefined;
  const text = typeof bytes === 'string' ? Buffer.from(bytes, 'base64').toString('utf8') : '';
  return { key, text, revision };
}

function decodeEvent(value: unknown): StoreEvent | undefined {
  const item = decodeItem(value);
  if (item === undefined) return undefined;
  const isRemoved = isJsonObject(value) && value.removed === true;
  return isRemoved
    ? { kind: 'removed', key: item.key, revision: item.revision }
    : { kind: 'written', item };
}

/** Decodes a list and leaves out invalid entries; undefined when the value is not a list. */
function decodeList<T>(
  value: unknown,
  decodeEntry: (entry: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.map(decodeEntry).filter((entry): entry is T & {} => entry !== undefined);
}

const MALFORMED_ANSWER: OutcomeUnknown = {
  kind: 'unknown',
  reason: 'the answer is not in the protocol',
};

function interpretFailure(reply: HttpReply | HttpFailure): NotApplied | OutcomeUnknown {
  if (reply.kind === 'failure') {
    return { kind: reply.sent ? 'unknown' : 'not-done', reason: reply.reason };
  }
  const reason = `status ${reply.status}`;
  return { kind: REFUSED_STATUSES.has(reply.status) ? 'not-done' : 'unknown', reason };
}

function interpretWrite(key: string, reply: HttpReply | HttpFailure): WriteAnswer {
  if (reply.kind === 'reply' && reply.status === CONDITION_FAILED) {
    const items = decodeList(readFields(reply.body).items, decodeItem);
    return { kind: 'condition-failed', current: items?.find((item) => item.key === key) };
  }
  if (reply.kind !== 'reply' || reply.status !== OK) return interpretFailure(reply);
  const { revision } = readFields(reply.body);
  return typeof revision === 'number' ? { kind: 'done', revision } : MALFORMED_ANSWER;
}

function interpretLease(reply: HttpReply | HttpFailure): LeaseAnswer {
  if (reply.kind === 'reply' && reply.status === NOT_FOUND) return { kind: 'lapsed' };
  if (reply.kind !== 'reply' || reply.status !== OK) return interpretFailure(reply);
  const { lease, ttl_ms: ttl } = readFields(reply.body);
  if (typeof lease !== 'number' || typeof ttl !== 'number') return MALFORMED_ANSWER;
  return { kind: 'held', lease: String(lease), ttl };
}

/** The longest answers, in bytes. A value of 1 MiB takes 1.4 MB in base64. */
const MAX_ITEM_ANSWER_BYTES = 2_097_152;
const MAX_PAGE_BYTES = 4_194_304;
const MAX_LEASE_ANSWER_BYTES = 65_536;

interface CallOptions {
  /** Longest answer, in bytes. */
  readonly maxBytes?: number;
  readonly wait?: number;
  readonly body?: string;
  readonly method?: 'GET' | 'POST';
  readonly signal?: AbortSignal;
}

/**
 * Creates the client.
 *
 * @param timeout longest wait for an answer, in milliseconds; the wait of a watch is added to it
 * @param maxSockets maximum number of connections; each waiting watch occupies one
 * @param guard watches the answers; they are not limited unless given
 */
export function createKvStore(
  address: Address,
  timeout: number,
  maxSockets = DEFAULT_MAX_SOCKETS,
  guard?: AnswerWatcher,
): KvStore {
  const agent = new http.Agent({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  const callCounts: Record<string, number> = {};

  function call(kind: string, path: string, options: CallOptions = {}) {
    callCounts[kind] = (callCounts[kind] ?? 0) + 1;
    const { wait = 0, body, signal, maxBytes: maxBodyBytes = MAX_ITEM_ANSWER_BYTES } = options;
    const method = options.method ?? (body === undefined ? 'GET' : 'POST');
    return exchangeHttp({
      ...{ agent, address, method, path, body, signal, maxBodyBytes, guard },
      timeout: timeout + wait,
    });
  }

  return {
    async readItem(key, allowStale) {
      const path = `/kv-key?key_file=${encodeURIComponent(key)}${allowStale ? '&allow_stale=1' : ''}`;
      const reply = await call(allowStale ? 'read-stale' : 'read', path);
      if (reply.kind === 'reply' && reply.status === NOT_FOUND) return { kind: 'absent' };
      if (reply.kind !== 'reply' || reply.status !== OK) return interpretFailure(reply);
      const item = decodeItem(reply.body);
      const { store_revision: storeRevision } = readFields(reply.body);
      if (item === undefined || typeof storeRevision !== 'number') return MALFORMED_ANSWER;
      return { kind: 'item', item, storeRevision };
    },
    async readItems(prefix, after, allowStale) {
      const query = new URLSearchParams({ path_prefix: prefix });
      if (after !== '') query.set('after', after);
      if (allowStale) query.set('allow_stale', '1');
      const reply = await call(allowStale ? 'range-stale' : 'range', `/kv-range?${query}`, {
        maxBytes: MAX_PAGE_BYTES,
      });
      if (reply.kind !== 'reply' || reply.status !== OK) return interpretFailure(reply);
      const { items: listed, truncated, store_revision: storeRevision } = readFields(reply.body);
      const items = decodeList(listed, decodeItem);
      if (items === undefined || typeof storeRevision !== 'number') return MALFORMED_ANSWER;
      return { kind: 'items', items, storeRevision, hasMore: truncated === true };
    },
    async watch(prefix, after, wait, signal) {
      const query = new URLSearchParams({ path_prefix: prefix });
      query.set('after', String(after));
      query.set('wait_ms', String(Math.round(wait)));
      const reply = await call('watch', `/kv-watch?${query}`, {
        ...{ wait, signal, maxBytes: MAX_PAGE_BYTES },
      });
      if (reply.kind === 'failure' && reply.cause === 'too-long') {
        return { kind: 'too-long', reason: reply.reason };
      }
      if (reply.kind === 'reply' && reply.status === HISTORY_GONE) return { kind: 'history-gone' };
      if (reply.kind !== 'reply' || reply.status !== OK) return interpretFailure(reply);
      const { events: listed, store_revision: storeRevision } = readFields(reply.body);
      const events = decodeList(listed, decodeEvent);
      if (events === undefined || typeof storeRevision !== 'number') return MALFORMED_ANSWER;
      return { kind: 'events', events, storeRevision };
    },
    async write({ key, text, expected, lease = '0' }) {
      const value = Buffer.from(text, 'utf8').toString('base64');
      const body = JSON.stringify({
        expected_revision: [{ key_file: key, revision: expected }],
        set_keys: [{ key_file: key, value, lease: Number(lease) }],
        remove: [],
      });
      return interpretWrite(key, await call('write', '/kv-txn', { body }));
    },
    async remove({ key, expected }) {
      const body = JSON.stringify({
        expected_revision: [{ key_file: key, revision: expected }],
        ...{ set_keys: [], remove: [key] },
      });
      return interpretWrite(key, await call('remove', '/kv-txn', { body }));
    },
    async grantLease(ttl) {
      const body = JSON.stringify({ ttl_ms: Math.round(ttl) });
      return interpretLease(
        await call('lease', '/kv-lease', { body, maxBytes: MAX_LEASE_ANSWER_BYTES }),
      );
    },
    async renewLease(lease) {
      const path = `/kv-keep/${encodeURIComponent(lease)}`;
      const maxBytes = MAX_LEASE_ANSWER_BYTES;
      return interpretLease(await call('renewal', path, { method: 'POST', maxBytes }));
    },
    counts: () => ({ ...callCounts }),
    close: () => agent.destroy(),
  };
}

/** Enough for a gateway: one connection for each watched prefix, and some for other calls. */
const DEFAULT_MAX_SOCKETS = 4;
