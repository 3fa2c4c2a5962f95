/**
 * Learned state: estimates for services and routes, kept in the platform's store for daemons that
 * start.
 *
 * Guards against overload after a mass restart: when all machines lose power, or many daemons are
 * killed at once, all callers return within a second. Daemons that don't know how long calls take,
 * where targets slow down and how long a load report stays valid would send that second's calls to
 * targets that are slow or full.
 *
 * The stored values are initial values only. A daemon replaces them by its own observations and
 * refuses no call for them, so wrong, outdated or missing ones do no lasting harm. One daemon
 * writes the record, a few times a day, and only after a significant change that further samples
 * have confirmed.
 */
import { type BlamedRequest, MAX_SPREAD } from '../balance/index.js';
import type { Clock, Log, LogFields } from '../kernel/index.js';
import { KEYS, type KvStore, MAX_SLOWDOWN, MIN_SLOWDOWN } from '../platform/index.js';

/** What stored estimates rest on. */
export interface SampleInfo {
  /** Number of samples; 0 in records of builds that did not store it. */
  readonly samples: number;
  /** When the last one was taken, in milliseconds since 1970. */
  readonly at: number;
}

/** Estimates for the targets of one service. */
export interface LearnedServiceState extends SampleInfo {
  /** Mean slowdown of the targets. */
  readonly mean: number;
  /** Mean slowdown of slow targets. */
  readonly slow: number;
  /** How long a load report stays valid, in milliseconds. */
  readonly life: number;
  /** How many times longer a call takes at a nearly full target. */
  readonly knee: number;
}

/** Estimates for the calls of one route. */
export interface LearnedRouteState extends SampleInfo {
  /** Time of a call at a usual, idle target, in milliseconds. */
  readonly work: number;
  /** Most calls take at most this many times the expected time. */
  readonly spread: number;
}

/** A poison request that is held out: targets ended while they ran it. */
export interface StoredPoisonRequest extends BlamedRequest {
  /** When the last of these targets ended, in milliseconds since 1970. */
  readonly at: number;
}

/** Estimates by the name of their service or route, which others choose. */
export type LearnedEntries<T extends SampleInfo> = ReadonlyMap<string, T>;

/** The learned state. */
export interface LearnedState {
  readonly services: LearnedEntries<LearnedServiceState>;
  readonly routes: LearnedEntries<LearnedRouteState>;
  /** Number of homes that the load needed. */
  readonly homes: number;
  /**
   * Requests that are held out. After a loss of all power each of them would crash targets again.
   */
  readonly poison: readonly StoredPoisonRequest[];
}

/** The state of a daemon that has learned nothing yet. */
export const EMPTY_LEARNED_STATE: LearnedState = {
  ...{ services: new Map(), routes: new Map(), homes: 0, poison: [] },
};

/** A value is written again when it differs from the stored one by more than this part of it. */
const MIN_CHANGE_RATIO = 0.3;

/** Limits the size of the record; missing routes are learned within a few calls. */
const MAX_STORED_ROUTES = 500;

/** Interval at which the daemon checks whether to read or to write the record. */
const CHECK_INTERVAL_MS = 5000;

/** Samples after which an estimate is compared with what it was before them. */
const MIN_CONFIRMING_SAMPLES = 10;

/** Two estimates agree when neither is more than this many times the other. */
const MAX_STEADY_RATIO = 2;

type Range = readonly [min: number, max: number];

/** The ranges of the estimates of an entry. */
type Ranges<T> = Readonly<Record<Exclude<keyof T, keyof SampleInfo>, Range>>;

const SLOWDOWN_RANGE: Range = [MIN_SLOWDOWN, MAX_SLOWDOWN];

/** What the targets of a service can have; times in milliseconds. */
const SERVICE_RANGES: Ranges<LearnedServiceState> = {
  mean: SLOWDOWN_RANGE,
  slow: SLOWDOWN_RANGE,
  life: [10, 60_000],
  knee: [1, 10],
};

/** What the calls of a route can have: none is held for longer than a minute. */
const ROUTE_RANGES: Ranges<LearnedRouteState> = {
  ...{ work: [0.01, 60_000], spread: [1, MAX_SPREAD] },
};

const SERVICE_FIELDS = Object.keys(SERVICE_RANGES);
const ROUTE_FIELDS = Object.keys(ROUTE_RANGES);

/** More homes than any fleet has. */
const MAX_STORED_HOMES = 1000;

/** Decodes one entry; undefined unless all fields are within their ranges. */
function decodeEntry<T extends SampleInfo>(value: unknown, ranges: Ranges<T>): T | undefined {
  const entry = (value ?? {}) as Readonly<Record<string, unknown>>;
  const { samples, at } = entry;
  const decoded: Record<string, number> = {
    samples: typeof samples === 'number' && samples > 0 ? samples : 0,
    at: typeof at === 'number' && at > 0 ? at : 0,
  };
  for (const [field, [min, max]] of Object.entries<Range>(ranges)) {
    const number = entry[field];
    if (typeof number !== 'number' || !(number >= min && number <= max)) return undefined;
    decoded[field] = number;
  }
  return decoded as unknown as T;
}

