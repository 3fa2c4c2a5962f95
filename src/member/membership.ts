/**
 * Membership of the entry daemons, a gossip protocol modelled on SWIM.
 *
 * In each protocol period an entry exchanges one message of bounded size with one peer, so the
 * cost per daemon does not depend on the size of the fleet. A peer that does not answer is probed
 * through two others before it is suspected, and a suspected member has time to refute the
 * suspicion. The protocol does not use the platform, so an outage of the platform removes no
 * member.
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

/** Name, failure domain and addresses of this entry, as it announces them to its peers. */
export type LocalMember = Omit<Member, 'id' | 'incarnation' | 'state'>;

/** Times of the membership protocol, in milliseconds. */
export interface MembershipTimes {
  /** Time between two exchanges that an entry starts. */
  readonly period: number;
  /** Timeout of an exchange with a peer. */
  readonly timeout: number;
  /** Time from suspected to gone, unless the member refutes the suspicion. */
  readonly suspicionTimeout: number;
}

/** Default times of the membership protocol. */
export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  period: 1000,
  timeout: 600,
  suspicionTimeout: 4000,
};

/** Dependencies and callbacks of a {@link Membership}. */
export interface MembershipOptions {
  readonly self: LocalMember;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly times: MembershipTimes;
  /** Returns the versions of the configuration and the VM list that this daemon has. */
  readonly readKnowledge: () => Knowledge;
  /** Called with the versions that a peer reports. */
  readonly onKnowledge: (from: Member, knowledge: Knowledge) => void;
  /** Lists the known loads of this entry and others for an outgoing message. */
  readonly listLoads: () => readonly LoadMessage[];
  /** Called with the loads in a received message. */
  readonly onLoads: (loads: readonly LoadMessage[]) => void;
  /** Called when the roster or this entry's own state changes. */
  readonly onChange: () => void;
  /** Called when a peer first reports that a target is leaving. */
  readonly onTargetLeaving: (target: string) => void;
  /** Lists peer addresses to try besides known members, such as those in the platform's list. */
  readonly listSeeds: () => readonly string[];
}

/** A member and its reply to a poll; `knowledge` is undefined when it did not answer. */
export interface PolledMember {
  readonly member: Member;
  readonly knowledge: Knowledge | undefined;
}

const MAX_MEMBERS_PER_MESSAGE = 8;
const GONE_RETENTION_MS = 600_000;
const INDIRECT_PROBE_COUNT = 2;
const PUSH_FANOUT = 3;
/** A gap between two periods that is longer than this counts as a pause of this process. */
const PAUSE_THRESHOLD_PERIODS = 4;
const SEED_INTERVAL_PERIODS = 5;
const MIN_FULL_SYNC_PERIODS = 30;

/** The membership protocol of one entry. */
export class Membership {
  #self: Member;

  #roster: Roster = new Map();

  readonly #updates = new UpdateQueue();

  readonly #notices = new NoticeCache();

  /** Identifiers of members still to be probed in this round, in random order. */
  #probeOrder: readonly string[] = [];

  #lastTickAt = 0;

  #tickCount = 0;

  #wasPaused = false;

  /** Exchanges sent, failed and received since the start. */
  readonly counts = { sent: 0, failed: 0, received: 0 };

  constructor(private readonly options: MembershipOptions) {
    this.#self = this.#createSelf('live');
  }

  /** This entry as it is announced to its peers. */
  get self(): Member {
    return this.#self;
  }

