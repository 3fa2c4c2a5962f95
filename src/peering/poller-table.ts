/**
 * The daemons that poll this one, from which its part of the fleet is counted.
 *
 * Each daemon counts as the fraction of its polls that comes here, so the parts of all daemons add
 * up to one. A daemon that polls others than before still counts there for a while, as datagrams
 * get lost. For shared rates it then counts at both. For quotas, which are larger, it counts here
 * only after that time.
 *
 * That time is shorter at a daemon that has just started, as the whole fleet may have: then its
 * pollers count nowhere else. While a fleet starts, each daemon polls others from one round to the
 * next until it knows the homes, and each of these would count it. So only those that polled
 * repeatedly do.
 */

/**
 * A daemon counts as a poller for this long after its last poll: several poll intervals, as
 * datagrams get lost. For quotas, it counts only after it has polled for as long.
 */
export const POLLER_WINDOW_MS = 1200;

/**
 * At a daemon that has run for less than `POLLER_WINDOW_MS`, a poller counts for quotas after polls
 * over this time, that is after two at the longest poll interval (250 ms)...
 */
const YOUNG_SETTLE_MS = 200;

/** ...and for this long after its last poll. */
const YOUNG_WINDOW_MS = 400;

/** Pollers that are kept: four times the largest fleet. */
const MAX_POLLERS = 10_000;

interface Poller {
  readonly at: number;
  /** How many daemons it polls in all, itself included. */
  readonly polledCount: number;
  /** When it began to poll without a gap. */
  readonly since: number;
  /** Whether it has polled for long enough to count for quotas. */
  readonly isSettled: boolean;
}

/** What is needed to weigh pollers as parts of a home. */
export interface OwnPolls {
  readonly self: string;
  /** How many daemons this one polls, itself included. */
  readonly polledCount: number;
  /** IP addresses of the homes. */
  readonly homes: ReadonlySet<string>;
}

/** The daemons that poll this one. Times are in milliseconds. */
export class PollerTable {
  readonly #pollers = new Map<string, Poller>();

  #startedAt = Infinity;

  /** Records that this daemon starts to receive polls. */
  start(now: number): void {
    this.#startedAt = now;
  }

  /** Drops the daemons that have not polled for `age` milliseconds. */
  forget(now: number, age: number): void {
    for (const [ip, { at }] of this.#pollers) if (now - at >= age) this.#pollers.delete(ip);
  }

  /** The number of daemons that are kept. */
  get size(): number {
    return this.#pollers.size;
  }

  /** Records a poll, and how many daemons the poller polls in all, itself included. */
  record(ip: string, polledCount: number, now: number): void {
    const isYoung = this.#isYoung(now);
    const window = isYoung ? YOUNG_WINDOW_MS : POLLER_WINDOW_MS;
    const known = this.#pollers.get(ip);
    if (known === undefined && this.#pollers.size >= MAX_POLLERS) return;
    const current = known !== undefined && now - known.at < window ? known : undefined;
    const since = current?.since ?? now;
    const isSettled =
      current?.isSettled === true || now - since >= (isYoung ? YOUNG_SETTLE_MS : POLLER_WINDOW_MS);
    this.#pollers.set(ip, { at: now, polledCount, since, isSettled });
  }

  /** Lists the daemons that polled this one less than `window` ago. */
  listRecent(now: number, window: number): readonly string[] {
    const recent: string[] = [];
    for (const [ip, { at }] of this.#pollers) if (now - at < window) recent.push(ip);
    return recent;
  }

  /** Counts the pollers, and this daemon, each as the fraction of its polls that comes here. */
  count(now: number, ownPolledCount: number): number {
    let count = 1 / ownPolledCount;
    for (const { at, polledCount } of this.#pollers.values()) {
      if (now - at < POLLER_WINDOW_MS) count += 1 / polledCount;
    }
    return count;
  }

  /**
   * Counts the pollers of a home. Where homes share a rate, a daemon that is no home sends nothing,
   * so its own fraction counts for the homes that it polls. The counts of all homes add up to the
   * size of the fleet.
   */
  countAtHome(now: number, own: OwnPolls): number {
    return this.#sumAtHome(own, ({ at }) => now - at < POLLER_WINDOW_MS);
  }

  /** The same for quotas: without the pollers that may still count at other daemons. */
  countForQuotas(now: number, own: OwnPolls): number {
    const window = this.#isYoung(now) ? YOUNG_WINDOW_MS : POLLER_WINDOW_MS;
    return this.#sumAtHome(own, ({ at, isSettled }) => isSettled && now - at < window);
  }

  #sumAtHome(own: OwnPolls, isCounted: (poller: Poller) => boolean): number {
    const { self, homes } = own;
    let count = homes.has(self) ? 1 / own.polledCount : 0;
    for (const [ip, poller] of this.#pollers) {
      const { polledCount } = poller;
      if (isCounted(poller))
        count += 1 / (homes.has(ip) ? polledCount : Math.max(1, polledCount - 1));
    }
    return count;
  }

  #isYoung(now: number): boolean {
    return now - this.#startedAt <= POLLER_WINDOW_MS;
  }
}
