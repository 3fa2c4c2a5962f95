/**
 * The daemons that this one knows, which of them answer, and which of those are homes.
 *
 * Homes are the daemons to which callers are sent. Each daemon computes them from the same ranking,
 * so they need no messages to agree. Two daemons may disagree for a moment, which only makes counts
 * less precise, because every daemon can serve every request.
 */
import type { Clock } from '../kernel/index.js';
import { getPairHash, spreadDomains } from '../balance/home.js';

/** A daemon's static properties. */
export interface MemberInfo {
  /** IP address; the ports are the same on all VMs. */
  readonly ip: string;
  /** Its failure domain. */
  readonly domain: string;
  /** Cores; may be a fraction. */
  readonly capacity: number;
  /**
   * Whether it has run for long, or since the first start of the system. A restarted daemon does
   * not take the role of a home back from its successor: callers cache the list of homes, and a
   * second move would gain nothing.
   */
  readonly isSenior: boolean;
}

/**
 * Whether a daemon serves callers: not yet, now, now but without reaching any target, or no more.
 */
export type MemberState = 'starting' | 'ready' | 'partitioned' | 'stopping';

/** The state of a daemon as another daemon observed it directly. */
export interface Presence {
  readonly ip: string;
  readonly state: MemberState;
  /** Time since it was observed, in milliseconds. */
  readonly age: number;
}

/** What a daemon reports of its current state. */
export interface MemberStatus {
  readonly state: MemberState;
  /** Its recent utilisation: the fraction of time spent working, from 0 to 1. */
  readonly utilisation: number;
  /** How many daemons poll it, each counted as the fraction of its polls that go there. */
  readonly pollers: number;
}

/** The utilisation of one home. */
export interface HomeUtilisation {
  /** The fraction of recent time spent working, from 0 to 1. */
  readonly utilisation: number;
  /** Its cores. */
  readonly capacity: number;
}

interface MemberEntry {
  info: MemberInfo;
  state: MemberState;
  utilisation: number;
  pollers: number;
  /** When it last answered this daemon, or another one that passed that on. */
  lastSeenAt: number;
  /** When it last answered this daemon. */
  lastAnsweredAt: number;
  /** When this daemon last polled it. */
  lastPolledAt: number;
}

/** The dependencies of the roster, and the least size of the set of homes. */
export interface RosterOptions {
  readonly clock: Clock;
  readonly self: MemberInfo;
  readonly readSelfState: () => MemberState;
  /** The least number of homes. */
  readonly minHomes: number;
  /** The least number of cores that the homes have together. */
  readonly minHomeCapacity: number;
  /** There is no room for another daemon; called once until there is room again. */
  readonly onFull?: (members: number) => void;
}

/** The longest name of a daemon's failure domain, in characters. */
export const MAX_DOMAIN_LENGTH = 1024;

/** Daemons that are kept: four times the largest fleet. */
export const MAX_MEMBERS = 10_000;

/**
 * A daemon that has not answered for this long counts as silent: five polls, as datagrams get lost.
 */
const SILENCE_TIMEOUT_MS = 1200;

/**
 * How many daemons after the homes are polled with them, so that a successor is known to be alive
 * when it is needed.
 */
const SUCCESSOR_COUNT = 2;

/** The interval at which a silent daemon is polled again. */
const SILENT_POLL_INTERVAL_MS = 1000;

/**
 * How many daemons one polls that is neither a home nor a successor: one of them may fail without a
 * gap in its updates. They pass on what they know of the other homes, so the number of polls does
 * not grow with the homes.
 */
const REMOTE_POLL_COUNT = 2;

/**
 * The most daemons polled in a round that don't serve yet, and that don't answer. While a whole
 * fleet starts, none serves; if each of 312 daemons polled all others, that would make 390,000
 * polls a second.
 */
const MAX_STARTING_POLLED = 3;
const MAX_SILENT_POLLED = 3;