/** Keeps the valid entries; the record may have been written by anybody. */
function decodeEntries<T extends SampleInfo>(value: unknown, ranges: Ranges<T>): LearnedEntries<T> {
  const decoded = new Map<string, T>();
  if (typeof value !== 'object' || value === null) return decoded;
  for (const [name, entry] of Object.entries(value)) {
    const valid = decodeEntry<T>(entry, ranges);
    if (valid !== undefined) decoded.set(name, valid);
  }
  return decoded;
}

function isStoredPoisonRequest(value: unknown): value is StoredPoisonRequest {
  const { request, ended, releases, at } = (value ?? {}) as Partial<StoredPoisonRequest>;
  if (typeof request !== 'string' || typeof at !== 'number') return false;
  if (!Array.isArray(ended) || !Array.isArray(releases)) return false;
  return (
    ended.every((target) => typeof target === 'number') &&
    releases.every((release) => typeof release === 'string')
  );
}

function clampHomes(homes: number): number {
  return Math.min(MAX_STORED_HOMES, Math.max(0, homes));
}

/** The record as JSON. */
interface StoredState extends Omit<LearnedState, 'services' | 'routes'> {
  readonly services: unknown;
  readonly routes: unknown;
}

/** Parses a record; invalid parts are left out. */
export function parseLearnedState(text: string): LearnedState {
  try {
    const value = JSON.parse(text) as Partial<StoredState> | null;
    return {
      services: decodeEntries<LearnedServiceState>(value?.services, SERVICE_RANGES),
      routes: decodeEntries<LearnedRouteState>(value?.routes, ROUTE_RANGES),
      homes: Number.isInteger(value?.homes) ? clampHomes(value?.homes ?? 0) : 0,
      poison: Array.isArray(value?.poison) ? value.poison.filter(isStoredPoisonRequest) : [],
    };
  } catch {
    return EMPTY_LEARNED_STATE;
  }
}

/** Formats a record; numbers are rounded to two decimals. */
export function formatLearnedState({ services, routes, homes, poison }: LearnedState): string {
  const round = (_key: string, value: unknown) =>
    typeof value === 'number' ? Math.round(value * 100) / 100 : value;
  const stored: StoredState = {
    services: Object.fromEntries(services),
    routes: Object.fromEntries([...routes].slice(0, MAX_STORED_ROUTES)),
    ...{ homes, poison },
  };
  return JSON.stringify(stored, round);
}

function hasValueChanged<T extends object>(
  stored: T | undefined,
  next: T,
  fields: readonly string[],
): boolean {
  if (stored === undefined) return true;
  const storedValues = stored as Readonly<Record<string, number>>;
  const nextValues = next as Readonly<Record<string, number>>;
  return fields.some(
    (field) =>
      Math.abs(nextValues[field] - storedValues[field]) > MIN_CHANGE_RATIO * storedValues[field],
  );
}

/**
 * Whether other requests are held out than stored, or more targets have ended under one of them.
 */
function hasPoisonChanged(next: LearnedState['poison'], stored: LearnedState['poison']): boolean {
  const getKey = ({ request, ended }: StoredPoisonRequest) => `${request}/${ended.length}`;
  const storedKeys = new Set(stored.map(getKey));
  return next.length !== storedKeys.size || next.some((entry) => !storedKeys.has(getKey(entry)));
}

/**
 * Whether the new state has entries that the stored one lacks, values that differ significantly, or
 * other requests that are held out.
 */
export function hasSignificantChange(next: LearnedState, stored: LearnedState): boolean {
  return (
    hasValueChanged({ homes: stored.homes }, { homes: next.homes }, ['homes']) ||
    hasPoisonChanged(next.poison, stored.poison) ||
    [...next.services].some(([name, entry]) =>
      hasValueChanged(stored.services.get(name), entry, SERVICE_FIELDS),
    ) ||
    [...next.routes]
      .slice(0, MAX_STORED_ROUTES)
      .some(([name, entry]) => hasValueChanged(stored.routes.get(name), entry, ROUTE_FIELDS))
  );
}

/** Longest text of the values of a record in a log line. */
const MAX_LOGGED_LENGTH = 600;

/** Formats entries as `name:value/value`, shortened to what fits into a line. */
function describeEntries(entries: ReadonlyMap<string, object>): string {
  const text = [...entries]
    .map(([name, entry]) => {
      const values = Object.values(entry as Readonly<Record<string, number>>);
      return `${name}:${values.map((value) => Math.round(value * 100) / 100).join('/')}`;
    })
    .join(',');
  return text.length <= MAX_LOGGED_LENGTH ? text : `${text.slice(0, MAX_LOGGED_LENGTH)}...`;
}

