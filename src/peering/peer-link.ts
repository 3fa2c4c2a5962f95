/**
 * Polls other daemons by datagrams: whether they are alive, what they know, and how old it is.
 *
 * A poll and its reply are about a hundred bytes. The changes themselves are fetched over HTTP, see
 * feed.ts.
 */
import dgram from 'node:dgram';
import type { Address, Clock, Log } from '../kernel/index.js';
import {
  type PoisonReport,
  type Datagram,
  type DrainingReport,
  type FullReport,
  type Knowledge,
  type TargetLoadReport,
  type SelfStatus,
  decodeDatagram,
  encodeDatagram,
} from './datagram.js';
import type { QuotaMessages } from './quota-datagram.js';
import type { PropagationTimes } from '../view/index.js';
import { type OwnPolls, PollerTable } from './poller-table.js';
import { MAX_MEMBERS, type MemberInfo, type MemberState, type Roster } from './roster.js';

/** The dependencies of the link. */
export interface PeerLinkOptions {
  readonly address: Address;
  readonly readSelf: () => MemberInfo;
  readonly readSelfState: () => MemberState;
  /** This daemon's recent utilisation, from 0 to 1. */
  readonly readUtilisation: () => number;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly log: Log;
  /** The poll intervals. */
  readonly readTimes: () => PropagationTimes;
  readonly readKnowledge: () => Knowledge;
  /**
   * Called with a reply. Its ages include the time since the poll, as it may have been in transit
   * for that long.
   */
  readonly onKnowledge: (from: MemberInfo, knowledge: Knowledge) => void;
  /** Called with the load reports of a home. */
  readonly onLoadReports: (from: string, reports: readonly TargetLoadReport[]) => void;
  /** Called with the targets that have told another daemon that they are draining. */
  readonly onDrainingReports: (from: string, reports: readonly DrainingReport[]) => void;
  /** Called with the targets that reset a connection of another daemon because they were full. */
  readonly onFullReports?: (from: string, reports: readonly FullReport[]) => void;
  /** Called with another daemon's reports of requests under which targets ended. */
  readonly onPoisonReports: (from: string, reports: readonly PoisonReport[]) => void;
  /** Called with another daemon's requests for tokens of quotas, and its grants. */
  readonly onQuotaMessages: (from: string, messages: QuotaMessages) => void;
}

/**
 * The interval at which one seed (a daemon named in the settings or the store that never answered)
 * is polled, in turn.
 */
const SEED_POLL_INTERVAL_MS = 1000;

/**
 * The most seeds that a daemon polls in a round until anyone has answered. The store names the
 * whole fleet, and after a power failure half of it may be looking for the other half.
 */
const MAX_SEEDS_PER_ROUND = 4;

/**
 * After its start a daemon polls at this interval, for as long as others that were started together
 * with it may still be coming up. Until it knows them, it names only itself to callers.
 */
const START_POLL_INTERVAL_MS = 100;
const START_PHASE_MS = 2000;

/** The interval at which daemons that have been silent for long are dropped from the roster. */
const FORGET_INTERVAL_MS = 10_000;

/** Polls other daemons, answers their polls and exchanges reports over one datagram socket. */
export class PeerLink {
  readonly #socket = dgram.createSocket('udp4');

  /** When each daemon was last polled, which bounds the age of its reply. */
  readonly #polledAt = new Map<string, number>();

  /** Daemons that polled this one. They get state changes at once. */
  readonly #pollers = new PollerTable();

  /** Daemons that never answered, in the order in which they are polled next. */
  #seeds: readonly string[] = [];

  /** Whether any daemon has answered since the start. */
  #hasReply = false;

