/**
 * Learned state: estimates for services and routes, kept in the platform's store for daemons that
 * start.
 *
 * Guards against overload after a mass restart: when all machines lose power, or many daemons are
 * killed at once, all callers return within a second. Daemons that don't know how long calls take,
 * where targets slow down and how long a load report stays valid would send that second's calls to
 * targets that are slow or full.
 *
 * The stored values are initial values only. A daemon replaces them by its own observations, so
 * outdated or missing ones do no harm. One daemon writes the record, a few times a day, and only
 * after a significant change.
 */
import type { BlamedRequest } from '../balance/index.js';
import type { Clock, Log, LogFields } from '../kernel/index.js';
import { KEYS, type KvStore } from '../platform/index.js';

/** Estimates for the targets of one service. */
export interface LearnedServiceState {
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
export interface LearnedRouteState {
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

/** The learned state, by name of the service or route. */
export interface LearnedState {
  readonly services: Readonly<Record<string, LearnedServiceState>>;
  readonly routes: Readonly<Record<string, LearnedRouteState>>;
  /** Number of homes that the load needed. */
  readonly homes: number;
  /**
   * Requests that are held out. After a loss of all power each of them would crash targets again.
   */
  readonly poison: readonly StoredPoisonRequest[];
}

/** The state of a daemon that has learned nothing yet. */
export const EMPTY_LEARNED_STATE: LearnedState = { services: {}, routes: {}, homes: 0, poison: [] };

/** A value is written again when it differs from the stored one by more than this part of it. */
const MIN_CHANGE_RATIO = 0.3;

/** Limits the size of the record; missing routes are learned within a few calls. */
const MAX_STORED_ROUTES = 500;

/** Interval at which the daemon checks whether to read or to write the record. */
const CHECK_INTERVAL_MS = 5000;

const SERVICE_FIELDS = ['mean', 'slow', 'life', 'knee'] as const;
const ROUTE_FIELDS = ['work', 'spread'] as const;

/**
 * Keeps the entries that have all fields with positive values; the record may have been written by
 * anybody.
 */
function filterEntries<T>(value: unknown, fields: readonly string[]): Readonly<Record<string, T>> {
  if (typeof value !== 'object' || value === null) return {};
  const isComplete = (entry: unknown) =>
    fields.every((field) => Number((entry as Record<string, unknown> | null)?.[field]) > 0);
  return Object.fromEntries(Object.entries(value).filter(([, entry]) => isComplete(entry)));
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

/** Parses a record; invalid parts are left out. */
export function parseLearnedState(text: string): LearnedState {
  try {
    const value = JSON.parse(text) as Partial<LearnedState> | null;
    return {
      services: filterEntries<LearnedServiceState>(value?.services, SERVICE_FIELDS),
      routes: filterEntries<LearnedRouteState>(value?.routes, ROUTE_FIELDS),
      homes: Number.isInteger(value?.homes) ? Math.max(0, value?.homes ?? 0) : 0,
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
  const storedRoutes = Object.fromEntries(Object.entries(routes).slice(0, MAX_STORED_ROUTES));
  return JSON.stringify({ services, routes: storedRoutes, homes, poison }, round);
}

function hasValueChanged<T extends object>(stored: T | undefined, next: T): boolean {
  if (stored === undefined) return true;
  const storedValues = stored as Readonly<Record<string, number>>;
  return Object.entries(next).some(
    ([field, value]) =>
      Math.abs(value - storedValues[field]) > MIN_CHANGE_RATIO * storedValues[field],
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
    hasValueChanged({ homes: stored.homes }, { homes: next.homes }) ||
    hasPoisonChanged(next.poison, stored.poison) ||
    Object.entries(next.services).some(([name, entry]) =>
      hasValueChanged(stored.services[name], entry),
    ) ||
    Object.entries(next.routes)
      .slice(0, MAX_STORED_ROUTES)
      .some(([name, entry]) => hasValueChanged(stored.routes[name], entry))
  );
}

/** Longest text of the values of a record in a log line. */
const MAX_LOGGED_LENGTH = 600;

/** Formats entries as `name:value/value`, shortened to what fits into a line. */
function describeEntries(entries: Readonly<Record<string, object>>): string {
  const text = Object.entries(entries)
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
    const learned = readLearnedState();
    if (!hasSignificantChange(learned, this.#stored)) return;
    const merged = {
      services: { ...this.#stored.services, ...learned.services },
      routes: { ...learned.routes, ...this.#stored.routes, ...learned.routes },
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