/** Polled daemons that have not answered for this long are removed. */
const FORGET_AFTER_MS = 120_000;

/**
 * A home with a smaller fraction of the largest machine's cores costs the other homes more, in
 * reports to each other and probes of targets, than the calls that it takes off them.
 */
const MIN_HOME_CAPACITY_RATIO = 0.5;

/** Capacities are ranked in steps of this many cores, so that small differences move no home. */
const CAPACITY_STEP_CORES = 0.5;

function isSameInfo(a: MemberInfo, b: MemberInfo): boolean {
  return a.domain === b.domain && a.capacity === b.capacity && a.isSenior === b.isSenior;
}

/** The daemons that one daemon knows, itself included. */
export class Roster {
  readonly #members = new Map<string, MemberEntry>();

  /** Members that answered this daemon recently. */
  readonly #answering = new Set<MemberEntry>();

  #ranked: readonly MemberInfo[] | undefined;

  #isFull = false;

  #plannedHomes = 0;

  #fingerprint = 0;

  /** The number of failure domains with known daemons. */
  #domainCount = 0;

  constructor(private readonly options: RosterOptions) {
    this.addMember(options.self);
  }

  /** Lists all known daemons, this one included. */
  list(): readonly MemberInfo[] {
    return [...this.#members.values()].map(({ info }) => info);
  }

  /** The number of known daemons, this one included. */
  get size(): number {
    return this.#members.size;
  }

  /** A hash of the set of members, by which two rosters are compared. */
  readFingerprint(): number {
    return this.#fingerprint;
  }

  /** Adds a daemon, or replaces its known properties unless the new ones name no failure domain. */
  addMember(info: MemberInfo): void {
    const known = this.#members.get(info.ip);
    if (known === undefined) {
      if (!this.#hasRoom()) return;
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

  #hasRoom(): boolean {
    if (this.#members.size < MAX_MEMBERS) return true;
    if (!this.#isFull) this.options.onFull?.(this.#members.size);
    this.#isFull = true;
    return false;
  }

  /** Records that a daemon answered, with the status that it reported. */
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

  /** Merges what another daemon observed; the later observation wins. */
  mergePresence({ ip, state, age }: Presence): void {
    const member = this.#members.get(ip);
    const seenAt = this.options.clock.now() - age;
    if (member === undefined || seenAt <= member.lastSeenAt) return;
    member.lastSeenAt = seenAt;
    member.state = state;
  }

  /**
   * Lists the daemons that answered this one recently: homes, successors, and others that it
   * polled.
   */
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
   * The number of homes that the load needs. It is at least the number in the settings, and at
   * least one for each failure domain, where it probes the targets and callers reach it without
   * crossing to another domain.
   */
  get desiredHomes(): number {
    this.#rank();
    return Math.max(this.options.minHomes, this.#plannedHomes, this.#domainCount);
  }

  /** Counts the machines that are strong enough to be homes. */
  countHomeCandidates(): number {
    const capacities = this.list().map(({ capacity }) => capacity);
    const strongest = Math.max(...capacities);
    return capacities.filter((capacity) => capacity >= MIN_HOME_CAPACITY_RATIO * strongest).length;
  }

  /** Sets the number of homes that the first home has planned. */
  setDesiredHomes(homes: number): void {
    this.#plannedHomes = homes;
  }

  /** Lists the utilisation of the other homes. */
  listHomeUtilisations(): readonly HomeUtilisation[] {
    return this.#listOtherHomes().map(({ utilisation, info }) => ({
      utilisation,
      capacity: info.capacity,
    }));
  }

  /** Counts the daemons that poll the other homes, as far as those answer this daemon. */
  countPollersOfOtherHomes(): number {
    const since = this.options.clock.now() - SILENCE_TIMEOUT_MS;
    return this.#listOtherHomes().reduce(
      (sum, { pollers, lastAnsweredAt }) => (lastAnsweredAt >= since ? sum + pollers : sum),
      0,
    );
  }

  /** Lists the homes in their order: the daemons to which callers are sent. */
  listHomes(): readonly MemberInfo[] {
    const homes = this.#selectHomes('ready');
    // Where no daemon reaches a target, the duties of homes still have to be done.
    return homes.length > 0 ? homes : this.#selectHomes('partitioned');
  }

  /** Lists the other homes that reach targets, as far as known: they may carry calls. */
  listCarriers(): readonly MemberInfo[] {
    return this.#selectHomes('ready').filter(({ ip }) => ip !== this.options.self.ip);
  }

  /**
   * Lists all other daemons that may reach targets: those known to, and those of which nothing
   * recent is known, as daemons don't poll all others.
   */
  listPossibleCarriers(): readonly MemberInfo[] {
    return this.#rank().filter((info) => {
      if (info.ip === this.options.self.ip) return false;
      const isKnown = (state: MemberState) => this.#isInState(info, state);
      return !isKnown('partitioned') && !isKnown('stopping') && !isKnown('starting');
    });
  }

