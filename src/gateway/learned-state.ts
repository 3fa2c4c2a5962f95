/**
 * What daemons have learnt of services and routes, kept in the platform's store for those that start
 * anew.
 *
 * The pattern answered: all machines lose power, or many are killed at once, and all callers return
 * within a second. Daemons that know neither how long calls take nor where targets slow down nor how long
 * a report lasts send that second's calls to targets that are slow or full.
 *
 * The lessons are a start and no decision: whatever a daemon sees itself replaces them, so old or missing
 * ones do no harm. One daemon writes, a few times a day, and only what has changed.
 */
import type { BlamedRequest } from '../balance/index.js';
import type { Clock, Log } from '../kernel/index.js';
import { KEYS, type KvStore } from '../platform/index.js';

/** What is known of the targets of one service. */
export interface LearnedServiceState {
  /** Mean slowdown, that of slow targets, and how long a report lasts in milliseconds. */
  readonly mean: number;
  readonly slow: number;
  readonly life: number;
  /** How many times longer a call takes at a nearly full target. */
  readonly knee: number;
}

/** What is known of the calls of one route. */
export interface LearnedRouteState {
  /** Time of a call at a usual, idle target, in milliseconds. */
  readonly work: number;
  /** Most calls take no longer than this many times the expected time. */
  readonly spread: number;
}

/** A request under which targets ended, and which is held out. */
export interface StoredPoisonRequest extends BlamedRequest {
  /** When the last of them ended, in milliseconds since 1970. */
  readonly at: number;
}

/** All lessons, by name of the service or route. */
export interface LearnedState {
  readonly services: Readonly<Record<string, LearnedServiceState>>;
  readonly routes: Readonly<Record<string, LearnedRouteState>>;
  /** How many homes the load took. */
  readonly homes: number;
  /** Requests that are held out: after a loss of all power each of them would end targets anew. */
  readonly poison: readonly StoredPoisonRequest[];
}

/** The lessons of a daemon that has learnt nothing. */
export const EMPTY_LEARNED_STATE: LearnedState = { services: {}, routes: {}, homes: 0, poison: [] };

/** A figure that differs by less from the one written is no news. */
const MIN_CHANGE_RATIO = 0.3;

/** Routes in the record; more would make it long, and unknown ones are learnt within some calls. */
const MAX_STORED_ROUTES = 500;

/** Time between two looks at whether there is something to write or to read, in milliseconds. */
const CHECK_INTERVAL_MS = 5000;

const SERVICE_FIELDS = ['mean', 'slow', 'life', 'knee'] as const;
const ROUTE_FIELDS = ['work', 'spread'] as const;

/** Keeps the entries that have all their figures; others were written by who knows whom. */
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

/** Reads a record; what makes no sense is left out. */
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

/** Writes a record. */
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

/** Whether other requests are held out, or more targets have ended under one. */
function hasPoisonChanged(next: LearnedState['poison'], stored: LearnedState['poison']): boolean {
  const formatKey = ({ request, ended }: StoredPoisonRequest) => `${request}/${ended.length}`;
  const storedKeys = new Set(stored.map(formatKey));
  return (
    next.length !== storedKeys.size || next.some((request) => !storedKeys.has(formatKey(request)))
  );
}

/** Whether something was learnt that the record does not tell, or tells quite differently. */
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

/** What the book is made from. */
export interface LearnedStateStoreOptions {
  readonly store: KvStore;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the whole system starts for the first time: nobody has learnt anything yet. */
  readonly isFirstStart: boolean;
  /** Whether it falls to this daemon to write. */
  readonly isWriter: () => boolean;
  /** Whether calls meet at this daemon. */
  readonly isHome: () => boolean;
  /** What this daemon has learnt. */
  readonly readLearnedState: () => LearnedState;
  readonly onRead: (state: LearnedState) => void;
}

/** Reads the record at the start and when calls begin to meet here, and keeps it while that is its duty. */
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
    log.info('lessons.written', { outcome: outcome.kind, bytes: text.length });
    if (outcome.kind === 'done') {
      this.#stored = parseLearnedState(text);
      this.#revision = outcome.revision;
      return;
    }
    // Somebody else wrote, or the answer was lost: what stands there now is the start of the next try.
    await this.#read(false);
  }
}
