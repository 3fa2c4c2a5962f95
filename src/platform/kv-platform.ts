/** Adapts the client of the platform's store to the product's {@link Platform} interface. */
import type { OutcomeUnknown, KvStore, NotApplied, StoredItem, WriteAnswer } from './kv-store.js';
import type {
  LeaseResult,
  Platform,
  StoredValue,
  Unavailable,
  Vm,
  VmsResult,
  WriteResult,
} from './platform.js';
import { readAllItems } from './read-pages.js';
import { KEYS } from './wire.js';

/** How long a watch waits while nothing changes, in milliseconds; the store allows up to 30,000. */
const WATCH_TIMEOUT_MS = 20_000;

function makeStoredValue({ key, text, revision }: StoredItem): StoredValue {
  return { key, value: text, version: revision };
}

function makeUnavailable({ reason }: NotApplied | OutcomeUnknown): Unavailable {
  return { kind: 'unavailable', reason };
}

function interpretWrite(answer: WriteAnswer): WriteResult {
  switch (answer.kind) {
    case 'done':
      return { kind: 'written', version: answer.revision };
    case 'condition-failed':
      return { kind: 'conflict', current: answer.current && makeStoredValue(answer.current) };
    case 'not-done':
      return { kind: 'refused', reason: answer.reason };
    case 'unknown':
      return { kind: 'unknown', reason: answer.reason };
    default:
      return answer satisfies never;
  }
}

function interpretLease(answer: Awaited<ReturnType<KvStore['grantLease']>>): LeaseResult {
  switch (answer.kind) {
    case 'held':
    case 'lapsed':
      return answer;
    case 'not-done':
    case 'unknown':
      return makeUnavailable(answer);
    default:
      return answer satisfies never;
  }
}

/** Reads everything under a prefix. */
async function readRange(store: KvStore, prefix: string) {
  const all = await readAllItems(store, { prefix, allowsStale: false, keep: (item) => item });
  return all.kind === 'all' ? all : makeUnavailable(all);
}

function parseVm(item: StoredItem): readonly Vm[] {
  try {
    return [JSON.parse(item.text) as Vm];
  } catch {
    // An item that is not a VM is skipped; the others still count.
    return [];
  }
}

/** Creates the {@link Platform} adapter of a store. */
export function createKvPlatform(store: KvStore): Platform & { close(): void } {
  return {
    async read(key) {
      const answer = await store.readItem(key, false);
      if (answer.kind === 'absent') return answer;
      if (answer.kind !== 'item') return makeUnavailable(answer);
      return { kind: 'found', item: makeStoredValue(answer.item) };
    },
    async range(prefix) {
      const all = await readRange(store, prefix);
      if (all.kind !== 'all') return all;
      return { kind: 'items', items: all.items.map(makeStoredValue), version: all.revision };
    },
    async swap({ key, value, expect, lease }) {
      return interpretWrite(await store.write({ key, text: value, expected: expect, lease }));
    },
    async remove({ key, expect }) {
      return interpretWrite(await store.remove({ key, expected: expect }));
    },
    grantLease: async (ttl) => interpretLease(await store.grantLease(ttl)),
    renewLease: async (lease) => interpretLease(await store.renewLease(lease)),
    async watch(prefix, after, signal) {
      const answer = await store.watch(prefix, after, WATCH_TIMEOUT_MS, signal);
      switch (answer.kind) {
        case 'events':
          if (answer.events.length === 0) return { kind: 'quiet' };
          return { kind: 'changed', version: answer.storeRevision };
        case 'history-gone':
        case 'too-long':
          return { kind: 'gap' };
        case 'not-done':
        case 'unknown':
          return makeUnavailable(answer);
        default:
          return answer satisfies never;
      }
    },
    async vms(): Promise<VmsResult> {
      const all = await readRange(store, KEYS.vms);
      return all.kind === 'all' ? { kind: 'vms', vms: all.items.flatMap(parseVm) } : all;
    },
    close: () => store.close(),
  };
}
