/**
 * The daemons that this one knows, which of them answer, and which of those are homes.
 *
 * Homes are the entries that callers are sent to. Every daemon works them out by itself from the
 * same order, so no message is needed to agree; for a moment two daemons may disagree, which costs
 * some precision of counts and nothing else, because every daemon can serve every request.
 */
import type { Clock } from '../kernel/index.js';
import { getPairHash, spreadDomains } from '../balance/home.js';

/** What a daemon says of itself. */
export interface MemberInfo {
  /** IP number; ports are alike on all VMs. */
  readonly ip: string;
  readonly domain: string;
  /** Cores, as a number that may be below 1. */
  readonly capacity: number;
  /**
   * Whether it runs since long, or since the very first start. One that was started anew leaves its
   * homes' duty where that has gone: callers hold their answers, and a second move helps nobody.
   */
  readonly isSenior: boolean;
}

/** Whether a daemon serves callers. */
export type MemberState = 'starting' | 'ready' | 'stopping';

/** What one daemon heard from another one itself. */
export interface Presence {
  readonly ip: string;
  readonly state: MemberState;
  /** How long ago, in milliseconds. */
  readonly age: number;
}

/** What a daemon says of itself when it answers. */
export interface MemberStatus {
  readonly state: MemberState;
  /** The part of its time in which it was at work of late, from 0 to 1. */
  readonly utilisation: number;
  /** How many daemons look to it, each counted as the part of its questions that go there. */
  readonly pollers: number;
}

/** How busy one home is. */
export interface HomeUtilisation {
  /** The part of its time in which it was at work of late, from 0 to 1. */
  readonly utilisation: number;
  /** Its cores. */
  readonly capacity: number;
}

interface Member {
  info: MemberInfo;
  state: MemberState;
  busy: number;
  askers: number;
  /** When it last answered, here or to a daemon that passed that on. */
  heardAt: number;
  /** When it last answered here. */
  answeredAt: number;
  /** When it was last asked. */
  askedAt: number;
}

/** What the plan of homes needs to know. */
export interface RosterOptions {
  readonly clock: Clock;
  readonly self: MemberInfo;
  readonly readSelfState: () => MemberState;
  /** How many homes there are, at least. */
  readonly minHomes: number;
  /** Cores that the homes have to bring together. */
  readonly minHomeCapacity: number;
}

/** A daemon that has not answered for this long is not counted on: five questions, as datagrams get lost. */
const SILENCE = 1200;

/** Daemons asked besides the homes, so that a successor is known to be alive before it is needed. */
const SUCCESSORS = 2;

/** How often a daemon that does not answer is asked again. */
const ABSENT_PACE = 1000;

/**
 * Daemons asked by one that is neither a home nor about to be: one may be lost without a gap in the news.
 * What they heard of the other homes they pass on, so a daemon's questions don't grow with the homes.
 */
const INFORMANTS = 2;

/**
 * Of the daemons that don't serve yet, and of those that don't answer, this many are asked in a round. While a
 * whole fleet starts nobody serves; with everybody asked that makes 390,000 questions a second of 312 daemons.
 */
const MOST_WAITING = 3;
const MOST_ABSENT = 3;

/** Daemons that never answered are forgotten after this long. */
const FORGET_AFTER = 120_000;

/**
 * A home with less than this part of the strongest machine's cores costs the others more, in what they tell each other
 * and ask targets, than the calls that it takes from them.
 */
const STRONG_PART = 0.5;

/** Capacities within one step of each other are alike, so that small differences move no home. */
const CAPACITY_STEP = 0.5;

function matchInfos(a: MemberInfo, b: MemberInfo): boolean {
  return a.domain === b.domain && a.capacity === b.capacity && a.isSenior === b.isSenior;
}

/** The daemons known. */
export class Roster {
  readonly #members = new Map<string, Member>();

  /** Those that answered here of late. */
  readonly #answering = new Set<Member>();

  #ranked: readonly MemberInfo[] | undefined;

  #wanted = 0;

  #fingerprint = 0;

  /** Failure domains in which daemons are known. */
  #domains = 0;

  constructor(private readonly options: RosterOptions) {
    this.addMember(options.self);
  }