  /** Returns the live and suspected members, including this entry unless it is stopping. */
  listCandidates(): readonly Member[] {
    const others = listMembers(this.#roster, ['live', 'suspect']);
    return this.#self.state === 'live' ? [this.#self, ...others] : others;
  }

  /** Returns all members that are not gone, this entry first. */
  listAll(): readonly Member[] {
    return [this.#self, ...listMembers(this.#roster, ['live', 'stopping', 'suspect'])];
  }

  /** Announces to all peers that a target is leaving. */
  announceTargetLeaving(target: string): void {
    if (this.#notices.add(target, 0, this.options.clock.now())) this.push();
  }

  /** Announces directly to every live or suspected member that this entry is stopping. */
  async announceStopping(): Promise<void> {
    this.#self = { ...this.#self, state: 'stopping' };
    this.options.onChange();
    const members = listMembers(this.#roster, ['live', 'suspect']);
    await Promise.all(members.map((member) => this.#exchange(member.peers, false)));
  }

  /** Announces to a few live members that this entry is gone; they pass it on by gossip. */
  async announceGone(): Promise<void> {
    this.#self = { ...this.#self, state: 'gone' };
    const members = shuffleItems(listMembers(this.#roster, ['live']), this.options.random);
    const chosen = members.slice(0, PUSH_FANOUT);
    await Promise.all(chosen.map((member) => this.#exchange(member.peers, false)));
  }

  /** Exchanges with a few live members at once, for an update that must not wait for a period. */
  push(): void {
    const members = shuffleItems(listMembers(this.#roster, ['live']), this.options.random);
    for (const member of members.slice(0, PUSH_FANOUT)) {
      this.#exchange(member.peers, false).catch(() => undefined);
    }
  }

  /**
   * Asks every member that is not gone for its versions of the configuration and the VM list.
   * The cost grows with the fleet, so this is only for requests of operators.
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

  /** Joins the fleet: asks a few of the seeds for all members. */
  async join(): Promise<void> {
    const seeds = this.#listUnknownSeeds();
    const chosen = shuffleItems(seeds, this.options.random).slice(0, PUSH_FANOUT);
    await Promise.all(chosen.map((peers) => this.#exchange(peers, true)));
  }

  /** Runs the protocol until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, times } = this.options;
    this.#lastTickAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(times.period * (0.9 + random.next() * 0.2), signal);
      if (signal.aborted) return;
      await this.#runPeriod();
    }
  }

  /** Answers an exchange that a peer started. */
  answerExchange(request: ExchangeRequest): ExchangeMessage {
    this.counts.received += 1;
    this.#receiveMessage(request);
    return this.#composeMessage(request.from.id, request.wantAll);
  }

  /** Probes the entry at the address `peers` on behalf of another entry; true when it answers. */
  async probe(peers: string): Promise<boolean> {
    return this.#exchange(peers, false);
  }

  #createSelf(state: MemberState): Member {
    return { ...this.options.self, id: this.options.random.id(), incarnation: 0, state };
  }

  async #runPeriod(): Promise<void> {
    const { clock, times } = this.options;
    const now = clock.now();
    // After a pause of this process, missing replies are no evidence that peers failed.
    this.#wasPaused = now - this.#lastTickAt > times.period * PAUSE_THRESHOLD_PERIODS;
    if (this.#wasPaused) this.#renewSuspicions(now);
    this.#lastTickAt = now;
    this.#tickCount += 1;
    this.#expireSuspects(now);
    this.#roster = forgetGone(this.#roster, now, GONE_RETENTION_MS);
    // The size of a full exchange grows with the fleet, so its interval grows, too.
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

  /** Tries an unknown seed: a new entry, or one from across a partition that has healed. */
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
      if (entry.member.state === 'suspect') next.set(id, { ...entry, changedAt: now });
    }
    this.#roster = next;
  }

  #expireSuspects(now: number): void {
    for (const { member, changedAt } of this.#roster.values()) {
      if (member.state !== 'suspect' || now - changedAt < this.options.times.suspicionTimeout)
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

  /** Refutes a suspicion of this entry; rejoins under a new identifier when declared gone. */
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
      'a member that is gone must not change state',
    );
    this.#roster = next;
    if (changedId !== undefined) this.#updates.add(changedId, this.#computeSendCount(next.size));
    this.options.onChange();
  }

  /** Gossip reaches all members when each update is sent O(log n) times in a fleet of n. */
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

  /** Lists queued updates, and the peer's own state unless it is live, so that it can refute it. */
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
