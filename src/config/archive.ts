/** Audit records that have left the manifest, each under a key of its own. */
import type { Platform } from '../platform/index.js';
import { type AuditRecord, type Manifest, buildAcceptedKey, buildRecordKey } from './manifest.js';

/** A record, none, or no answer. */
export type RecordResult =
  | { readonly kind: 'record'; readonly record: AuditRecord }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Reads and writes archived records. Writing one twice is harmless. */
export class RecordArchive {
  constructor(private readonly platform: Platform) {}

  /** Copies records to keys of their own; returns the revision up to which all are there. */
  async archive(manifest: Manifest): Promise<number> {
    let { archived } = manifest;
    for (const record of manifest.records) {
      if (record.revision <= archived) continue;
      if (!(await this.#copy(record))) return archived;
      archived = record.revision;
    }
    return archived;
  }

  /** Reads the record of a revision, from the manifest while it is there. */
  async read(revision: number, manifest: Manifest): Promise<RecordResult> {
    const recent = manifest.records.find((record) => record.revision === revision);
    if (recent !== undefined) return { kind: 'record', record: recent };
    const result = await this.platform.read(buildRecordKey(revision));
    if (result.kind !== 'found') return result;
    return { kind: 'record', record: JSON.parse(result.item.value) as AuditRecord };
  }

  /** Finds the record of a change that is in force already, also beneath later changes. */
  async findAccepted(change: string, manifest: Manifest): Promise<RecordResult> {
    const recent = manifest.records.find((record) => record.change === change);
    if (recent !== undefined) return { kind: 'record', record: recent };
    if (manifest.archived === 0) return { kind: 'absent' };
    const result = await this.platform.read(buildAcceptedKey(change));
    if (result.kind !== 'found') return result;
    return this.read(Number(result.item.value), manifest);
  }

  async #copy(record: AuditRecord): Promise<boolean> {
    const copies = [
      { key: buildAcceptedKey(record.change), value: String(record.revision), expect: 0 },
      { key: buildRecordKey(record.revision), value: JSON.stringify(record), expect: 0 },
    ];
    for (const copy of copies) {
      const { kind } = await this.platform.swap(copy);
      if (kind !== 'written' && kind !== 'conflict') return false;
    }
    return true;
  }
}
