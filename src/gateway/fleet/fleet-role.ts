/**
 * The role of this daemon in the fleet: whether it is a home (a daemon that callers are directed
 * to), which duties it has for all daemons, and which part of shared rates it may use.
 */
import type { FleetShare } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { PeerLink, Roster } from '../../peering/index.js';

/** Options of the role. */
export interface FleetRoleOptions {
  readonly clock: Clock;
  /** Returns the known daemons. Called only once there is a roster. */
  readonly readRoster: () => Roster;
  readonly self: string;
  /** Returns the link to the other daemons. Called only once there is one. */
  readonly readLink: () => Pick<
    PeerLink,
    'hasJoined' | 'countPollers' | 'countHomePollers' | 'countQuotaPollers' | 'countUnansweredSeeds'
  >;
  /** Counts the daemons in the store's list; the roster may know fewer at first. */
  readonly countListedDaemons: () => number;
}

/** Homes that read the store: two, so that one may fail without delaying updates. */
const STORE_READERS = 2;

/** Daemons poll homes four times a second; after this time all that are up have done so. */
const SETTLE_TIME_MS = 1500;

/** The role of one daemon. */
export class FleetRole {
  #startedAt = -Infinity;

  constructor(private readonly options: FleetRoleOptions) {}

  /** Records the start of this daemon. */
  start(): void {
    this.#startedAt = this.options.clock.now();
  }

  /** Time since the start of this daemon, in milliseconds. */
  get age(): number {
    return this.options.clock.now() - this.#startedAt;
  }

  /** Whether this daemon has just started, so that it may not know the others yet, nor they it. */
  get isNew(): boolean {
    return this.age < SETTLE_TIME_MS;
  }

  /** IP addresses of the homes, in order. */
  listHomes(): readonly string[] {
    return this.options
      .readRoster()
      .listHomes()
      .map(({ ip }) => ip);
  }

  /** Whether this daemon is a home. */
  isHome(): boolean {
    return this.listHomes().includes(this.options.self);
  }

  /** Whether this daemon is the first home, which does what a single daemon does for all. */
  isFirstHome(): boolean {
    return this.listHomes()[0] === this.options.self;
  }

  /** Whether this daemon reads the store for all, as the first homes do. */
  isDesignatedReader(): boolean {
    return this.listHomes().slice(0, STORE_READERS).includes(this.options.self);
  }

  /**
   * Returns this daemon's part of the fleet, on which its part of shared rates depends. The part is
   * 0 until the daemon can know the fleet.
   */
  readShare(): FleetShare {
    const { self, readRoster, readLink, countListedDaemons } = this.options;
    const link = readLink();
    const homes = this.listHomes();
    if (this.isNew || !link.hasJoined) return { part: 0, homes, self };
    const members = Math.max(readRoster().size, countListedDaemons());
    return { part: Math.min(1, link.countHomePollers() / members), homes, self };
  }

  /**
   * Returns this daemon's part of the fleet for quotas. The part is 0 until the number of daemons is
   * known from the store, or this daemon has run for long enough to know them itself. In contrast
   * to `readShare`, a daemon that reaches no other has a part.
   */
  readQuotaShare(): FleetShare {
    const { self, readRoster, readLink, countListedDaemons } = this.options;
    const homes = this.listHomes();
    const listed = countListedDaemons();
    if (this.isNew && listed === 0) return { part: 0, homes, self };
    const link = readLink();
    const members = Math.max(readRoster().size, listed, link.countUnansweredSeeds() + 1);
    return { part: Math.min(1, link.countQuotaPollers() / members), homes, self };
  }

  /**
   * Lists the other daemons that have a part: the homes, and their successors, which the homes poll
   * as well.
   */
  listQuotaPeers(): readonly string[] {
    const { self, readRoster } = this.options;
    const near = readRoster().listNearHomes();
    return near.map(({ ip }) => ip).filter((ip) => ip !== self);
  }

  /**
   * Counts the daemons known and those present, which poll this daemon or another home. All known
   * ones count as present until each has had the time to poll this one.
   */
  countDaemons(): { readonly members: number; readonly present: number } {
    const { readRoster, readLink } = this.options;
    const roster = readRoster();
    const members = roster.size;
    const present = readLink().countPollers() + roster.countPollersOfOtherHomes();
    return { members, present: this.isNew ? members : present };
  }
}
