/**
 * What one daemon believes of the configuration and the targets, with the revision of each part.
 *
 * Every part carries the revision of the store at which it changed, so news may come from the store
 * or from another daemon, in any order and more than once: a part only ever moves to a higher
 * revision. A configuration never falls to an older version within the life of a daemon.
 */
import type { RouteTable } from '../routing/index.js';
import { type TargetRecord, decodeConfiguration } from '../platform/documents.js';

/** A target as listed, and the revision at which that became so. */
export interface ListedTarget {
  readonly record: TargetRecord;
  readonly revision: number;
  /** Until when the target is slow after its start, on this daemon's clock. */
  readonly coldUntil: number;
}

/** A target that left the list, and the revision at which it did. */
export interface RemovedTarget {
  readonly incarnation: string;
  readonly revision: number;
}

/** The failure domains whose targets take no calls, because the operators asked for that. */
export interface Evacuations {
  readonly domains: readonly string[];
  /** The revision of the store at which these became all of them; 0 while none was ever heard of. */
  readonly revision: number;
}

/**
 * How far a view has come. Its parts come from the store by ways of their own, so one may be ahead of
 * another, and none says anything about the others.
 */
export interface ViewPosition {
  /** The store's revision at the last change of a target. */
  readonly targets: number;
  /** The store's revision at the last change of the configuration. */
  readonly configuration: number;
  /** The store's revision at the last change of the evacuated domains. */
  readonly evacuations: number;
}

/** Up to which revisions of the store all changes are known. */
export interface KnownRevisions {
  /** Of targets. */
  readonly targets: number;
  /** Of what the operators keep there. */
  readonly operators: number;
}

/** The changes after a position, to be sent to another daemon. */
export interface ViewDelta {
  /** The position that the other reaches with them. */
  readonly position: ViewPosition;
  /** Whether targets that are not named here are to be forgotten. */
  readonly isWhole: boolean;
  readonly configuration?: { readonly text: string; readonly revision: number };
  readonly evacuations?: Evacuations;
  readonly targets: readonly { readonly record: TargetRecord; readonly revision: number }[];
  readonly left: readonly RemovedTarget[];
}

/** What is told when something changed. */
export interface ViewListener {
  onTable(table: RouteTable): void;
  /** A target appeared, changed its state, or left; undefined stands for the record of one that left. */
  onTarget(incarnation: string, record: TargetRecord | undefined, revision: number): void;
  /** Other failure domains are evacuated than before. */
  onEvacuations(evacuations: Evacuations): void;
  /** A configuration could not be decoded and the one in force stays, or a part of the new one could not. */
  onFault(what: string): void;
}

/** Departures remembered for daemons that ask what changed; the history of some minutes. */
const MAX_REMOVED_TARGETS = 2000;

/**
 * A target that is cold for this much longer than it was known to be has turned cold again, in milliseconds: what one
 * entry says differs by its way here.
 */
const MIN_COLD_EXTENSION_MS = 1000;

function isSameRecord(a: TargetRecord, b: TargetRecord): boolean {
  return (
    a.service === b.service &&
    a.born === b.born &&
    a.address.host === b.address.host &&
    a.address.port === b.address.port &&
    a.domain === b.domain &&
    a.slots === b.slots &&
    a.state === b.state &&
    a.release === b.release
  );
}

/** The view of one daemon. */
export class FleetView {
  #table: RouteTable | undefined;

  #configuration: { readonly text: string; readonly revision: number } | undefined;

  readonly #targets = new Map<string, ListedTarget>();

  #removed: readonly RemovedTarget[] = [];

  readonly #removedAt = new Map<string, number>();

  /** Departures up to this revision are no longer remembered. */
  #forgottenUpTo = 0;

  #targetsRevision = 0;

  #provenAt = -Infinity;

  #evacuations: Evacuations = { domains: [], revision: 0 };

  #known: KnownRevisions = { targets: 0, operators: 0 };

  constructor(private readonly listener: ViewListener) {}

