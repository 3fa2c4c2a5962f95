/** Where this daemon stands among the others: whether it is a home, which duties fall to it, what part of the fleet it has. */
import type { FleetShare } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { PeerLink, Roster } from '../../peering/index.js';

/** What the place is made from. */
export interface FleetRoleOptions {
  readonly clock: Clock;
  /** The daemons known, once there is a roster. */
  readonly readRoster: () => Roster;
  readonly self: string;
  /** The link to the others, once it is made. */
  readonly readLink: () => Pick<PeerLink, 'hasJoined' | 'countPollers' | 'countHomePollers'>;
  /** Daemons that the store's list named; the roster may know fewer at first. */
  readonly countListedDaemons: () => number;
}

/** Readers of the store: two, so that one may die without anybody noticing late. */
const STORE_READERS = 2;

/** Daemons ask homes four times a second; after this long, in milliseconds, all that are there have asked. */
const SETTLE_TIME_MS = 1500;

/** The place of one daemon. */
export class FleetRole {
  #startedAt = -Infinity;

  constructor(private readonly options: FleetRoleOptions) {}

  /** Notes that this daemon starts. */
  start(): void {
    this.#startedAt = this.options.clock.now();
  }

  /** How long this daemon has run, in milliseconds. */
  get age(): number {
    return this.options.clock.now() - this.#startedAt;
  }

  /** Whether it has just started, so that it may not know the others yet, nor they it. */
  get isNew(): boolean {
    return this.age < SETTLE_TIME_MS;
  }

  /** IP numbers of the homes, in order. */
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

  /** Whether what one daemon does for all falls to this one. */
  isFirstHome(): boolean {
    return this.listHomes()[0] === this.options.self;
  }

  /** Whether it reads the store for all, as the first homes do. */
  isDesignatedReader(): boolean {
    return this.listHomes().slice(0, STORE_READERS).includes(this.options.self);
  }

  /** What this daemon stands for in the fleet; it has no part of it before it can know the fleet. */
  readShare(): FleetShare {
    const { self, readRoster, readLink, countListedDaemons } = this.options;
    const link = readLink();
    const homes = this.listHomes();
    if (this.isNew || !link.hasJoined) return { part: 0, homes, self };
    const members = Math.max(readRoster().size, countListedDaemons());
    return { part: Math.min(1, link.countHomePollers() / members), homes, self };
  }

  /** Counts the daemons known and those present; everybody is taken for present until all have had the time to ask. */
  countDaemons(): { readonly members: number; readonly present: number } {
    const { readRoster, readLink } = this.options;
    const roster = readRoster();
    const members = roster.size;
    const present = readLink().countPollers() + roster.countPollersOfOtherHomes();
    return { members, present: this.isNew ? members : present };
  }
}
