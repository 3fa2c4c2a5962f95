/** The configuration in the platform's service: drafts, acceptance, history. */
import { type Clock, type Random, assertInvariant } from '../kernel/index.js';
import type { Platform, StoredValue } from '../platform/index.js';
import type { Mistake } from '../settings/index.js';
import {
  type Change,
  type ChangeHeader,
  type Hash,
  NO_DOCUMENT,
  type Wishes,
  createChange,
  findConflict,
  hashText,
  invertEdits,
} from './change.js';
import { RecordArchive } from './archive.js';
import { type Documents, checkConfiguration } from './configuration.js';
import {
  type AuditRecord,
  HEAD_KEY,
  type Manifest,
  acceptChange,
  buildDraftKey,
  buildTextKey,
  findLastRecord,
  formatManifest,
  readManifest,
  trimRecords,
} from './manifest.js';

/** What the store cannot say now; the caller may ask again. */
export interface StoreDown {
  readonly kind: 'unavailable';
  readonly reason: string;
}

/** What became of an attempt to accept a change. */
export type AcceptResult =
  | { readonly kind: 'accepted'; readonly record: AuditRecord; readonly manifest: Manifest }
  | { readonly kind: 'conflict'; readonly document: string; readonly by: AuditRecord | undefined }
  | { readonly kind: 'invalid'; readonly mistakes: readonly Mistake[] }
  /** The change may or may not be in force; accepting the same draft again settles it. */
  | { readonly kind: 'unknown'; readonly reason: string }
  | StoreDown;

/** What became of an attempt to draft a change. */
export type DraftResult =
  | { readonly kind: 'drafted'; readonly change: Change; readonly manifest: Manifest }
  | { readonly kind: 'invalid'; readonly mistakes: readonly Mistake[] }
  | { readonly kind: 'absent' }
  | StoreDown;

/** A page of the history, newest first; `next` is the revision to go on before. */
export type HistoryResult =
  | {
      readonly kind: 'history';
      readonly records: readonly AuditRecord[];
      readonly next: number | undefined;
    }
  | StoreDown;

/** The head as read from the store. */
export type HeadResult =
  | { readonly kind: 'head'; readonly item: StoredValue | undefined; readonly manifest: Manifest }
  | StoreDown;

/** Texts of documents, or the reason why they cannot be had. */
export type TextsResult = { readonly kind: 'texts'; readonly documents: Documents } | StoreDown;

const ATTEMPTS = 8;
const FIRST_DELAY = 20;
const MAX_DELAY = 1000;

/** Reads and writes the configuration in the platform's service. */
export class ConfigStore {
  readonly #texts = new Map<Hash, string>();

  /** Hashes of texts that this daemon has stored. */
  readonly #stored = new Set<Hash>();

