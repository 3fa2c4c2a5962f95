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
const CHANGED = 0.3;

/** Routes in the record; more would make it long, and unknown ones are learnt within some calls. */
const MOST_ROUTES = 500;

/** Time between two looks at whether there is something to write or to read, in milliseconds. */
const PACE = 5000;

const SERVICE_FIELDS = ['mean', 'slow', 'life', 'knee'] as const;
const ROUTE_FIELDS = ['work', 'spread'] as const;

/** Keeps the entries that have all their figures; others were written by who knows whom. */
function filterEntries<T>(value: unknown, fields: readonly string[]): Readonly<Record<string, T>> {
  if (typeof value !== 'object' || value === null) return {};
  const isWhole = (entry: unknown) =>
    fields.every((field) => Number((entry as Record<string, unknown> | null)?.[field]) > 0);
  return Object.fromEntries(Object.entries(value).filter(([, entry]) => isWhole(entry)));
}

function isPoison(value: unknown): value is StoredPoisonRequest {
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
      poison: Array.isArray(value?.poison) ? value.poison.filter(isPoison) : [],
    };
  } catch {
    return EMPTY_LEARNED_STATE;
  }
}

/** Writes a record. */
export function formatLearnedState({ services, routes, homes, poison }: LearnedState): string {
  const round = (_key: string, value: unknown) =>
    typeof value === 'number' ? Math.round(value * 100) / 100 : value;
  const kept = Object.fromEntries(Object.entries(routes).slice(0, MOST_ROUTES));
  return JSON.stringify({ services, routes: kept, homes, poison }, round);
}

function hasChanged<T extends object>(known: T | undefined, next: T): boolean {
  if (known === undefined) return true;
  const before = known as Readonly<Record<string, number>>;
  return Object.entries(next).some(
    ([field, value]) => Math.abs(value - before[field]) > CHANGED * before[field],
  );
}

/** Whether other requests are held out, or more targets have ended under one. */
function hasPoisonChanged(next: LearnedState['poison'], written: LearnedState['poison']): boolean {
  const name = ({ request, ended }: StoredPoisonRequest) => `${request}/${ended.length}`;
  const before = new Set(written.map(name));
  return next.length !== before.size || next.some((it) => !before.has(name(it)));
}

/** Whether something was learnt that the record does not tell, or tells quite differently. */
export function hasSignificantChange(next: LearnedState, written: LearnedState): boolean {
  return (
    hasChanged({ homes: written.homes }, { homes: next.homes }) ||
    hasPoisonChanged(next.poison, written.poison) ||
    Object.entries(next.services).some(([name, it]) => hasChanged(written.services[name], it)) ||
    Object.entries(next.routes)
      .slice(0, MOST_ROUTES)
      .some(([name, it]) => hasChanged(written.routes[name], it))
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
  readonly onFound: (lessons: LearnedState) => void;
}

/** Reads the record at the start and when calls begin to meet here, and keeps it while that is its duty. */
export class LearnedStateStore {
  #written = EMPTY_LEARNED_STATE;

  #revision = 0;

  constructor(private readonly options: LearnedStateStoreOptions) {}

  /** Reads and writes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isHome, isWriter, isFirstStart } = this.options;
    if (!isFirstStart) await this.#read(true);
    let wasHome = isHome();
    while (!signal.aborted) {
      await clock.sleep(PACE, signal);
      if (signal.aborted) return;
      if (isHome() && !wasHome) await this.#read(true);
      wasHome = isHome();
      if (isWriter()) await this.#write();
    }
  }

  async #read(isStale: boolean): Promise<void> {
    const answer = await this.options.store.readItem(KEYS.learnedState, isStale);
    if (answer.kind !== 'item' || answer.item.revision < this.#revision) return;
    this.#revision = answer.item.revision;
    this.#written = parseLearnedState(answer.item.text);
    this.options.onFound(this.#written);
  }

  async #write(): Promise<void> {
    const { store, log, readLearnedState: listLessons } = this.options;
    const learnt = listLessons();
    if (!hasSignificantChange(learnt, this.#written)) return;
    const lessons = {
      services: { ...this.#written.services, ...learnt.services },
      routes: { ...learnt.routes, ...this.#written.routes, ...learnt.routes },
      ...{ homes: learnt.homes, poison: learnt.poison },
    };
    const text = formatLearnedState(lessons);
    const written = await store.write({ key: KEYS.learnedState, text, expected: this.#revision });
    log.info('lessons.written', { outcome: written.kind, bytes: text.length });
    if (written.kind === 'done') {
      this.#written = parseLearnedState(text);
      this.#revision = written.revision;
      return;
    }
    // Somebody else wrote, or the answer was lost: what stands there now is the start of the next try.
    await this.#read(false);
  }
}
