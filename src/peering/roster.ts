/**
 * The daemons that this one knows, which of them answer, and which of those are homes.
 *
 * Homes are the entries that callers are sent to. Every daemon works them out by itself from the
 * same order, so no message is needed to agree; for a moment two daemons may disagree, which costs
 * some precision of counts and nothing else, because every daemon can serve every request.
 */
import type { Clock } from '../kernel/index.js';
import { recallPair, spreadDomains } from '../balance/home.js';

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

interface Member {
  info: MemberInfo;
  state: MemberState;
  /** The part of its time in which it was at work of late, from 0 to 1. */
  busy: number;
  /** When it last answered. */
  heardAt: number;
  /** When it was last asked. */
  askedAt: number;
}

/** What the plan of homes needs to know. */
export interface RosterOptions {
  readonly clock: Clock;
  readonly self: MemberInfo;
  readonly selfState: () => MemberState;
  /** How many homes there are, at least. */
  readonly homes: number;
  /** Cores that the homes have to bring together. */
  readonly capacity: number;
}

/** A daemon that has not answered for this long is not counted on: five questions, as datagrams get lost. */
const SILENCE = 1200;

/** Daemons asked besides the homes, so that a successor is known to be alive before it is needed. */
const SUCCESSORS = 2;

/** How often a daemon that does not answer is asked again. */
const ABSENT_PACE = 1000;

/** Daemons that never answered are forgotten after this long. */
const FORGET_AFTER = 120_000;

/** Capacities within one step of each other are alike, so that small differences move no home. */
const CAPACITY_STEP = 0.5;

function matchInfos(a: MemberInfo, b: MemberInfo): boolean {
  return a.domain === b.domain && a.capacity === b.capacity && a.isSenior === b.isSenior;
}

/** The daemons known. */
export class Roster {
  readonly #members = new Map<string, Member>();

  #ranked: readonly MemberInfo[] | undefined;

  #wanted = 0;

  constructor(private readonly options: RosterOptions) {
    this.note(options.self);
  }

  /** Everybody known, this daemon included. */
  list(): readonly MemberInfo[] {
    return [...this.#members.values()].map(({ info }) => info);
  }

  /** A number that differs when two rosters do. */
  readFingerprint(): number {
    let sum = 0;
    for (const ip of this.#members.keys()) sum += recallPair('member', ip) % FINGERPRINTS;
    return sum;
  }

  /** Learns that a daemon exists; its own word replaces what others say. */
  note(info: MemberInfo): void {
    const known = this.#members.get(info.ip);
    if (known === undefined) {
      this.#ranked = undefined;
      this.#members.set(info.ip, {
        info,
        state: 'starting',
        busy: 0,
        heardAt: -Infinity,
        askedAt: -Infinity,
      });
      return;
    }
    if (info.domain === '' || matchInfos(known.info, info)) return;
    this.#ranked = undefined;
    known.info = info;
  }

  /** Learns that a daemon answered, in which state it is and how busy. */
  hear(info: MemberInfo, state: MemberState, busy = 0): void {
    this.note(info);
    const member = this.#members.get(info.ip);
    if (member === undefined) return;
    member.heardAt = this.options.clock.now();
    member.state = state;
    member.busy = busy;
  }

  /** How many homes are wanted for the load; the settings' own number holds where it is larger. */
  get wanted(): number {
    return Math.max(this.options.homes, this.#wanted);
  }

  /** Takes the plan of the first home. */
  setWanted(homes: number): void {
    this.#wanted = homes;
  }

  /** How busy the other homes are. */
  listBusy(): readonly number[] {
    const others = this.listHomes().filter(({ ip }) => ip !== this.options.self.ip);
    return others.map(({ ip }) => this.#members.get(ip)?.busy ?? 0);
  }

  /** The entries that callers are sent to, in order. */
  listHomes(): readonly MemberInfo[] {
    const homes: MemberInfo[] = [];
    let capacity = 0;
    for (const info of this.#rank()) {
      if (homes.length >= this.wanted && capacity >= this.options.capacity) break;
      if (!this.#isServing(info)) continue;
      homes.push(info);
      capacity += info.capacity;
    }
    return homes;
  }

  /**
   * Whom to ask now whether they are there: homes, successors, and at times the silent ones.
   *
   * @param absentPace time between two questions to one that does not answer, in milliseconds
   */
  listToAsk(absentPace = ABSENT_PACE): readonly MemberInfo[] {
    const now = this.options.clock.now();
    const asked: MemberInfo[] = [];
    const wanted = this.listHomes().length + SUCCESSORS;
    let serving = 0;
    for (const info of this.#rank()) {
      if (serving >= wanted) break;
      const member = this.#members.get(info.ip);
      if (member === undefined) continue;
      if (this.#isServing(info)) serving += 1;
      if (info.ip === this.options.self.ip) continue;
      const isAbsent = now - member.heardAt > SILENCE;
      if (isAbsent && now - member.askedAt < absentPace) continue;
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
      this.#ranked = undefined;
    }
  }

  #isServing(info: MemberInfo): boolean {
    if (info.ip === this.options.self.ip) return this.options.selfState() === 'ready';
    const member = this.#members.get(info.ip);
    if (member === undefined || member.state !== 'ready') return false;
    return this.options.clock.now() - member.heardAt <= SILENCE;
  }

  /** The order in which daemons become homes: strong ones first, then senior ones, then by hash; domains in turn. */
  #rank(): readonly MemberInfo[] {
    if (this.#ranked !== undefined) return this.#ranked;
    const measure = (info: MemberInfo) => Math.floor(info.capacity / CAPACITY_STEP);
    const ordered = this.list()
      .map((info) => ({ ...info, id: info.ip, name: info.ip, rank: recallPair('home', info.ip) }))
      .sort(
        (a, b) =>
          measure(b) - measure(a) || Number(b.isSenior) - Number(a.isSenior) || b.rank - a.rank,
      );
    this.#ranked = spreadDomains(ordered).map(({ ip, domain, capacity, isSenior }) => ({
      ...{ ip, domain, capacity, isSenior },
    }));
    return this.#ranked;
  }
}

const FINGERPRINTS = 1_000_003;
