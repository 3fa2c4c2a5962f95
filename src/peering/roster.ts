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

interface MemberEntry {
  info: MemberInfo;
  state: MemberState;
  utilisation: number;
  pollers: number;
  /** When it last answered, here or to a daemon that passed that on. */
  lastSeenAt: number;
  /** When it last answered here. */
  lastAnsweredAt: number;
  /** When it was last asked. */
  lastPolledAt: number;
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
const SILENCE_TIMEOUT_MS = 1200;

/** Daemons asked besides the homes, so that a successor is known to be alive before it is needed. */
const SUCCESSOR_COUNT = 2;

/** How often a daemon that does not answer is asked again. */
const SILENT_POLL_INTERVAL_MS = 1000;

/**
 * Daemons asked by one that is neither a home nor about to be: one may be lost without a gap in the news.
 * What they heard of the other homes they pass on, so a daemon's questions don't grow with the homes.
 */
const REMOTE_POLL_COUNT = 2;

/**
 * Of the daemons that don't serve yet, and of those that don't answer, this many are asked in a round. While a
 * whole fleet starts nobody serves; with everybody asked that makes 390,000 questions a second of 312 daemons.
 */
const MAX_STARTING_POLLED = 3;
const MAX_SILENT_POLLED = 3;

/** Daemons that never answered are forgotten after this long. */
const FORGET_AFTER_MS = 120_000;

/**
 * A home with less than this part of the strongest machine's cores costs the others more, in what they tell each other
 * and ask targets, than the calls that it takes from them.
 */
const MIN_HOME_CAPACITY_RATIO = 0.5;

/** Capacities within one step of each other are alike, so that small differences move no home. */
const CAPACITY_STEP_CORES = 0.5;

function isSameInfo(a: MemberInfo, b: MemberInfo): boolean {
  return a.domain === b.domain && a.capacity === b.capacity && a.isSenior === b.isSenior;
}

/** The daemons known. */
export class Roster {
  readonly #members = new Map<string, MemberEntry>();

  /** Those that answered here of late. */
  readonly #answering = new Set<MemberEntry>();

  #ranked: readonly MemberInfo[] | undefined;

  #plannedHomes = 0;

  #fingerprint = 0;

