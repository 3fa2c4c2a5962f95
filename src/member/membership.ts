/**
 * Membership among the entries, in the manner of SWIM.
 *
 * Every period each entry exchanges a bounded message with one other, so the cost per daemon does
 * not depend on the size of the fleet. A peer that does not answer is tried through two others before
 * it is suspected, and a suspected one has time to refute. The platform takes no part, so its outage
 * is nobody's death.
 */
import {
  type Clock,
  type Log,
  type Random,
  assertInvariant,
  parseAddress,
  shuffleItems,
} from '../kernel/index.js';
import type {
  ExchangeMessage,
  ExchangeRequest,
  Knowledge,
  LoadMessage,
  Member,
  MemberState,
  Notice,
  PeerTransport,
} from '../peer/index.js';
import { type Roster, forgetGone, listMembers, mergeMember, replaceAtAddress } from './roster.js';
import { NoticeCache } from './notices.js';
import { UpdateQueue } from './update-queue.js';

/** Where this entry is, as others are told. */
export type LocalMember = Omit<Member, 'id' | 'incarnation' | 'state'>;

/** Times of the protocol, in milliseconds. */
export interface MembershipTimes {
  /** Between two exchanges that an entry starts. */
  readonly period: number;
  /** Longest wait for a peer. */
  readonly timeout: number;
  /** From suspicion to gone, unless refuted. */
  readonly suspicionTimeout: number;
}

/** The times used unless a test says otherwise. */
export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  period: 1000,
  timeout: 600,
  suspicionTimeout: 4000,
};

/** What the membership is made from. */
export interface MembershipOptions {
  readonly self: LocalMember;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly times: MembershipTimes;
  /** What this daemon tells about the configuration and the VM list. */
  readonly readKnowledge: () => Knowledge;
  /** Called with what a peer knows. */
  readonly onKnowledge: (from: Member, knowledge: Knowledge) => void;
  /** How busy this entry and others are, for messages. */
  readonly listLoads: () => readonly LoadMessage[];
  /** Called with how busy others are. */
  readonly onLoads: (loads: readonly LoadMessage[]) => void;
  /** Called when the members change. */
  readonly onChange: () => void;
  /** Called when a peer says that a target is leaving. */
  readonly onTargetLeaving: (target: string) => void;
  /** Peer addresses to try besides the known members, such as those of the platform's list. */
  readonly listSeeds: () => readonly string[];
}

/** What a member answered when it was asked. */
export interface PolledMember {
  readonly member: Member;
  readonly knowledge: Knowledge | undefined;
}

const MAX_MEMBERS_PER_MESSAGE = 8;
const GONE_RETENTION_MS = 600_000;
const INDIRECT_PROBE_COUNT = 2;
const PUSH_FANOUT = 3;
const PAUSE_THRESHOLD_PERIODS = 4;
const SEED_INTERVAL_PERIODS = 5;
const MIN_FULL_SYNC_PERIODS = 30;

/** The membership of one entry. */
export class Membership {
  #self: Member;

  #roster: Roster = new Map();

  readonly #updates = new UpdateQueue();

  readonly #notices = new NoticeCache();

  #probeOrder: readonly string[] = [];

  #lastTickAt = 0;

  #tickCount = 0;

  #wasPaused = false;

  /** Messages sent since the start, and their outcome. */
  readonly counts = { sent: 0, failed: 0, received: 0 };

  constructor(private readonly options: MembershipOptions) {
    this.#self = this.#createSelf('live');
  }

  /** This entry as others are told. */
  get self(): Member {
    return this.#self;
  }

