/**
 * One daemon's view of the configuration and the targets, with the store revision of each part.
 *
 * Each part carries the store revision at which it last changed, so updates may come from the store
 * or from another daemon, in any order and more than once: a part only ever moves to a higher
 * revision. While a daemon runs, its configuration never goes back to an older version.
 */
import type { RouteTable } from '../routing/index.js';
import {
  type DecodeFault,
  type TargetRecord,
  decodeConfiguration,
  decodeInSlices,
} from '../platform/documents.js';
import { mayHoldKeys, replaceKeys } from '../platform/organisations.js';

/** A target's current record, and the store revision at which it last changed. */
export interface ListedTarget {
  readonly record: TargetRecord;
  readonly revision: number;
  /**
   * When the target stops being cold (slow after its start), on this daemon's clock in
   * milliseconds.
   */
  readonly coldUntil: number;
}

/** A target that was removed, and the store revision of its removal. */
export interface RemovedTarget {
  readonly incarnation: string;
  readonly revision: number;
}

/** The failure domains whose targets get no calls, at the operators' request. */
export interface Evacuations {
  readonly domains: readonly string[];
  /** The store revision of this set; 0 while none is known. */
  readonly revision: number;
}

/**
 * The store revisions that a view has reached, part by part. The parts are updated independently,
 * so one may be ahead of another, and the revision of one part says nothing about the others.
 */
export interface ViewPosition {
  /** The store revision of the last change of a target. */
  readonly targets: number;
  /** The store revision of the last change of the configuration. */
  readonly configuration: number;
  /** The store revision of the last change of the evacuated domains. */
  readonly evacuations: number;
}

/** The store revisions up to which all changes are known. */
export interface KnownRevisions {
  /** Up to here all changes of targets are known. */
  readonly targets: number;
  /** Up to here all changes of the operators' keys (configuration, evacuations) are known. */
  readonly operators: number;
}

/** The changes after a position, as sent to another daemon. */
export interface ViewDelta {
  /** The position that the receiver reaches by applying them. */
  readonly position: ViewPosition;
  /**
   * Whether `targets` is the full list: the receiver removes its other targets, unless they are
   * newer.
   */
  readonly isWhole: boolean;
  readonly configuration?: { readonly text: string; readonly revision: number };
  readonly evacuations?: Evacuations;
  readonly targets: readonly { readonly record: TargetRecord; readonly revision: number }[];
  readonly left: readonly RemovedTarget[];
}

/** Receives the changes of a view. */
export interface ViewListener {
  /** A newer configuration is in force. */
  onTable(table: RouteTable): void;
  /** A target was added, changed, or removed; `record` is undefined for a removed one. */
  onTarget(incarnation: string, record: TargetRecord | undefined, revision: number): void;
  /** The set of evacuated failure domains has changed. */
  onEvacuations(evacuations: Evacuations): void;
  /**
   * A configuration could not be decoded, and the one in force stays; or a part of a new one could
   * not.
   */
  onFault(what: string): void;
  /** There is no room for a target; called once until there is room again. */
  onFull?(incarnation: string, targets: number): void;
}

/** Targets that are kept, and the characters of their names; further targets get no requests. */
const MAX_TARGETS = 10_000;
const MAX_NAME_CHARACTERS = 16_777_216;

/** No target has a longer name, in characters. */
const MAX_NAME_LENGTH = 4096;

function countCharacters({ incarnation, service, domain, release, address }: TargetRecord): number {
  const names = [incarnation, service, domain, release ?? '', address.host];
  return names.reduce((sum, name) => sum + name.length, 0);
}

/** Removals kept for daemons that ask what changed: a history of some minutes. */
const MAX_REMOVED_TARGETS = 2000;