  /** Failure domains in which daemons are known. */
  #domainCount = 0;

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
        ...{ info, state: 'starting', utilisation: 0, pollers: 0 },
        ...{ lastSeenAt: -Infinity, lastAnsweredAt: -Infinity, lastPolledAt: -Infinity },
      });
      return;
    }
    if (info.domain === '' || isSameInfo(known.info, info)) return;
    this.#ranked = undefined;
    known.info = info;
  }

  /** Learns that a daemon answered, and what it said of itself. */
  recordStatus(info: MemberInfo, { state, utilisation, pollers }: MemberStatus): void {
    this.addMember(info);
    const member = this.#members.get(info.ip);
    if (member === undefined) return;
    member.lastSeenAt = this.options.clock.now();
    member.lastAnsweredAt = member.lastSeenAt;
    this.#answering.add(member);
    member.state = state;
    member.utilisation = utilisation;
    member.pollers = pollers;
  }

  /** Learns what another daemon heard; what was heard later, here or there, holds. */
  mergePresence({ ip, state, age }: Presence): void {
    const member = this.#members.get(ip);
    const seenAt = this.options.clock.now() - age;
    if (member === undefined || seenAt <= member.lastSeenAt) return;
    member.lastSeenAt = seenAt;
    member.state = state;
  }

  /** Lists what this daemon heard itself of late: of homes, successors, and others that it asked. */
  listPresences(): readonly Presence[] {
    const now = this.options.clock.now();
    const presences: Presence[] = [];
    for (const member of this.#answering) {
      const age = now - member.lastAnsweredAt;
      if (age > SILENCE_TIMEOUT_MS) this.#answering.delete(member);
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
    return Math.max(this.options.minHomes, this.#plannedHomes, this.#domainCount);
  }

  /** How many machines are strong enough to be planned as homes. */
  countHomeCandidates(): number {
    const capacities = this.list().map(({ capacity }) => capacity);
    const strongest = Math.max(...capacities);
    return capacities.filter((capacity) => capacity >= MIN_HOME_CAPACITY_RATIO * strongest).length;
  }

  /** Takes the plan of the first home. */
  setDesiredHomes(homes: number): void {
    this.#plannedHomes = homes;
  }

  /** How busy the other homes are, and of how many cores. */
  listHomeUtilisations(): readonly HomeUtilisation[] {
    return this.#listOtherHomes().map(({ utilisation, info }) => ({
      utilisation,
      capacity: info.capacity,
    }));
  }

  /** How many daemons look to the other homes that answer here. */
  countPollersOfOtherHomes(): number {
    const since = this.options.clock.now() - SILENCE_TIMEOUT_MS;
    return this.#listOtherHomes().reduce(
      (sum, { pollers, lastAnsweredAt }) => (lastAnsweredAt >= since ? sum + pollers : sum),
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
    const maxServing = this.desiredHomes + SUCCESSOR_COUNT;
    for (const info of this.#rank()) {
      if (info.ip === this.options.self.ip) return true;
      if (this.#isServing(info)) serving += 1;
      if (serving >= maxServing) return false;
    }
    return false;
  }

  /**
   * Whom to ask now whether they are there. Homes and their successors ask one another; the others ask a
   * few of them, those of their own failure domain first, and hear from these of the rest.
   *
   * @param silentInterval time between two questions to one that does not answer, in milliseconds
   */
  listToPoll(silentInterval = SILENT_POLL_INTERVAL_MS): readonly MemberInfo[] {
    const isNear = this.isNearHomes();
    const maxServing = isNear ? this.listHomes().length + SUCCESSOR_COUNT : REMOTE_POLL_COUNT;
    const now = this.options.clock.now();
    const polled: MemberInfo[] = [];
    let serving = 0;
    let starting = 0;
    let silent = 0;
    for (const info of isNear ? this.#rank() : this.#listPollCandidates()) {
      if (serving >= maxServing) break;
      const member = this.#members.get(info.ip);
      if (member === undefined) continue;
      const isServing = this.#isServing(info);
      if (isServing) serving += 1;
      if (info.ip === this.options.self.ip) continue;
      if (now - member.lastSeenAt > SILENCE_TIMEOUT_MS) {
        if (silent >= MAX_SILENT_POLLED || now - member.lastPolledAt < silentInterval) continue;
        silent += 1;
      } else if (!isServing) {
        if (starting >= MAX_STARTING_POLLED) continue;
        starting += 1;
      }
      member.lastPolledAt = now;
      polled.push(info);
    }
    return polled;
  }

  /** Forgets daemons that have not answered for long. @param keep those that stay all the same */
  forgetSilent(keep: ReadonlySet<string>): void {
    const now = this.options.clock.now();
    for (const [ip, { lastSeenAt, lastPolledAt }] of this.#members) {
      if (ip === this.options.self.ip || keep.has(ip)) continue;
      if (lastPolledAt === -Infinity || now - Math.max(lastSeenAt, 0) < FORGET_AFTER_MS) continue;
      this.#members.delete(ip);
      this.#fingerprint -= hashMember(ip);
      this.#ranked = undefined;
    }
  }

  #listOtherHomes(): readonly MemberEntry[] {
    const others: MemberEntry[] = [];
    for (const { ip } of this.listHomes()) {
      const member = this.#members.get(ip);
      if (ip !== this.options.self.ip && member !== undefined) others.push(member);
    }
    return others;
  }

  /** Homes first, in an order of this daemon's own, so that each gets its part of the questions. */
  *#listPollCandidates(): Iterable<MemberInfo> {
    const { self } = this.options;
    const computePreference = (info: MemberInfo) =>
      Number(info.domain === self.domain) + getPairHash(self.ip, info.ip) / 2 ** HASH_BITS;
    const homes = [...this.listHomes()].sort((a, b) => computePreference(b) - computePreference(a));
    yield* homes;
    const homeIps = new Set(homes.map(({ ip }) => ip));
    for (const info of this.#rank()) {
      if (!homeIps.has(info.ip)) yield info;
    }
  }

  #isServing(info: MemberInfo): boolean {
    if (info.ip === this.options.self.ip) return this.options.readSelfState() === 'ready';
    const member = this.#members.get(info.ip);
    if (member === undefined || member.state !== 'ready') return false;
    return this.options.clock.now() - member.lastSeenAt <= SILENCE_TIMEOUT_MS;
  }

  /** The order in which daemons become homes: strong ones first, then senior ones, then by hash; domains in turn. */
  #rank(): readonly MemberInfo[] {
    if (this.#ranked !== undefined) return this.#ranked;
    const countCapacitySteps = (info: MemberInfo) =>
      Math.floor(info.capacity / CAPACITY_STEP_CORES);
    const ordered = this.list()
      .map((info) => ({ ...info, id: info.ip, name: info.ip, rank: getPairHash('home', info.ip) }))
      .sort(
        (a, b) =>
          countCapacitySteps(b) - countCapacitySteps(a) ||
          Number(b.isSenior) - Number(a.isSenior) ||
          b.rank - a.rank,
      );
    this.#domainCount = new Set(ordered.map(({ domain }) => domain)).size;
    this.#ranked = spreadDomains(ordered).map(({ ip, domain, capacity, isSenior }) => ({
      ...{ ip, domain, capacity, isSenior },
    }));
    return this.#ranked;
  }
}

const FINGERPRINT_MODULUS = 1_000_003;

/** Length of the numbers that pairs are hashed to. */
const HASH_BITS = 48;

function hashMember(ip: string): number {
  return getPairHash('member', ip) % FINGERPRINT_MODULUS;
}