  /** Everybody known, this daemon included. */
  list(): readonly MemberInfo[] {
    return [...this.#members.values()].map(({ info }) => info);
  }

  /** How many daemons are known, this one included. */
  get size(): number {
    return this.#members.size;
  }

  /** A number that differs when two rosters do. */
  readFingerprint(): number {
    return this.#fingerprint;
  }

  /** Learns that a daemon exists; its own word replaces what others say. */
  addMember(info: MemberInfo): void {
    const known = this.#members.get(info.ip);
    if (known === undefined) {
      this.#ranked = undefined;
      this.#fingerprint += hashMember(info.ip);
      this.#members.set(info.ip, {
        ...{ info, state: 'starting', busy: 0, askers: 0 },
        ...{ heardAt: -Infinity, answeredAt: -Infinity, askedAt: -Infinity },
      });
      return;
    }
    if (info.domain === '' || matchInfos(known.info, info)) return;
    this.#ranked = undefined;
    known.info = info;
  }

  /** Learns that a daemon answered, and what it said of itself. */
  recordStatus(
    info: MemberInfo,
    { state, utilisation: busy, pollers: askers }: MemberStatus,
  ): void {
    this.addMember(info);
    const member = this.#members.get(info.ip);
    if (member === undefined) return;
    member.heardAt = this.options.clock.now();
    member.answeredAt = member.heardAt;
    this.#answering.add(member);
    member.state = state;
    member.busy = busy;
    member.askers = askers;
  }

  /** Learns what another daemon heard; what was heard later, here or there, holds. */
  mergePresence({ ip, state, age }: Presence): void {
    const member = this.#members.get(ip);
    const heardAt = this.options.clock.now() - age;
    if (member === undefined || heardAt <= member.heardAt) return;
    member.heardAt = heardAt;
    member.state = state;
  }

  /** Lists what this daemon heard itself of late: of homes, successors, and others that it asked. */
  listPresences(): readonly Presence[] {
    const now = this.options.clock.now();
    const presences: Presence[] = [];
    for (const member of this.#answering) {
      const age = now - member.answeredAt;
      if (age > SILENCE) this.#answering.delete(member);
      else presences.push({ ip: member.info.ip, state: member.state, age });
    }
    return presences;
  }

  /**
   * How many homes are wanted for the load; the settings' own number holds where it is larger, and so does one
   * home in each failure domain: it probes the targets there, and callers there reach it without crossing.
   */
  get desiredHomes(): number {
    this.#rank();
    return Math.max(this.options.minHomes, this.#wanted, this.#domains);
  }

  /** How many machines are strong enough to be planned as homes. */
  countHomeCandidates(): number {
    const capacities = this.list().map(({ capacity }) => capacity);
    const strongest = Math.max(...capacities);
    return capacities.filter((capacity) => capacity >= STRONG_PART * strongest).length;
  }

  /** Takes the plan of the first home. */
  setDesiredHomes(homes: number): void {
    this.#wanted = homes;
  }

  /** How busy the other homes are, and of how many cores. */
  listHomeUtilisations(): readonly HomeUtilisation[] {
    return this.#listOtherHomes().map(({ busy, info }) => ({
      utilisation: busy,
      capacity: info.capacity,
    }));
  }

  /** How many daemons look to the other homes that answer here. */
  countPollersOfOtherHomes(): number {
    const since = this.options.clock.now() - SILENCE;
    return this.#listOtherHomes().reduce(
      (sum, { askers, answeredAt }) => (answeredAt >= since ? sum + askers : sum),
      0,
    );
  }

  /** The entries that callers are sent to, in order. */
  listHomes(): readonly MemberInfo[] {
    const homes: MemberInfo[] = [];
    let capacity = 0;
    for (const info of this.#rank()) {
      if (homes.length >= this.desiredHomes && capacity >= this.options.minHomeCapacity) break;
      if (!this.#isServing(info)) continue;
      homes.push(info);
      capacity += info.capacity;
    }
    return homes;
  }

  /** Whether this daemon is a home or would be the next one: such know of each other at first hand. */
  isNearHomes(): boolean {
    let serving = 0;
    const wanted = this.desiredHomes + SUCCESSORS;
    for (const info of this.#rank()) {
      if (info.ip === this.options.self.ip) return true;
      if (this.#isServing(info)) serving += 1;
      if (serving >= wanted) return false;
    }
    return false;
  }

  /**
   * Whom to ask now whether they are there. Homes and their successors ask one another; the others ask a
   * few of them, those of their own failure domain first, and hear from these of the rest.
   *
   * @param absentPace time between two questions to one that does not answer, in milliseconds
   */
  listToPoll(absentPace = ABSENT_PACE): readonly MemberInfo[] {
    const isNear = this.isNearHomes();
    const wanted = isNear ? this.listHomes().length + SUCCESSORS : INFORMANTS;
    const now = this.options.clock.now();
    const asked: MemberInfo[] = [];
    let serving = 0;
    let waiting = 0;
    let absent = 0;
    for (const info of isNear ? this.#rank() : this.#listInformants()) {
      if (serving >= wanted) break;
      const member = this.#members.get(info.ip);
      if (member === undefined) continue;
      const isServing = this.#isServing(info);
      if (isServing) serving += 1;
      if (info.ip === this.options.self.ip) continue;
      if (now - member.heardAt > SILENCE) {
        if (absent >= MOST_ABSENT || now - member.askedAt < absentPace) continue;
        absent += 1;
      } else if (!isServing) {
        if (waiting >= MOST_WAITING) continue;
        waiting += 1;
      }
      member.askedAt = now;
      asked.push(info);
    }
    return asked;
  }

  /** Forgets daemons that have not answered for long. @param keep those that stay all the same */
  forgetSilent(keep: ReadonlySet<string>): void {
    const now = this.options.clock.now();
    for (const [ip, { heardAt, askedAt }] of this.#members) {
      if (ip === this.options.self.ip || keep.has(ip)) continue;
      if (askedAt === -Infinity || now - Math.max(heardAt, 0) < FORGET_AFTER) continue;
      this.#members.delete(ip);
      this.#fingerprint -= hashMember(ip);
      this.#ranked = undefined;
    }
  }

  #listOtherHomes(): readonly Member[] {
    const others: Member[] = [];
    for (const { ip } of this.listHomes()) {
      const member = this.#members.get(ip);
      if (ip !== this.options.self.ip && member !== undefined) others.push(member);
    }
    return others;
  }

  /** Homes first, in an order of this daemon's own, so that each gets its part of the questions. */
  *#listInformants(): Iterable<MemberInfo> {
    const { self } = this.options;
    const measure = (info: MemberInfo) =>
      Number(info.domain === self.domain) + getPairHash(self.ip, info.ip) / 2 ** HASH_BITS;
    const homes = [...this.listHomes()].sort((a, b) => measure(b) - measure(a));
    yield* homes;
    const names = new Set(homes.map(({ ip }) => ip));
    for (const info of this.#rank()) {
      if (!names.has(info.ip)) yield info;
    }
  }

  #isServing(info: MemberInfo): boolean {
    if (info.ip === this.options.self.ip) return this.options.readSelfState() === 'ready';
    const member = this.#members.get(info.ip);
    if (member === undefined || member.state !== 'ready') return false;
    return this.options.clock.now() - member.heardAt <= SILENCE;
  }

  /** The order in which daemons become homes: strong ones first, then senior ones, then by hash; domains in turn. */
  #rank(): readonly MemberInfo[] {
    if (this.#ranked !== undefined) return this.#ranked;
    const measure = (info: MemberInfo) => Math.floor(info.capacity / CAPACITY_STEP);
    const ordered = this.list()
      .map((info) => ({ ...info, id: info.ip, name: info.ip, rank: getPairHash('home', info.ip) }))
      .sort(
        (a, b) =>
          measure(b) - measure(a) || Number(b.isSenior) - Number(a.isSenior) || b.rank - a.rank,
      );
    this.#domains = new Set(ordered.map(({ domain }) => domain)).size;
    this.#ranked = spreadDomains(ordered).map(({ ip, domain, capacity, isSenior }) => ({
      ...{ ip, domain, capacity, isSenior },
    }));
    return this.#ranked;
  }
}

const FINGERPRINTS = 1_000_003;

/** Length of the numbers that pairs are hashed to. */
const HASH_BITS = 48;

function hashMember(ip: string): number {
  return getPairHash('member', ip) % FINGERPRINTS;
}