/**
 * A target has turned cold again when the end of its cold time moves later by more than this.
 * Smaller differences come from the varying delay with which one and the same record arrives.
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

  /** The conversions in progress, one after the other; undefined when there is none. */
  #conversions: Promise<void> | undefined;

  /** The highest revision of a configuration that is being converted. */
  #convertingRevision = 0;

  readonly #targets = new Map<string, ListedTarget>();

  /** The characters of the names of all targets. */
  #characters = 0;

  #isFull = false;

  #removed: readonly RemovedTarget[] = [];

  /** The revision of each kept removal, by incarnation. */
  readonly #removedAt = new Map<string, number>();

  /** Removals up to this revision are no longer kept. */
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

  /** The store revisions that this view has reached. */
  get position(): ViewPosition {
    return {
      ...{ targets: this.#targetsRevision, configuration: this.configurationRevision },
      evacuations: this.#evacuations.revision,
    };
  }

  /**
   * The last time, on this daemon's clock, at which the store is known to have held nothing newer.
   */
  get provenAt(): number {
    return this.#provenAt;
  }

  /** The store revisions up to which all changes are known. */
  get known(): KnownRevisions {
    return this.#known;
  }

  /** The evacuated failure domains. */
  get evacuations(): Evacuations {
    return this.#evacuations;
  }

  /** The store revision of the newest known configuration; 0 when none is known. */
  get configurationRevision(): number {
    return this.#configuration?.revision ?? 0;
  }

  /** Lists all known targets, draining ones included. */
  listTargets(): readonly ListedTarget[] {
    return [...this.#targets.values()];
  }

  /**
   * Records that at time `at` the store held no newer change of a target or of an operators' key.
   */
  recordProof(at: number): void {
    this.#provenAt = Math.max(this.#provenAt, at);
  }

  /** Raises the revisions up to which all changes are known; lower values are ignored. */
  advanceKnown({ targets = 0, operators = 0 }: Partial<KnownRevisions>): void {
    this.#known = {
      targets: Math.max(this.#known.targets, targets),
      operators: Math.max(this.#known.operators, operators),
    };
  }

  /** Sets the complete list of evacuated domains, as the store held it at a revision. */
  setEvacuations({ domains, revision }: Evacuations): void {
    const { domains: known, revision: knownRevision } = this.#evacuations;
    if (revision <= knownRevision) return;
    // An equal list at a later revision is kept too: an update with a revision in between may still
    // arrive.
    this.#evacuations = { domains, revision };
    const isSame = domains.length === known.length && domains.every((it) => known.includes(it));
    if (!isSame) this.listener.onEvacuations(this.#evacuations);
  }

  /**
   * Sets the configuration, as the store held it at a revision. Keys in the text are replaced by
   * digests first, which takes some event-loop iterations; the promise resolves when it is set.
   */
  setConfiguration(text: string, revision: number): Promise<void> | undefined {
    if (revision <= this.configurationRevision) return undefined;
    if (this.#conversions !== undefined && revision <= this.#convertingRevision) {
      return this.#conversions;
    }
    const isConverting = this.#conversions !== undefined;
    if (!isConverting && !mayHoldKeys(text)) {
      this.#applyConfiguration({ text, revision }, decodeConfiguration(text));
      return undefined;
    }
    this.#convertingRevision = revision;
    // One after the other, so that a shorter text does not overtake an earlier version.
    const conversion = this.#convertConfiguration(text, revision, this.#conversions).finally(() => {
      if (this.#conversions === conversion) this.#conversions = undefined;
    });
    this.#conversions = conversion;
    return conversion;
  }

  async #convertConfiguration(
    text: string,
    revision: number,
    earlier: Promise<void> | undefined,
  ): Promise<void> {
    await earlier?.catch(() => undefined);
    const converted = await replaceKeys(text);
    this.#applyConfiguration({ text: converted, revision }, await decodeInSlices(converted));
  }

  #applyConfiguration(
    configuration: { readonly text: string; readonly revision: number },
    table: RouteTable | DecodeFault,
  ): void {
    this.#configuration = configuration;
    if ('kind' in table) {
      this.listener.onFault(`${table.what}; expected ${table.expected}`);
      return;
    }
    if (this.#table !== undefined && table.version <= this.#table.version) return;
    this.#table = table;
    for (const warning of table.warnings) this.listener.onFault(warning);
    this.listener.onTable(table);
  }

  /**
   * Adds or updates a target. A heartbeat, which changes nothing in the record, moves no revision.
   */
  putTarget(record: TargetRecord, revision: number, now: number): void {
    const { incarnation } = record;
    if (incarnation.length > MAX_NAME_LENGTH) return;
    if (revision <= (this.#removedAt.get(incarnation) ?? 0)) return;
    const known = this.#targets.get(incarnation);
    if (known !== undefined && revision <= known.revision) return;
    // Of two starts of one incarnation name the later one wins, whatever order the updates come in.
    if (known !== undefined && record.born < known.record.born) return;
    const coldUntil = record.coldLeft > 0 ? now + record.coldLeft : -Infinity;
    const isColdAgain = coldUntil > (known?.coldUntil ?? -Infinity) + MIN_COLD_EXTENSION_MS;
    if (known !== undefined && !isColdAgain && isSameRecord(known.record, record)) {
      this.#targets.set(incarnation, { ...known, coldUntil });
      return;
    }
    if (!this.#takeRoom(record, known?.record)) return;
    this.#targets.set(incarnation, { record, revision, coldUntil });
    this.#removedAt.delete(incarnation);
    this.#advanceTargets(revision);
    this.listener.onTarget(incarnation, record, revision);
  }

  /** Takes the room of a record in place of a former one; false when there is too little. */
  #takeRoom(record: TargetRecord, former: TargetRecord | undefined): boolean {
    const freed = former === undefined ? 0 : countCharacters(former);
    const characters = this.#characters - freed + countCharacters(record);
    const isNewTooMany = former === undefined && this.#targets.size >= MAX_TARGETS;
    if (!isNewTooMany && characters <= MAX_NAME_CHARACTERS) {
      this.#characters = characters;
      return true;
    }
    if (!this.#isFull) this.listener.onFull?.(record.incarnation, this.#targets.size);
    this.#isFull = true;
    return false;
  }

  /** Removes a target whose entry the store no longer holds. */
  removeTarget(incarnation: string, revision: number): void {
    if (incarnation.length > MAX_NAME_LENGTH) return;
    const known = this.#targets.get(incarnation);
    if (known !== undefined && revision <= known.revision) return;
    if (revision <= (this.#removedAt.get(incarnation) ?? 0)) return;
    this.#removedAt.set(incarnation, revision);
    this.#removed = [...this.#removed, { incarnation, revision }];
    if (this.#removed.length > MAX_REMOVED_TARGETS) this.#trimRemoved();
    this.#advanceTargets(revision);
    if (known === undefined) return;
    this.#targets.delete(incarnation);
    this.#characters -= countCharacters(known.record);
    this.#isFull = false;
    this.listener.onTarget(incarnation, undefined, revision);
  }

  /**
   * Lists the changes after a position, or everything when the removals since then are no longer
   * kept.
   */
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

  /**
   * Applies changes that another daemon sent. The promise resolves when the configuration is set as
   * well, which may take some event-loop iterations.
   */
  applyDelta(delta: ViewDelta, now: number): Promise<void> | undefined {
    const { configuration } = delta;
    const pending =
      configuration === undefined
        ? undefined
        : this.setConfiguration(configuration.text, configuration.revision);
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
    return pending;
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