  /** How many daemons this one polls, itself included. */
  #polledCount = 1;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Opens the socket and polls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { address, clock, roster, log } = this.options;
    this.#socket.on('message', (message, from) => this.#receive(message, from.address));
    this.#socket.on('error', (error) => log.warn('peer.socket', { error: error.message }));
    await new Promise<void>((resolve) => {
      this.#socket.bind(address.port, address.host, resolve);
    });
    const startedAt = clock.now();
    this.#pollers.start(startedAt);
    let seedsPolledAt = -Infinity;
    let forgetAt = clock.now() + FORGET_INTERVAL_MS;
    while (!signal.aborted) {
      const now = clock.now();
      roster.addMember(this.options.readSelf());
      const isStarting = now - startedAt < START_PHASE_MS;
      const listed = isStarting ? roster.listToPoll(START_POLL_INTERVAL_MS) : roster.listToPoll();
      const polled = new Set(listed.map(({ ip }) => ip));
      this.#polledCount = polled.size + 1;
      const isAlone = !this.#hasReply;
      if (isAlone || now - seedsPolledAt >= SEED_POLL_INTERVAL_MS) {
        seedsPolledAt = now;
        for (const seed of this.#rotateSeeds(isAlone ? MAX_SEEDS_PER_ROUND : 1)) polled.add(seed);
      }
      if (now >= forgetAt) {
        forgetAt = now + FORGET_INTERVAL_MS;
        roster.forgetSilent(new Set(this.#seeds));
        this.#forgetPolls(now);
      }
      for (const ip of polled) this.#poll(ip);
      const { nearPollInterval, remotePollInterval } = this.options.readTimes();
      const interval = roster.isNearHomes() ? nearPollInterval : remotePollInterval;
      await clock.sleep(isStarting ? START_POLL_INTERVAL_MS : interval, signal);
    }
    this.#socket.close();
  }

  /** Drops what is no longer used of the polls in both directions. */
  #forgetPolls(now: number): void {
    this.#pollers.forget(now, FORGET_INTERVAL_MS);
    for (const [ip, at] of this.#polledAt) {
      if (now - at >= FORGET_INTERVAL_MS) this.#polledAt.delete(ip);
    }
  }

  /** Whether another daemon has answered, or no seed is left to poll. */
  get hasJoined(): boolean {
    return this.#hasReply || this.#seeds.length === 0;
  }

  /** Adds daemons to poll until they answer. */
  addSeeds(ips: readonly string[]): void {
    const own = this.options.readSelf().ip;
    const others = ips.filter((ip) => ip !== own);
    const seeds = [...new Set([...this.#seeds, ...others])];
    this.#seeds = seeds.slice(0, MAX_MEMBERS);
    if (seeds.length > MAX_MEMBERS) {
      this.options.log.warn('seeds.full', { left_out: seeds.length - MAX_MEMBERS });
    }
  }

  /** Returns the next seeds to poll and moves them to the end of the list. */
  #rotateSeeds(count: number): readonly string[] {
    const next = this.#seeds.slice(0, count);
    this.#seeds = [...this.#seeds.slice(count), ...next];
    return next;
  }

  /**
   * Counts the daemons that poll this one. Each recent poller, and this daemon itself, counts as
   * the fraction of its polls that comes here, so the counts of all daemons add up to the size of
   * the fleet.
   */
  countPollers(): number {
    return this.#pollers.count(this.options.clock.now(), this.#polledCount);
  }

  /** Counts the daemons that poll this one as a home, as fractions of their polls. */
  countHomePollers(): number {
    return this.#pollers.countAtHome(this.options.clock.now(), this.#readOwnPolls());
  }

  /** The same for quotas: without those that may still count at other daemons. */
  countQuotaPollers(): number {
    return this.#pollers.countForQuotas(this.options.clock.now(), this.#readOwnPolls());
  }

  /** Counts the daemons to reach until one has answered; 0 afterwards. */
  countUnansweredSeeds(): number {
    return this.#hasReply ? 0 : this.#seeds.length;
  }

  #readOwnPolls(): OwnPolls {
    const homes = new Set(this.options.roster.listHomes().map(({ ip }) => ip));
    return { self: this.options.readSelf().ip, polledCount: this.#polledCount, homes };
  }

  /** Sends this daemon's current state to all recent pollers, without waiting for a poll. */
  pushToPollers(): void {
    const now = this.options.clock.now();
    for (const ip of this.#pollers.listRecent(now, PUSH_WINDOW_MS)) this.#answer(ip);
  }

  /** Sends load reports to another daemon. */
  sendLoadReports(ip: string, loadReports: readonly TargetLoadReport[]): void {
    this.#send(ip, { kind: 'load', loadReports });
  }

  /** Sends reports of draining targets to another daemon. */
  sendDrainingReports(ip: string, targets: readonly DrainingReport[]): void {
    this.#send(ip, { kind: 'draining', targets });
  }

  /** Sends the limits of full targets to another daemon. */
  sendFullReports(ip: string, targets: readonly FullReport[]): void {
    this.#send(ip, { kind: 'full', targets });
  }

  /** Sends reports of requests under which targets ended to another daemon. */
  sendPoisonReports(ip: string, poisonReports: readonly PoisonReport[]): void {
    this.#send(ip, { kind: 'cases', poisonReports });
  }

  /** Sends requests for tokens of quotas, and grants, to another daemon. */
  sendQuotaMessages(ip: string, messages: QuotaMessages): void {
    this.#send(ip, { kind: 'quota', messages });
  }

  #describeSelf(): SelfStatus {
    const { domain, capacity, isSenior } = this.options.readSelf();
    const { readSelfState, readUtilisation } = this.options;
    const status = {
      state: readSelfState(),
      utilisation: readUtilisation(),
      pollers: this.countPollers(),
    };
    return { domain, capacity, isSenior, ...status };
  }

  #poll(ip: string): void {
    if (ip === this.options.readSelf().ip) return;
    this.#polledAt.set(ip, this.options.clock.now());
    this.#send(ip, { kind: 'ask', self: this.#describeSelf(), polledCount: this.#polledCount });
  }

  #answer(ip: string): void {
    const knowledge = this.options.readKnowledge();
    this.#send(ip, { kind: 'tell', self: this.#describeSelf(), knowledge });
  }

  #send(ip: string, datagram: Datagram): void {
    this.#socket.send(encodeDatagram(datagram), this.options.address.port, ip, (error) => {
      // Sending to a VM that is gone may fail; the roster notices by its silence that it is gone.
      if (error !== null) this.options.log.debug('peer.unsent', { to: ip, error: error.message });
    });
  }

  #receive(bytes: Uint8Array, ip: string): void {
    const { roster, clock, onKnowledge, onLoadReports, onPoisonReports } = this.options;
    const { onDrainingReports, onQuotaMessages } = this.options;
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined) return;
    if (datagram.kind === 'load') {
      onLoadReports(ip, datagram.loadReports);
      return;
    }
    if (datagram.kind === 'cases') {
      onPoisonReports(ip, datagram.poisonReports);
      return;
    }
    if (datagram.kind === 'full') {
      this.options.onFullReports?.(ip, datagram.targets);
      return;
    }
    if (datagram.kind === 'draining') {
      onDrainingReports(ip, datagram.targets);
      return;
    }
    if (datagram.kind === 'quota') {
      onQuotaMessages(ip, datagram.messages);
      return;
    }
    const { domain, capacity, isSenior } = datagram.self;
    const info = { ip, domain, capacity, isSenior };
    if (datagram.kind === 'ask') {
      roster.addMember(info);
      this.#pollers.record(ip, datagram.polledCount, clock.now());
      this.#answer(ip);
      return;
    }
    roster.recordStatus(info, datagram.self);
    this.#hasReply = true;
    if (this.#seeds.includes(ip)) this.#seeds = this.#seeds.filter((seed) => seed !== ip);
    // The reply may have been in transit since the poll was sent.
    const elapsed = clock.now() - (this.#polledAt.get(ip) ?? clock.now());
    const { knowledge } = datagram;
    const { lastRead, presences } = knowledge;
    if (knowledge.poisonReports.length > 0) onPoisonReports(ip, knowledge.poisonReports);
    for (const presence of presences) {
      roster.mergePresence({ ...presence, age: presence.age + elapsed });
    }
    onKnowledge(info, {
      ...knowledge,
      proofAge: knowledge.proofAge + elapsed,
      lastRead: lastRead && { ...lastRead, age: lastRead.age + elapsed },
    });
  }
}

/** A daemon that has not polled for this long gets no unsolicited state. */
const PUSH_WINDOW_MS = 3000;