function describeLearnedState({ services, routes, homes, poison }: LearnedState): LogFields {
  return {
    ...{ homes, poison: poison.length },
    ...{ services: describeEntries(services), routes: describeEntries(routes) },
  };
}

/** Whether two states of an estimate agree in all their values. */
function isSteady<T extends SampleInfo>(before: T, now: T, fields: readonly string[]): boolean {
  const previous = before as unknown as Readonly<Record<string, number>>;
  const current = now as unknown as Readonly<Record<string, number>>;
  return fields.every((field) => {
    const ratio = current[field] / previous[field];
    return ratio <= MAX_STEADY_RATIO && ratio >= 1 / MAX_STEADY_RATIO;
  });
}

/**
 * Selects the estimates that are fit to be stored: those that further samples have confirmed, so
 * that a moment of trouble, or a daemon that gets no samples any more, stores nothing.
 */
class SteadyEntries<T extends SampleInfo> {
  /** The states with which the next ones are compared. */
  readonly #baselines = new Map<string, T>();

  readonly #fields: readonly string[];

  constructor(private readonly ranges: Ranges<T>) {
    this.#fields = Object.keys(ranges);
  }

  /** Returns the entries that agree with their state some samples ago. */
  select(entries: LearnedEntries<T>): LearnedEntries<T> {
    const selected = new Map<string, T>();
    for (const [name, entry] of entries) {
      const baseline = this.#baselines.get(name);
      if (baseline !== undefined && entry.samples - baseline.samples < MIN_CONFIRMING_SAMPLES)
        continue;
      this.#baselines.set(name, entry);
      if (baseline === undefined || !isSteady(baseline, entry, this.#fields)) continue;
      if (decodeEntry<T>(entry, this.ranges) !== undefined) selected.set(name, entry);
    }
    return selected;
  }
}

/** What the store of learned state works with. */
export interface LearnedStateStoreOptions {
  readonly store: KvStore;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the whole system starts for the first time, so that there is no record yet. */
  readonly isFirstStart: boolean;
  /** Whether this daemon is the one that writes the record. */
  readonly isWriter: () => boolean;
  /** Whether this daemon is a home, to which callers send their calls. */
  readonly isHome: () => boolean;
  /** Returns what this daemon has learned. */
  readonly readLearnedState: () => LearnedState;
  /** Called with each state that was read from the store. */
  readonly onRead: (state: LearnedState) => void;
}

/**
 * Reads the record at the start and when this daemon becomes a home; writes it while this daemon is
 * the writer.
 */
export class LearnedStateStore {
  #stored = EMPTY_LEARNED_STATE;

  readonly #steadyServices = new SteadyEntries<LearnedServiceState>(SERVICE_RANGES);

  readonly #steadyRoutes = new SteadyEntries<LearnedRouteState>(ROUTE_RANGES);

  #revision = 0;

  constructor(private readonly options: LearnedStateStoreOptions) {}

  /** Reads and writes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isHome, isWriter, isFirstStart } = this.options;
    if (!isFirstStart) await this.#read(true);
    let wasHome = isHome();
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (signal.aborted) return;
      if (isHome() && !wasHome) await this.#read(true);
      wasHome = isHome();
      if (isWriter()) await this.#write();
    }
  }

  async #read(allowStale: boolean): Promise<void> {
    const answer = await this.options.store.readItem(KEYS.learnedState, allowStale);
    if (answer.kind !== 'item' || answer.item.revision < this.#revision) return;
    this.#revision = answer.item.revision;
    this.#stored = parseLearnedState(answer.item.text);
    this.options.log.info('lessons.read', {
      ...{ revision: this.#revision, ...describeLearnedState(this.#stored) },
    });
    this.options.onRead(this.#stored);
  }

  async #write(): Promise<void> {
    const { store, log, readLearnedState } = this.options;
    const { services, routes, homes, poison } = readLearnedState();
    const learned: LearnedState = {
      services: this.#steadyServices.select(services),
      routes: this.#steadyRoutes.select(routes),
      ...{ homes: clampHomes(homes), poison },
    };
    if (!hasSignificantChange(learned, this.#stored)) return;
    const merged = {
      services: new Map([...this.#stored.services, ...learned.services]),
      // What this daemon has learned comes first, as the record is limited.
      routes: new Map([...learned.routes, ...this.#stored.routes, ...learned.routes]),
      ...{ homes: learned.homes, poison: learned.poison },
    };
    const text = formatLearnedState(merged);
    const outcome = await store.write({ key: KEYS.learnedState, text, expected: this.#revision });
    log.info('lessons.written', {
      ...{ outcome: outcome.kind, bytes: text.length, ...describeLearnedState(merged) },
    });
    if (outcome.kind === 'done') {
      this.#stored = parseLearnedState(text);
      this.#revision = outcome.revision;
      return;
    }
    // Another daemon wrote first, or the answer was lost: the next attempt starts from what is
    // stored now.
    await this.#read(false);
  }
}
