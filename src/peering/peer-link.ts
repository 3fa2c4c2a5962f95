/**
 * Short questions between daemons, as datagrams: are you there, what do you know, how old is it?
 *
 * A question and its answer are about a hundred bytes; what changed travels over {@link Feed}.
 */
import dgram from 'node:dgram';
import type { Address, Clock, Log } from '../kernel/index.js';
import {
  type PoisonReport,
  type Datagram,
  type DrainingReport,
  type Knowledge,
  type TargetLoadReport,
  type SelfStatus,
  decodeDatagram,
  encodeDatagram,
} from './datagram.js';
import type { PropagationTimes } from '../view/index.js';
import type { MemberInfo, MemberState, Roster } from './roster.js';

/** What the link is made from. */
export interface PeerLinkOptions {
  readonly address: Address;
  readonly readSelf: () => MemberInfo;
  readonly readSelfState: () => MemberState;
  /** The part of its time in which this daemon was at work of late, from 0 to 1. */
  readonly readUtilisation: () => number;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly log: Log;
  /** How often others are asked. */
  readonly readTimes: () => PropagationTimes;
  readonly readKnowledge: () => Knowledge;
  /** Called with what another daemon knows, as of the moment when it was asked. */
  readonly onKnowledge: (from: MemberInfo, knowledge: Knowledge) => void;
  /** Called with what another home knows of targets. */
  readonly onLoadReports: (from: string, reports: readonly TargetLoadReport[]) => void;
  /** Called with targets that drain, as another daemon was told by them. */
  readonly onDrainingReports: (from: string, reports: readonly DrainingReport[]) => void;
  /** Called with what another daemon tells of requests under which targets ended. */
  readonly onPoisonReports: (from: string, reports: readonly PoisonReport[]) => void;
}

/** How often one of the daemons in the settings or the store that never answered is asked, in turn. */
const SEED_POLL_INTERVAL_MS = 1000;

/**
 * Of those a daemon to which nobody has answered yet asks this many in a round. The store names the whole
 * fleet, and after a loss of power half of it may be looking for the other half.
 */
const MAX_SEEDS_PER_ROUND = 4;

/**
 * A daemon that has just started asks all that it knows of this often, for as long as others that were
 * started with it may still be coming up. Until it knows them, callers are told of it alone.
 */
const START_POLL_INTERVAL_MS = 100;
const START_PHASE_MS = 2000;

/** A silent daemon is looked for among all those known this often. */
const FORGET_INTERVAL_MS = 10_000;

/** The datagram socket of one daemon. */
export class PeerLink {
  readonly #socket = dgram.createSocket('udp4');

  /** When each daemon was last asked, to know how old its answer is at most. */
  readonly #polledAt = new Map<string, number>();

  /** Who asked of late, to be told at once when this daemon stops, and how many others it asks as well. */
  readonly #pollers = new Map<string, { readonly at: number; readonly polledCount: number }>();

  /** Those that never answered, the next to be asked first. */
  #seeds: readonly string[] = [];

  /** Whether anybody has answered since the start. */
  #hasReply = false;