  /** The configuration in force; undefined until one is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** How far this view has come. */
  get position(): ViewPosition {
    return {
      ...{ targets: this.#targetsRevision, configuration: this.configurationRevision },
      evacuations: this.#evacuations.revision,
    };
  }

  /** The last moment, on this daemon's clock, at which nothing newer was in the store. */
  get provenAt(): number {
    return this.#provenAt;
  }

  /** The revisions of the store up to which all changes are known. */
  get known(): KnownRevisions {
    return this.#known;
  }

  /** The failure domains that are evacuated. */
  get evacuations(): Evacuations {
    return this.#evacuations;
  }

  /** The revision of the newest configuration that is known; 0 when none is. */
  get configurationRevision(): number {
    return this.#configuration?.revision ?? 0;
  }

  /** The targets of the list, leaving ones included. */
  listTargets(): readonly ListedTarget[] {
    return [...this.#targets.values()];
  }

  /** Notes that at time `at` the store held no newer change of a target or of what the operators keep. */
  recordProof(at: number): void {
    this.#provenAt = Math.max(this.#provenAt, at);
  }

  /** Notes up to which revisions all changes are known. */
  advanceKnown({ targets = 0, operators = 0 }: Partial<KnownRevisions>): void {
    this.#known = {
      targets: Math.max(this.#known.targets, targets),
      operators: Math.max(this.#known.operators, operators),
    };
  }

  /** Takes all the domains that are evacuated, as the store held them at a revision. */
  setEvacuations({ domains, revision }: Evacuations): void {
    const { domains: known, revision: knownRevision } = this.#evacuations;
    if (revision <= knownRevision) return;
    // What is the same at a later revision is taken as well: word of what stood between may still come.
    this.#evacuations = { domains, revision };
    const isSame = domains.length === known.length && domains.every((it) => known.includes(it));
    if (!isSame) this.listener.onEvacuations(this.#evacuations);
  }

  /** Takes the configuration as the store held it at a revision. */
  setConfiguration(text: string, revision: number): void {
    if (this.#configuration !== undefined && revision <= this.#configuration.revision) return;
    const table = decodeConfiguration(text);
    this.#configuration = { text, revision };
    if ('kind' in table) {
      this.listener.onFault(`${table.what}; expected ${table.expected}`);
      return;
    }
    if (this.#table !== undefined && table.version <= this.#table.version) return;
    this.#table = table;
    for (const warning of table.warnings) this.listener.onFault(warning);
    this.listener.onTable(table);
  }

  /** Takes a target's entry; one that says nothing new but that it lives changes no revision. */
  putTarget(record: TargetRecord, revision: number, now: number): void {
    const { incarnation } = record;
    if (revision <= (this.#removedAt.get(incarnation) ?? 0)) return;
    const known = this.#targets.get(incarnation);
    if (known !== undefined && revision <= known.revision) return;
    // Of two starts under one name the later one holds, in whatever order news come.
    if (known !== undefined && record.born < known.record.born) return;
    const coldUntil = record.coldLeft > 0 ? now + record.coldLeft : -Infinity;
    const isColdAgain = coldUntil > (known?.coldUntil ?? -Infinity) + MIN_COLD_EXTENSION_MS;
    if (known !== undefined && !isColdAgain && isSameRecord(known.record, record)) {
      this.#targets.set(incarnation, { ...known, coldUntil });
      return;
    }
    this.#targets.set(incarnation, { record, revision, coldUntil });
    this.#removedAt.delete(incarnation);
    this.#advanceTargets(revision);
    this.listener.onTarget(incarnation, record, revision);
  }

  /** Forgets a target whose entry is gone. */
  removeTarget(incarnation: string, revision: number): void {
    const known = this.#targets.get(incarnation);
    if (known !== undefined && revision <= known.revision) return;
    if (revision <= (this.#removedAt.get(incarnation) ?? 0)) return;
    this.#removedAt.set(incarnation, revision);
    this.#removed = [...this.#removed, { incarnation, revision }];
    if (this.#removed.length > MAX_REMOVED_TARGETS) this.#trimRemoved();
    this.#advanceTargets(revision);
    if (!this.#targets.delete(incarnation)) return;
    this.listener.onTarget(incarnation, undefined, revision);
  }

  /** Tells what changed after a position, or everything when that is no longer known. */
  diffSince(after: ViewPosition, now: number): ViewDelta {
    const isWhole = after.targets < this.#forgottenUpTo || after.targets === 0;
    const configuration = this.#configuration;
    const targets = this.listTargets()
      .filter((listed) => isWhole || listed.revision > after.targets)
      .map((listed) => ({
        revision: listed.revision,
        record: { ...listed.record, coldLeft: Math.max(0, listed.coldUntil - now) },
      }));
    return {
      ...{ position: this.position, isWhole, targets },
      configuration:
        configuration !== undefined && configuration.revision > after.configuration
          ? configuration
          : undefined,
      evacuations: this.#evacuations.revision > after.evacuations ? this.#evacuations : undefined,
      left: this.#removed.filter((left) => left.revision > after.targets),
    };
  }

  /** Takes what another daemon tells. */
  applyDelta(delta: ViewDelta, now: number): void {
    const { configuration } = delta;
    if (configuration !== undefined) {
      this.setConfiguration(configuration.text, configuration.revision);
    }
    if (delta.evacuations !== undefined) this.setEvacuations(delta.evacuations);
    for (const { record, revision } of delta.targets) this.putTarget(record, revision, now);
    for (const { incarnation, revision } of delta.left) this.removeTarget(incarnation, revision);
    if (delta.isWhole) {
      const present = new Set(delta.targets.map(({ record }) => record.incarnation));
      for (const [incarnation, listed] of this.#targets) {
        if (!present.has(incarnation) && listed.revision <= delta.position.targets) {
          this.removeTarget(incarnation, delta.position.targets);
        }
      }
    }
    this.#advanceTargets(delta.position.targets);
  }

  #advanceTargets(revision: number): void {
    this.#targetsRevision = Math.max(this.#targetsRevision, revision);
  }

  #trimRemoved(): void {
    const dropped = this.#removed.slice(0, MAX_REMOVED_TARGETS / 2);
    this.#removed = this.#removed.slice(MAX_REMOVED_TARGETS / 2);
    for (const { incarnation, revision } of dropped) {
      this.#forgottenUpTo = Math.max(this.#forgottenUpTo, revision);
      if (this.#removedAt.get(incarnation) === revision) this.#removedAt.delete(incarnation);
    }
  }
}