  /** Counts the other daemons that answered recently and reach no target. */
  countPartitioned(): number {
    let count = 0;
    for (const info of this.#rank()) {
      if (info.ip !== this.options.self.ip && this.#isInState(info, 'partitioned')) count += 1;
    }
    return count;
  }

  #selectHomes(state: MemberState): readonly MemberInfo[] {
    const homes: MemberInfo[] = [];
    let capacity = 0;
    for (const info of this.#rank()) {
      if (homes.length >= this.desiredHomes && capacity >= this.options.minHomeCapacity) break;
      if (!this.#isInState(info, state)) continue;
      homes.push(info);
      capacity += info.capacity;
    }
    return homes;
  }

  /** Whether this daemon is a home or a successor; these poll each other directly. */
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

  /** Lists the homes and their successors, which poll each other. */
  listNearHomes(): readonly MemberInfo[] {
    const near: MemberInfo[] = [];
    const maxServing = this.listHomes().length + SUCCESSOR_COUNT;
    for (const info of this.#rank()) {
      if (near.length >= maxServing) break;
      if (this.#isServing(info)) near.push(info);
    }
    return near;
  }

  /**
   * Lists the daemons to poll now. Homes and their successors poll one another. The others poll a
   * few homes, those of their own failure domain first, and learn from these about the rest.
   *
   * @param silentInterval time between two polls of a silent daemon, in milliseconds
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

  /**
   * Removes daemons that have not answered for long.
   *
   * @param keep addresses of daemons that stay in any case
   */
  forgetSilent(keep: ReadonlySet<string>): void {
    const now = this.options.clock.now();
    for (const [ip, { lastSeenAt, lastPolledAt }] of this.#members) {
      if (ip === this.options.self.ip || keep.has(ip)) continue;
      if (lastPolledAt === -Infinity || now - Math.max(lastSeenAt, 0) < FORGET_AFTER_MS) continue;
      this.#members.delete(ip);
      this.#fingerprint -= hashMember(ip);
      this.#ranked = undefined;
      this.#isFull = false;
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

  /**
   * Yields homes first, in an order that differs between daemons, so that the polls spread over the
   * homes.
   */
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
    return this.#isInState(info, 'ready');
  }

  /** Whether a daemon answered recently and was in this state. */
  #isInState(info: MemberInfo, state: MemberState): boolean {
    if (info.ip === this.options.self.ip) return this.options.readSelfState() === state;
    const member = this.#members.get(info.ip);
    if (member === undefined || member.state !== state) return false;
    return this.options.clock.now() - member.lastSeenAt <= SILENCE_TIMEOUT_MS;
  }

  /**
   * Ranks the daemons as homes: by capacity, then senior ones first, then by hash, with failure
   * domains in turn.
   */
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

/** Length of the hash of a pair, in bits. */
const HASH_BITS = 48;

function hashMember(ip: string): number {
  return getPairHash('member', ip) % FINGERPRINT_MODULUS;
}