  /** How many this daemon asks, itself included. */
  #polledCount = 1;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Opens the socket and asks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { address, clock, roster, log } = this.options;
    this.#socket.on('message', (message, from) => this.#receive(message, from.address));
    this.#socket.on('error', (error) => log.warn('peer.socket', { error: error.message }));
    await new Promise<void>((resolve) => {
      this.#socket.bind(address.port, address.host, resolve);
    });
    const startedAt = clock.now();
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
      }
      for (const ip of polled) this.#poll(ip);
      const { nearPollInterval, remotePollInterval } = this.options.readTimes();
      const interval = roster.isNearHomes() ? nearPollInterval : remotePollInterval;
      await clock.sleep(isStarting ? START_POLL_INTERVAL_MS : interval, signal);
    }
    this.#socket.close();
  }

  /** Whether it has heard from another daemon, or knows of none. */
  get hasJoined(): boolean {
    return this.#hasReply || this.#seeds.length === 0;
  }

  /** Names daemons to ask until they answer. */
  addSeeds(ips: readonly string[]): void {
    const own = this.options.readSelf().ip;
    const others = ips.filter((ip) => ip !== own);
    this.#seeds = [...new Set([...this.#seeds, ...others])];
  }

  /** The next ones to ask; they go to the end of the line. */
  #rotateSeeds(count: number): readonly string[] {
    const next = this.#seeds.slice(0, count);
    this.#seeds = [...this.#seeds.slice(count), ...next];
    return next;
  }

  /**
   * Counts the daemons that look to this one: each that asked of late counts as the part of its questions
   * that comes here, and so does this daemon itself. Over all daemons the counts sum up to the fleet.
   */
  countPollers(): number {
    const now = this.options.clock.now();
    let pollers = 1 / this.#polledCount;
    for (const { at, polledCount } of this.#pollers.values()) {
      if (now - at < POLLER_WINDOW_MS) pollers += 1 / polledCount;
    }
    return pollers;
  }

  /**
   * Counts the daemons that look to this one as a home. A daemon that is no home sends nothing where homes share a
   * rate, so what it asks itself counts for those that it asks; over all homes the counts sum up to the fleet.
   */
  countHomePollers(): number {
    const now = this.options.clock.now();
    const homes = new Set(this.options.roster.listHomes().map(({ ip }) => ip));
    let pollers = homes.has(this.options.readSelf().ip) ? 1 / this.#polledCount : 0;
    for (const [ip, { at, polledCount }] of this.#pollers) {
      if (now - at < POLLER_WINDOW_MS)
        pollers += 1 / (homes.has(ip) ? polledCount : Math.max(1, polledCount - 1));
    }
    return pollers;
  }

  /** Tells everybody who asked of late how things are now, without being asked. */
  pushToPollers(): void {
    const now = this.options.clock.now();
    for (const [ip, { at }] of this.#pollers) {
      if (now - at < PUSH_WINDOW_MS) this.#answer(ip);
    }
  }

  /** Tells another home what this one knows of targets. */
  sendLoadReports(ip: string, loadReports: readonly TargetLoadReport[]): void {
    this.#send(ip, { kind: 'load', loadReports });
  }

  /** Tells another daemon of targets that drain. */
  sendDrainingReports(ip: string, targets: readonly DrainingReport[]): void {
    this.#send(ip, { kind: 'draining', targets });
  }

  /** Tells another daemon of requests under which targets ended. */
  sendPoisonReports(ip: string, poisonReports: readonly PoisonReport[]): void {
    this.#send(ip, { kind: 'cases', poisonReports });
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
      // A VM that is gone refuses; that it does not answer is noticed by its silence.
      if (error !== null) this.options.log.debug('peer.unsent', { to: ip, error: error.message });
    });
  }

  #receive(bytes: Uint8Array, ip: string): void {
    const { roster, clock, onKnowledge, onLoadReports, onPoisonReports, onDrainingReports } =
      this.options;
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
    if (datagram.kind === 'draining') {
      onDrainingReports(ip, datagram.targets);
      return;
    }
    const { domain, capacity, isSenior } = datagram.self;
    const info = { ip, domain, capacity, isSenior };
    if (datagram.kind === 'ask') {
      roster.addMember(info);
      this.#pollers.set(ip, { at: clock.now(), polledCount: datagram.polledCount });
      this.#answer(ip);
      return;
    }
    roster.recordStatus(info, datagram.self);
    this.#hasReply = true;
    if (this.#seeds.includes(ip)) this.#seeds = this.#seeds.filter((seed) => seed !== ip);
    // The answer may have been on its way since the question was sent.
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

/** Who has not asked for this long does not wait for news. */
const PUSH_WINDOW_MS = 3000;

/** Who looks to this daemon has asked it within this time: some questions, as datagrams get lost. */
const POLLER_WINDOW_MS = 1200;
