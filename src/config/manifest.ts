/**
 * The manifest: the one value whose compare-and-swap accepts a change.
 *
 * It names the content of every document by hash and carries the audit records of recent changes.
 * So a change and its audit record are one write, and neither can exist without the other. Records
 * are copied to keys of their own afterwards and only then leave the manifest (transactional outbox).
 */
import type { StoredValue } from '../platform/index.js';
import { type Change, type Edit, type Hashes, applyEdits } from './change.js';

/** Who accepted which change when. */
export interface AuditRecord {
  readonly revision: number;
  readonly change: string;
  /** Who drafted the change. */
  readonly author: string;
  /** Who accepted it. */
  readonly acceptedBy: string;
  readonly message: string;
  /** Wall-clock time of the accepting daemon, in milliseconds since 1970. */
  readonly at: number;
  readonly edits: readonly Edit[];
  readonly undoes?: string;
}

/** The accepted state at one revision. */
export interface Manifest {
  readonly revision: number;
  readonly documents: Hashes;
  /** Records of the latest changes, oldest first. */
  readonly records: readonly AuditRecord[];
  /** All records up to this revision are archived under their own keys. */
  readonly archived: number;
}

/** The manifest of a new system. */
export const EMPTY_MANIFEST: Manifest = { revision: 0, documents: {}, records: [], archived: 0 };

/** Key of the manifest. */
export const HEAD_KEY = 'config/head';

/** How many records stay in the manifest although they are archived. */
export const KEPT_RECORDS = 32;

/** Key of a document's text. */
export function buildTextKey(hash: string): string {
  return `config/text/${hash}`;
}

const REVISION_DIGITS = 12;

/** Key of an archived record; keys sort by revision. */
export function buildRecordKey(revision: number): string {
  return `config/record/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Key that gives the revision of an archived record by its change. */
export function buildAcceptedKey(change: string): string {
  return `config/accepted/${change}`;
}

/** Key of a draft. */
export function buildDraftKey(id: string): string {
  return `config/draft/${id}`;
}

/** Writes a manifest as the value of {@link HEAD_KEY}. */
export function formatManifest(manifest: Manifest): string {
  return JSON.stringify(manifest);
}

/** Reads a manifest from a stored value. */
export function parseManifest(value: string): Manifest {
  return JSON.parse(value) as Manifest;
}

/** Reads a manifest from a stored item, or the empty one from none. */
export function readManifest(item: StoredValue | undefined): Manifest {
  return item === undefined ? EMPTY_MANIFEST : parseManifest(item.value);
}

/** Who accepts a change, and when by the wall clock of the accepting daemon. */
export interface Acceptance {
  readonly by: string;
  readonly at: number;
}

/** Returns the manifest after a change, with its audit record. The change must not conflict. */
export function acceptChange(
  manifest: Manifest,
  change: Change,
  { by: acceptedBy, at }: Acceptance,
): Manifest {
  const revision = manifest.revision + 1;
  const { id, author, message, edits, undoes } = change;
  const record: AuditRecord = {
    ...{ revision, change: id, author, acceptedBy, message, at, edits, undoes },
  };
  return {
    ...manifest,
    revision,
    documents: applyEdits(edits, manifest.documents),
    records: [...manifest.records, record],
  };
}

/** Notes that records up to `archived` are archived, and drops those no longer needed. */
export function trimRecords(manifest: Manifest, archived: number): Manifest {
  const keepFrom = Math.min(archived, manifest.revision - KEPT_RECORDS);
  const records = manifest.records.filter((record) => record.revision > keepFrom);
  return { ...manifest, records, archived: Math.max(manifest.archived, archived) };
}

/** Finds the record of the last change to a document among the recent ones. */
export function findLastRecord(manifest: Manifest, document: string): AuditRecord | undefined {
  return manifest.records.findLast(({ edits }) => edits.some(({ name }) => name === document));
}