  /** Members that are live or only suspected, with this entry unless it is stopping. */
  listCandidates(): readonly Member[] {
    const others = listMembers(this.#roster, ['live', 'suspect']);
    return this.#self.state === 'live' ? [this.#self, ...others] : others;
  }

  /** All members that are not gone, with this entry first. */
  listAll(): readonly Member[] {
    return [this.#self, ...listMembers(this.#roster, ['live', 'stopping', 'suspect'])];
  }

  /** Tells all peers that a target is leaving. */
  announceTargetLeaving(target: string): void {
    if (this.#notices.add(target, 0, this.options.clock.now())) this.push();
  }

  /** Says that this entry is stopping, to every member at once. */
  async announceStopping(): Promise<void> {
    this.#self = { ...this.#self, state: 'stopping' };
    this.options.onChange();
    const members = listMembers(this.#roster, ['live', 'suspect']);
    await Promise.all(members.map((member) => this.#exchange(member.peers, false)));
  }

  /** Says that this entry is gone, to a few members, who pass it on. */
  async announceGone(): Promise<void> {
    this.#self = { ...this.#self, state: 'gone' };
    const members = shuffleItems(listMembers(this.#roster, ['live']), this.options.random);
    const chosen = members.slice(0, PUSH_FANOUT);
    await Promise.all(chosen.map((member) => this.#exchange(member.peers, false)));
  }

  /** Exchanges with a few members now, because there is news that cannot wait. */
  push(): void {
    const members = shuffleItems(listMembers(this.#roster, ['live']), this.options.random);
    for (const member of members.slice(0, PUSH_FANOUT)) {
      this.#exchange(member.peers, false).catch(() => undefined);
    }
  }

  /**
   * Asks every member that is not gone for what it knows; undefined when it did not answer.
   * Its cost grows with the fleet, so it is for the acts of operators only.
   */
  async pollAll(): Promise<readonly PolledMember[]> {
    const { transport, times } = this.options;
    const members = listMembers(this.#roster, ['live', 'stopping', 'suspect']);
    return Promise.all(
      members.map(async (member): Promise<PolledMember> => {
        const address = parseAddress(member.peers);
        if (address === undefined) return { member, knowledge: undefined };
        this.counts.sent += 1;
        const request = { ...this.#composeMessage(member.id, false), wantAll: false };
        const result = await transport.connect(address).exchange(request, times.timeout);
        result.ifRight((reply) => this.#receiveMessage(reply));
        return {
          member,
          knowledge: result
            .toMaybe()
            .map((reply) => reply.knowledge)
            .extract(),
        };
      }),
    );
  }

  /** Joins through the seeds: asks a few of them for all members. */
  async join(): Promise<void> {
    const seeds = this.#listUnknownSeeds();
    const chosen = shuffleItems(seeds, this.options.random).slice(0, PUSH_FANOUT);
    await Promise.all(chosen.map((peers) => this.#exchange(peers, true)));
  }

  /** Runs the protocol until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, times } = this.options;
    this.#lastTickAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(times.period * (0.9 + random.next() * 0.2), signal);
      if (signal.aborted) return;
      await this.#runPeriod();
    }
  }

  /** Answers a peer's exchange. */
  answerExchange(request: ExchangeRequest): ExchangeMessage {
    this.counts.received += 1;
    this.#receiveMessage(request);
    return this.#composeMessage(request.from.id, request.wantAll);
  }

  /** Reaches a peer on behalf of another one. */
  async probe(peers: string): Promise<boolean> {
    return this.#exchange(peers, false);
  }

  #createSelf(state: MemberState): Member {
    return { ...this.options.self, id: this.options.random.id(), incarnation: 0, state };
  }

  async #runPeriod(): Promise<void> {
    const { clock, times } = this.options;
    const now = clock.now();
    // After a pause of this process the others' silence says nothing about them.
    this.#wasPaused = now - this.#lastTickAt > times.period * PAUSE_THRESHOLD_PERIODS;
    if (this.#wasPaused) this.#renewSuspicions(now);
    this.#lastTickAt = now;
    this.#tickCount += 1;
    this.#expireSuspects(now);
    this.#roster = forgetGone(this.#roster, now, GONE_RETENTION_MS);
    // A full exchange is as long as the fleet is large, so it comes the more seldom.
    const wantAll = this.#tickCount % Math.max(MIN_FULL_SYNC_PERIODS, this.#roster.size) === 0;
    if (this.#tickCount % SEED_INTERVAL_PERIODS === 0) await this.#tryUnknownSeed();
    const peer = this.#chooseNextPeer();
    if (peer === undefined) return;
    if (await this.#exchange(peer.peers, wantAll)) return;
    if (await this.#probeIndirectly(peer)) return;
    if (!this.#wasPaused) this.#suspect(peer);
  }

  #chooseNextPeer(): Member | undefined {
    const members = new Map(
      listMembers(this.#roster, ['live', 'stopping', 'suspect']).map((m) => [m.id, m]),
    );
    for (;;) {
      const [id, ...rest] = this.#probeOrder;
      if (id === undefined) break;
      this.#probeOrder = rest;
      const member = members.get(id);
      if (member !== undefined) return member;
    }
    this.#probeOrder = shuffleItems([...members.keys()], this.options.random);
    const [first] = this.#probeOrder;
    this.#probeOrder = this.#probeOrder.slice(1);
    return first === undefined ? undefined : members.get(first);
  }

  /** Tries an address that no member has: a new entry, or the far side of a healed partition. */
  async #tryUnknownSeed(): Promise<void> {
    const [stranger] = shuffleItems(this.#listUnknownSeeds(), this.options.random);
    if (stranger !== undefined) await this.#exchange(stranger, true);
  }

  #listUnknownSeeds(): readonly string[] {
    const known = new Set(
      listMembers(this.#roster, ['live', 'stopping', 'suspect']).map(({ peers }) => peers),
    );
    known.add(this.#self.peers);
    return this.options.listSeeds().filter((peers) => !known.has(peers));
  }

  async #exchange(peers: string, wantAll: boolean): Promise<boolean> {
    const address = parseAddress(peers);
    if (address === undefined) return false;
    const { transport, times } = this.options;
    this.counts.sent += 1;
    const request = { ...this.#composeMessage(peers, wantAll), wantAll };
    const result = await transport.connect(address).exchange(request, times.timeout);
    if (result.isLeft()) {
      this.counts.failed += 1;
      return false;
    }
    const reply = result.unsafeCoerce();
    this.#receiveMessage(reply);
    this.#updateRoster(replaceAtAddress(this.#roster, reply.from, this.options.clock.now()));
    return true;
  }

  async #probeIndirectly(peer: Member): Promise<boolean> {
    const { random, transport, times } = this.options;
    const others = listMembers(this.#roster, ['live']).filter(({ id }) => id !== peer.id);
    const helpers = shuffleItems(others, random).slice(0, INDIRECT_PROBE_COUNT);
    const answers = helpers.map(async (helper) => {
      const address = parseAddress(helper.peers);
      if (address === undefined) return false;
      const result = await transport.connect(address).probe(peer.peers, times.timeout * 2);
      return result.orDefault(false);
    });
    return (await Promise.all(answers)).includes(true);
  }

  #suspect(peer: Member): void {
    if (peer.state === 'suspect') return;
    this.options.log.info('member.suspect', { member: peer.name, id: peer.id });
    this.#applyReport({ ...peer, state: 'suspect' });
  }

  #renewSuspicions(now: number): void {
    const next = new Map(this.#roster);
    for (const [id, entry] of this.#roster) {
      if (entry.member.state === 'suspect') next.set(id, { ...entry, stateChangedAt: now });
    }
    this.#roster = next;
  }

  #expireSuspects(now: number): void {
    for (const { member, stateChangedAt } of this.#roster.values()) {
      if (member.state !== 'suspect' || now - stateChangedAt < this.options.times.suspicionTimeout)
        continue;
      this.options.log.warn('member.gone', { member: member.name, id: member.id });
      this.#applyReport({ ...member, state: 'gone' });
    }
  }

  #receiveMessage(message: ExchangeMessage): void {
    for (const report of [message.from, ...message.members]) {
      if (report.id === this.#self.id) this.#receiveSelfReport(report);
      else this.#applyReport(report);
    }
    for (const notice of message.notices) this.#receiveNotice(notice);
    if (message.loads.length > 0) this.options.onLoads(message.loads);
    this.options.onKnowledge(message.from, message.knowledge);
  }

  /** Refutes a suspicion; a member declared gone comes back as a new one. */
  #receiveSelfReport(report: Member): void {
    if (this.#self.state === 'gone') return;
    if (report.state === 'gone') {
      this.options.log.warn('member.rejoin', { id: this.#self.id });
      this.#self = this.#createSelf(this.#self.state);
      this.push();
      return;
    }
    if (report.state !== 'suspect' || report.incarnation < this.#self.incarnation) return;
    this.#self = { ...this.#self, incarnation: report.incarnation + 1 };
    this.push();
  }

  #receiveNotice(notice: Notice): void {
    if (!this.#notices.add(notice.target, notice.age, this.options.clock.now())) return;
    this.options.onTargetLeaving(notice.target);
    this.push();
  }

  #applyReport(report: Member): void {
    this.#updateRoster(mergeMember(this.#roster, report, this.options.clock.now()), report.id);
  }

  #updateRoster(next: Roster, changedId?: string): void {
    if (next === this.#roster) return;
    const previous = changedId === undefined ? undefined : this.#roster.get(changedId)?.member;
    const current = changedId === undefined ? undefined : next.get(changedId)?.member;
    assertInvariant(
      previous?.state !== 'gone' || current?.state === 'gone',
      'a member that is gone stays gone',
    );
    this.#roster = next;
    if (changedId !== undefined) this.#updates.add(changedId, this.#computeSendCount(next.size));
    this.options.onChange();
  }

  /** An epidemic reaches all with a number of sendings that grows with the logarithm of the fleet. */
  #computeSendCount(size: number): number {
    return 3 * Math.ceil(Math.log2(size + 2));
  }

  #composeMessage(peerKey: string, wantAll: boolean): ExchangeMessage {
    const members = wantAll ? this.#listKnownMembers() : this.#listUpdates(peerKey);
    return {
      from: this.#self,
      members,
      notices: this.#notices.list(this.options.clock.now()),
      loads: this.options.listLoads(),
      knowledge: this.options.readKnowledge(),
    };
  }

  #listKnownMembers(): readonly Member[] {
    return [...this.#roster.values()].map(({ member }) => member);
  }

  /** The news, and what is believed of the peer itself, so that it can refute. */
  #listUpdates(peerKey: string): readonly Member[] {
    const updates = new Map<string, Member>();
    for (const { member } of this.#roster.values()) {
      const isPeer = member.id === peerKey || member.peers === peerKey;
      if (isPeer && member.state !== 'live') updates.set(member.id, member);
    }
    for (const id of this.#updates.take(MAX_MEMBERS_PER_MESSAGE)) {
      const entry = this.#roster.get(id);
      if (entry !== undefined) updates.set(id, entry.member);
    }
    return [...updates.values()].slice(0, MAX_MEMBERS_PER_MESSAGE);
  }
}
