/** The client of the platform's store: each method is one call, and every outcome is a value. */
import http from 'node:http';
import {
  type Address,
  type HttpFailure,
  type HttpReply,
  exchangeHttp,
  nameService,
} from '../kernel/index.js';

/** An item of the store. */
export interface StoredItem {
  readonly key: string;
  readonly text: string;
  /** The store's revision at the item's last change. */
  readonly revision: number;
}

/** A change that a watch tells of. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoredItem }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** The store did not do it, for certain: it refused, or the call never left this machine. */
export interface NotDone {
  readonly kind: 'not-done';
  readonly reason: string;
}

/** Nobody knows whether the store did it, or will do it within the next seconds. */
export interface DoneUnknown {
  readonly kind: 'unknown';
  readonly reason: string;
}

/** A page of items in the order of their keys. */
export interface ItemPage {
  readonly kind: 'items';
  readonly items: readonly StoredItem[];
  /** The revision of the store when the page was read. */
  readonly storeRevision: number;
  readonly hasMore: boolean;
}

/** What a watch gives; after `history-gone` the items must be read anew. */
export type WatchAnswer =
  | {
      readonly kind: 'events';
      readonly events: readonly StoreEvent[];
      readonly storeRevision: number;
    }
  | { readonly kind: 'history-gone' }
  | NotDone
  | DoneUnknown;

/** What reading one key gives. */
export type ItemAnswer =
  | { readonly kind: 'item'; readonly item: StoredItem; readonly storeRevision: number }
  | { readonly kind: 'absent' }
  | NotDone
  | DoneUnknown;

/** What a conditional write gives. */
export type WriteAnswer =
  | { readonly kind: 'done'; readonly revision: number }
  | { readonly kind: 'condition-failed' }
  | NotDone
  | DoneUnknown;

/** A write of one key that takes effect only while the key is at `expected`; 0 expects no key. */
export interface ConditionalWrite {
  readonly key: string;
  readonly text: string;
  readonly expected: number;
}

/** The store, as the product uses it. */
export interface KvStore {
  /** Reads one key; a `stale` read is cheap and may be seconds old. */
  readItem(key: string, stale: boolean): Promise<ItemAnswer>;
  /** Reads one page of keys with a prefix; pages together are no snapshot. */
  readItems(
    prefix: string,
    after: string,
    stale: boolean,
  ): Promise<ItemPage | NotDone | DoneUnknown>;
  /** Waits up to `wait` milliseconds for changes after a revision. */
  watch(prefix: string, after: number, wait: number): Promise<WatchAnswer>;
  write(write: ConditionalWrite): Promise<WriteAnswer>;
  /** Calls made since the start, by kind. */
  counts(): Readonly<Record<string, number>>;
  close(): void;
}

/** The name of the store service. */
export const kvStoreService = nameService<KvStore>('kv-store');

const OK = 200;
const ABSENT = 404;
const HISTORY_GONE = 410;
const CONDITION_FAILED = 412;

/** Statuses by which the store says that it did nothing. */
const REFUSALS = new Set([400, 403, 413, 429, 503]);

interface WireItem {
  readonly key_file: string;
  readonly value: string;
  readonly revision: number;
  readonly removed?: boolean;
}

function decodeItem(item: WireItem): StoredItem {
  const text = Buffer.from(item.value, 'base64').toString('utf8');
  return { key: item.key_file, text, revision: item.revision };
}

function decodeEvent(event: WireItem): StoreEvent {
  if (event.removed === true) {
    return { kind: 'removed', key: event.key_file, revision: event.revision };
  }
  return { kind: 'written', item: decodeItem(event) };
}

function explainFailure(reply: HttpReply | HttpFailure): NotDone | DoneUnknown {
  if (reply.kind === 'failure') {
    return { kind: reply.sent ? 'unknown' : 'not-done', reason: reply.reason };
  }
  const reason = `status ${reply.status}`;
  return { kind: REFUSALS.has(reply.status) ? 'not-done' : 'unknown', reason };
}

/** Creates the client. @param timeout longest wait for an answer in milliseconds, a watch's wait apart */
export function createKvStore(address: Address, timeout: number): KvStore {
  const agent = new http.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS, scheduling: 'lifo' });
  const made: Record<string, number> = {};

  function call(kind: string, path: string, options: { wait?: number; body?: string } = {}) {
    made[kind] = (made[kind] ?? 0) + 1;
    const { wait = 0, body } = options;
    const method = body === undefined ? 'GET' : 'POST';
    return exchangeHttp({ agent, address, method, path, body, timeout: timeout + wait });
  }

  return {
    async readItem(key, stale) {
      const path = `/kv-key?key_file=${encodeURIComponent(key)}${stale ? '&allow_stale=1' : ''}`;
      const reply = await call(stale ? 'read-stale' : 'read', path);
      if (reply.kind === 'reply' && reply.status === ABSENT) return { kind: 'absent' };
      if (reply.kind !== 'reply' || reply.status !== OK) return explainFailure(reply);
      const body = reply.body as WireItem & { readonly store_revision: number };
      return { kind: 'item', item: decodeItem(body), storeRevision: body.store_revision };
    },
    async readItems(prefix, after, stale) {
      const query = new URLSearchParams({ path_prefix: prefix });
      if (after !== '') query.set('after', after);
      if (stale) query.set('allow_stale', '1');
      const reply = await call(stale ? 'range-stale' : 'range', `/kv-range?${query}`);
      if (reply.kind !== 'reply' || reply.status !== OK) return explainFailure(reply);
      const body = reply.body as {
        readonly items: readonly WireItem[];
        readonly truncated: boolean;
        readonly store_revision: number;
      };
      return {
        kind: 'items',
        items: body.items.map(decodeItem),
        storeRevision: body.store_revision,
        hasMore: body.truncated,
      };
    },
    async watch(prefix, after, wait) {
      const query = new URLSearchParams({ path_prefix: prefix });
      query.set('after', String(after));
      query.set('wait_ms', String(Math.round(wait)));
      const reply = await call('watch', `/kv-watch?${query}`, { wait });
      if (reply.kind === 'reply' && reply.status === HISTORY_GONE) return { kind: 'history-gone' };
      if (reply.kind !== 'reply' || reply.status !== OK) return explainFailure(reply);
      const body = reply.body as {
        readonly events: readonly WireItem[];
        readonly store_revision: number;
      };
      return {
        kind: 'events',
        events: body.events.map(decodeEvent),
        storeRevision: body.store_revision,
      };
    },
    async write({ key, text, expected }) {
      const value = Buffer.from(text, 'utf8').toString('base64');
      const body = JSON.stringify({
        expected_revision: [{ key_file: key, revision: expected }],
        set_keys: [{ key_file: key, value, lease: 0 }],
        remove: [],
      });
      const reply = await call('write', '/kv-txn', { body });
      if (reply.kind === 'reply' && reply.status === CONDITION_FAILED) {
        return { kind: 'condition-failed' };
      }
      if (reply.kind !== 'reply' || reply.status !== OK) return explainFailure(reply);
      return { kind: 'done', revision: (reply.body as { readonly revision: number }).revision };
    },
    counts: () => ({ ...made }),
    close: () => agent.destroy(),
  };
}

/** Connections to the store: one for each prefix that is watched, and one to spare. */
const MAX_SOCKETS = 4;
