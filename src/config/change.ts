/** Changes as values: they can be applied, inspected, undone, and compared with what is in force. */
import { createHash } from 'node:crypto';
import type { Documents } from './configuration.js';

/** Content of a document by hash; `none` is a document that does not exist. */
export type Hash = string;

/** The hash that stands for no document. */
export const NO_DOCUMENT: Hash = 'none';

/** One document's step from one content to another. */
export interface Edit {
  readonly name: string;
  readonly before: Hash;
  readonly after: Hash;
}

/** A drafted change, with the texts that its edits lead to. */
export interface Change {
  readonly id: string;
  readonly author: string;
  readonly message: string;
  readonly edits: readonly Edit[];
  /** Texts of the edits' `after` hashes. */
  readonly texts: Readonly<Record<Hash, string>>;
  /** The change that this one undoes. */
  readonly undoes?: string;
}

/** Hashes of documents by name. */
export type Hashes = Readonly<Record<string, Hash>>;

/** Returns the hash of a document's text. */
export function hashText(text: string): Hash {
  return createHash('sha256').update(text).digest('hex');
}

/** What an operator asks for: new texts by document name; undefined removes a document. */
export type Wishes = ReadonlyMap<string, string | undefined>;

/** What identifies a change. */
export interface ChangeHeader {
  readonly id: string;
  readonly author: string;
  readonly message: string;
  readonly undoes?: string;
}

/** Finds the hash of a document. Its name may be one that every object inherits. */
function findHash(hashes: Hashes, name: string): Hash {
  return Object.hasOwn(hashes, name) ? hashes[name] : NO_DOCUMENT;
}

/** Makes the change that leads from `current` to the wishes; documents already so are left out. */
export function createChange(header: ChangeHeader, current: Hashes, wishes: Wishes): Change {
  const edits: Edit[] = [];
  const texts: Record<Hash, string> = {};
  for (const [name, text] of wishes) {
    const before = findHash(current, name);
    const after = text === undefined ? NO_DOCUMENT : hashText(text);
    if (before === after) continue;
    edits.push({ name, before, after });
    if (text !== undefined) texts[after] = text;
  }
  return { ...header, edits, texts };
}

/** Returns the first edit whose document is no longer what the change started from. */
export function findConflict(edits: readonly Edit[], current: Hashes): Edit | undefined {
  return edits.find(({ name, before }) => findHash(current, name) !== before);
}

/** Applies edits to hashes. The edits must not conflict. */
export function applyEdits(edits: readonly Edit[], current: Hashes): Hashes {
  const next = new Map(Object.entries(current));
  for (const { name, after } of edits) {
    if (after === NO_DOCUMENT) next.delete(name);
    else next.set(name, after);
  }
  return Object.fromEntries(next);
}

/** Returns the edits that undo the given ones. */
export function invertEdits(edits: readonly Edit[]): readonly Edit[] {
  return edits.map(({ name, before, after }) => ({ name, before: after, after: before }));
}

/** One line of a difference: kept, removed or added. */
export interface DiffLine {
  readonly sign: ' ' | '-' | '+';
  readonly text: string;
}

function measureCommon(a: readonly string[], b: readonly string[]): readonly (readonly number[])[] {
  const table = Array.from({ length: a.length + 1 }, () => new Array<number>(b.length + 1).fill(0));
  for (let i = a.length - 1; i >= 0; i -= 1) {
    for (let j = b.length - 1; j >= 0; j -= 1) {
      const row = table[i];
      const below = table[i + 1];
      row[j] = a[i] === b[j] ? (below[j + 1] ?? 0) + 1 : Math.max(below[j] ?? 0, row[j + 1] ?? 0);
    }
  }
  return table;
}

/** Compares two texts line by line. */
export function diffTexts(before: string, after: string): readonly DiffLine[] {
  const a = before === '' ? [] : before.replace(/\n$/, '').split('\n');
  const b = after === '' ? [] : after.replace(/\n$/, '').split('\n');
  const common = measureCommon(a, b);
  const lines: DiffLine[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    const [left, right] = [a[i], b[j]];
    if (left !== undefined && left === right) {
      lines.push({ sign: ' ', text: left });
      i += 1;
      j += 1;
    } else if (right !== undefined && (common[i]?.[j + 1] ?? 0) > (common[i + 1]?.[j] ?? -1)) {
      lines.push({ sign: '+', text: right });
      j += 1;
    } else if (left !== undefined) {
      lines.push({ sign: '-', text: left });
      i += 1;
    } else if (right !== undefined) {
      lines.push({ sign: '+', text: right });
      j += 1;
    }
  }
  return lines;
}

/** Writes what a change does to the given documents, as a difference by line. */
export function formatDiff(change: Change, documents: Documents): string {
  const parts: string[] = [];
  for (const { name, after } of change.edits) {
    parts.push(`--- ${name}`);
    const lines = diffTexts(documents.get(name) ?? '', change.texts[after] ?? '');
    for (const { sign, text } of lines) parts.push(`${sign} ${text}`);
  }
  return parts.join('\n');
}