  readonly #archive: RecordArchive;

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#archive = new RecordArchive(platform);
  }

  /** Reads the manifest. */
  async readHead(): Promise<HeadResult> {
    const result = await this.platform.read(HEAD_KEY);
    switch (result.kind) {
      case 'found':
        return { kind: 'head', item: result.item, manifest: readManifest(result.item) };
      case 'absent':
        return { kind: 'head', item: undefined, manifest: readManifest(undefined) };
      case 'unavailable':
        return result;
      default:
        return result satisfies never;
    }
  }

  /** Returns texts already known by hash, for peers that ask. */
  getText(hash: Hash): string | undefined {
    return this.#texts.get(hash);
  }

  /** Keeps a text under its hash; a text that does not have that hash is not kept. */
  keepText(hash: Hash, text: string): boolean {
    if (hashText(text) !== hash) return false;
    this.#texts.set(hash, text);
    return true;
  }

  /** Forgets the texts that no document of the manifest uses. */
  forgetUnused(manifest: Manifest): void {
    const used = new Set(Object.values(manifest.documents));
    for (const hash of this.#texts.keys()) {
      if (used.has(hash)) continue;
      this.#texts.delete(hash);
      this.#stored.delete(hash);
    }
  }

  /** Returns the texts of a manifest's documents, reading those not yet known. */
  async readDocuments(manifest: Manifest): Promise<TextsResult> {
    const documents = new Map<string, string>();
    for (const [name, hash] of Object.entries(manifest.documents)) {
      const text = await this.#readText(hash);
      if (text.kind === 'unavailable') return text;
      documents.set(name, text.text);
    }
    return { kind: 'texts', documents };
  }

  /** Checks wishes against what is in force and stores them as a draft. */
  async draft(header: ChangeHeader, wishes: Wishes): Promise<DraftResult> {
    const head = await this.readHead();
    if (head.kind === 'unavailable') return head;
    const change = createChange(header, head.manifest.documents, wishes);
    return this.#storeDraft(change, head.manifest);
  }

  /** Drafts the change that undoes the change of a revision. */
  async draftUndo(header: ChangeHeader, revision: number): Promise<DraftResult> {
    const head = await this.readHead();
    if (head.kind === 'unavailable') return head;
    const found = await this.#archive.read(revision, head.manifest);
    if (found.kind !== 'record') return found;
    const { record } = found;
    const edits = invertEdits(record.edits);
    const texts: Record<Hash, string> = {};
    for (const { after } of edits) {
      if (after === NO_DOCUMENT) continue;
      const text = await this.#readText(after);
      if (text.kind === 'unavailable') return text;
      texts[after] = text.text;
    }
    const change: Change = { ...header, edits, texts, undoes: record.change };
    return this.#storeDraft(change, head.manifest);
  }

  /** Reads a draft. */
  async readDraft(id: string): Promise<DraftResult> {
    const result = await this.platform.read(buildDraftKey(id));
    if (result.kind === 'unavailable') return result;
    if (result.kind === 'absent') return { kind: 'absent' };
    const head = await this.readHead();
    if (head.kind === 'unavailable') return head;
    const change = JSON.parse(result.item.value) as Change;
    return { kind: 'drafted', change, manifest: head.manifest };
  }

  /**
   * Accepts a change by one compare-and-swap of the manifest.
   *
   * After a lost reply the same swap is tried again: while the version is unchanged it can take
   * effect at most once, and once the version has moved the records tell whether this change did it.
   */
  async accept(change: Change, by: string): Promise<AcceptResult> {
    let unsure = false;
    let reason = 'each attempt met another change';
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.#backOff(attempt);
      const head = await this.readHead();
      if (head.kind === 'unavailable') {
        if (attempt === 0) return head;
        continue;
      }
      const earlier = await this.#archive.findAccepted(change.id, head.manifest);
      if (earlier.kind === 'unavailable') {
        if (attempt === 0) return earlier;
        continue;
      }
      if (earlier.kind === 'record') {
        return { kind: 'accepted', record: earlier.record, manifest: head.manifest };
      }
      const blocked = await this.#findObstacle(change, head.manifest);
      if (blocked !== undefined) return blocked;
      const next = acceptChange(head.manifest, change, { by, at: this.clock.wall() });
      const archived = await this.#archive.archive(head.manifest);
      const manifest = trimRecords(next, archived);
      const result = await this.platform.swap({
        ...{ key: HEAD_KEY, value: formatManifest(manifest) },
        expect: head.item?.version ?? 0,
      });
      if (result.kind === 'written') {
        const record = manifest.records.at(-1);
        assertInvariant(record?.change === change.id, 'an accepted change has its audit record');
        return { kind: 'accepted', record, manifest };
      }
      if (result.kind === 'refused') reason = result.reason;
      if (result.kind === 'unknown') unsure = true;
    }
    return unsure
      ? { kind: 'unknown', reason: 'the platform did not say whether the change took effect' }
      : { kind: 'unavailable', reason };
  }

  /** Reads the audit records before revision `before`, newest first. */
  async readHistory(before: number | undefined, count: number): Promise<HistoryResult> {
    const head = await this.readHead();
    if (head.kind === 'unavailable') return head;
    const records: AuditRecord[] = [];
    let revision = Math.min(before ?? Infinity, head.manifest.revision + 1) - 1;
    while (revision > 0 && records.length < count) {
      const result = await this.#archive.read(revision, head.manifest);
      if (result.kind === 'unavailable') return result;
      assertInvariant(result.kind === 'record', `revision ${revision} has no audit record`);
      records.push(result.record);
      revision -= 1;
    }
    return { kind: 'history', records, next: revision > 0 ? revision + 1 : undefined };
  }

  async #backOff(attempt: number): Promise<void> {
    const limit = Math.min(MAX_DELAY, FIRST_DELAY * 2 ** attempt);
    await this.clock.sleep(limit * (0.5 + this.random.next() / 2));
  }

  async #readText(
    hash: Hash,
  ): Promise<{ readonly kind: 'text'; readonly text: string } | StoreDown> {
    const known = this.#texts.get(hash);
    if (known !== undefined) return { kind: 'text', text: known };
    const result = await this.platform.read(buildTextKey(hash));
    if (result.kind === 'unavailable') return result;
    if (result.kind === 'absent' || !this.keepText(hash, result.item.value)) {
      return { kind: 'unavailable', reason: `text ${hash} is missing or damaged` };
    }
    return { kind: 'text', text: result.item.value };
  }

  async #storeDraft(change: Change, manifest: Manifest): Promise<DraftResult> {
    const mistakes = await this.#check(change, manifest);
    if ('kind' in mistakes) return mistakes;
    if (mistakes.length > 0) return { kind: 'invalid', mistakes };
    const value = JSON.stringify(change);
    const result = await this.platform.swap({ key: buildDraftKey(change.id), value, expect: 0 });
    // The key holds a fresh identifier, so only a lost reply of this very write can have made it.
    if (result.kind === 'written') return { kind: 'drafted', change, manifest };
    const stored = await this.platform.read(buildDraftKey(change.id));
    if (stored.kind === 'found') return { kind: 'drafted', change, manifest };
    return { kind: 'unavailable', reason: 'the draft could not be stored' };
  }

  async #check(change: Change, manifest: Manifest): Promise<readonly Mistake[] | StoreDown> {
    const current = await this.readDocuments(manifest);
    if (current.kind === 'unavailable') return current;
    const documents = new Map(current.documents);
    for (const { name, after } of change.edits) {
      const text = change.texts[after];
      if (text === undefined) documents.delete(name);
      else documents.set(name, text);
    }
    return checkConfiguration(manifest.revision + 1, documents)
      .swap()
      .orDefault([]);
  }

  async #findObstacle(change: Change, manifest: Manifest): Promise<AcceptResult | undefined> {
    const conflict = findConflict(change.edits, manifest.documents);
    if (conflict !== undefined) {
      const by = findLastRecord(manifest, conflict.name);
      return { kind: 'conflict', document: conflict.name, by };
    }
    const mistakes = await this.#check(change, manifest);
    if ('kind' in mistakes) return mistakes;
    if (mistakes.length > 0) return { kind: 'invalid', mistakes };
    for (const [hash, text] of Object.entries(change.texts)) {
      const stored = await this.#storeText(hash, text);
      if (stored !== undefined) return stored;
    }
    return undefined;
  }

  async #storeText(hash: Hash, text: string): Promise<StoreDown | undefined> {
    if (this.#stored.has(hash)) return undefined;
    const swap = { key: buildTextKey(hash), value: text, expect: 0 };
    // A change of many documents can need more calls than the daemon may make at once.
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.#backOff(attempt);
      const { kind } = await this.platform.swap(swap);
      // A conflict means that the same text, having the same hash, is there already.
      if (kind !== 'written' && kind !== 'conflict') continue;
      this.#stored.add(hash);
      this.keepText(hash, text);
      return undefined;
    }
    return { kind: 'unavailable', reason: 'a text was not stored' };
  }
}
