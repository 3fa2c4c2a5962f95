/** Reads all items under a prefix, page by page, as far as the store's answers come to an end. */
import type { KvReader, NotApplied, OutcomeUnknown, StoredItem } from './kv-store.js';

/** The most pages, items and characters of values that are read under one prefix. */
const MAX_PAGES = 400;
const MAX_ITEMS = 20_000;
const MAX_CHARACTERS = 33_554_432;

/** What is read, and what is kept of it. */
export interface PagesQuery<T> {
  readonly prefix: string;
  /** Reads that may be seconds old. */
  readonly allowsStale: boolean;
  /** Chooses what is kept of an item, so that pages need not be kept whole. */
  readonly keep: (item: StoredItem) => T;
}

/** Everything under a prefix; `revision` is the store's revision when the first page was read. */
export interface AllItems<T> {
  readonly kind: 'all';
  readonly items: readonly T[];
  readonly revision: number;
}

function createFault(prefix: string, what: string, expected: string): OutcomeUnknown {
  return { kind: 'unknown', reason: `items under '${prefix}': ${what}; expected ${expected}` };
}

/** Reads all pages. A list that does not come to an end is no list: nothing of it is returned. */
export async function readAllItems<T>(
  store: KvReader,
  { prefix, allowsStale, keep }: PagesQuery<T>,
): Promise<AllItems<T> | NotApplied | OutcomeUnknown> {
  const items: T[] = [];
  let count = 0;
  let characters = 0;
  let revision: number | undefined;
  let after = '';
  for (let pages = 1; pages <= MAX_PAGES; pages += 1) {
    const page = await store.readItems(prefix, after, allowsStale);
    if (page.kind !== 'items') return page;
    revision ??= page.storeRevision;
    for (const item of page.items) {
      count += 1;
      characters += item.key.length + item.text.length;
      if (item.key.startsWith(prefix)) items.push(keep(item));
    }
    if (count > MAX_ITEMS || characters > MAX_CHARACTERS) {
      const size = `${count} items of ${characters} characters`;
      return createFault(prefix, size, `at most ${MAX_ITEMS} of ${MAX_CHARACTERS}`);
    }
    if (!page.hasMore) return { kind: 'all', items, revision };
    const last = page.items.at(-1);
    if (last === undefined) return createFault(prefix, 'an empty page before more', 'items');
    if (last.key === after) return createFault(prefix, 'the same page again', 'further items');
    after = last.key;
  }
  return createFault(prefix, `more than ${MAX_PAGES} pages`, 'an end');
}
