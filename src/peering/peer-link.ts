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
  readonly onLoadReports: (from: string, shares: readonly TargetLoadReport[]) => void;
  /** Called with targets that drain, as another daemon was told by them. */
  readonly onDrainingReports: (from: string, targets: readonly DrainingReport[]) => void;
  /** Called with what another daemon tells of requests under which targets ended. */
  readonly onPoisonReports: (from: string, cases: readonly PoisonReport[]) => void;
}

/** How often one of the daemons in the settings or the store that never answered is asked, in turn. */
const SEED_PACE = 1000;

/**
 * Of those a daemon to which nobody has answered yet asks this many in a round. The store names the whole
 * fleet, and after a loss of power half of it may be looking for the other half.
 */
const MOST_SEEDS = 4;

/**
 * A daemon that has just started asks all that it knows of this often, for as long as others that were
 * started with it may still be coming up. Until it knows them, callers are told of it alone.
 */
const FIRST_PACE = 100;
const FIRST_TIME = 2000;

/** A silent daemon is looked for among all those known this often. */
const FORGET_PACE = 10_000;

/** The datagram socket of one daemon. */
export class PeerLink {
  readonly #socket = dgram.createSocket('udp4');

  /** When each daemon was last asked, to know how old its answer is at most. */
  readonly #askedAt = new Map<string, number>();

  /** Who asked of late, to be told at once when this daemon stops, and how many others it asks as well. */
  readonly #askers = new Map<string, { readonly at: number; readonly asked: number }>();

  /** Those that never answered, the next to be asked first. */
  #seeds: readonly string[] = [];

  /** Whether anybody has answered since the start. */
  #isAnswered = false;

  /** How many this daemon asks, itself included. */
  #asked = 1;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Opens the socket and asks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { address, clock, roster, log } = this.options;
    this.#socket.on('message', (message, from) => this.#take(message, from.address));
    this.#socket.on('error', (error) => log.warn('peer.socket', { error: error.message }));
    await new Promise<void>((resolve) => {
      this.#socket.bind(address.port, address.host, resolve);
    });
    const startedAt = clock.now();
    let seedsAt = -Infinity;
    let forgetAt = clock.now() + FORGET_PACE;
    while (!signal.aborted) {
      const now = clock.now();
      roster.addMember(this.options.readSelf());
      const isNew = now - startedAt < FIRST_TIME;
      const listed = isNew ? roster.listToPoll(FIRST_PACE) : roster.listToPoll();
      const asked = new Set(listed.map(({ ip }) => ip));
      this.#asked = asked.size + 1;
      const isAlone = !this.#isAnswered;
      if (isAlone || now - seedsAt >= SEED_PACE) {
        seedsAt = now;
        for (const seed of this.#takeSeeds(isAlone ? MOST_SEEDS : 1)) asked.add(seed);
      }
      if (now >= forgetAt) {
        forgetAt = now + FORGET_PACE;
        roster.forgetSilent(new Set(this.#seeds));
      }
      for (const ip of asked) this.#ask(ip);
      const { nearPollInterval: nearPace, remotePollInterval: remotePace } =
        this.options.readTimes();
      const pace = roster.isNearHomes() ? nearPace : remotePace;
      await clock.sleep(isNew ? FIRST_PACE : pace, signal);
    }
    this.#socket.close();
  }

  /** Whether it has heard from another daemon, or knows of none. */
  get hasJoined(): boolean {
    return this.#isAnswered || this.#seeds.length === 0;
  }

  /** Names daemons to ask until they answer. */
  addSeeds(ips: readonly string[]): void {
    const own = this.options.readSelf().ip;
    const others = ips.filter((ip) => ip !== own);
    this.#seeds = [...new Set([...this.#seeds, ...others])];
  }

  /** The next ones to ask; they go to the end of the line. */
  #takeSeeds(count: number): readonly string[] {
    const taken = this.#seeds.slice(0, count);
    this.#seeds = [...this.#seeds.slice(count), ...taken];
    return taken;
  }

  /**
   * Counts the daemons that look to this one: each that asked of late counts as the part of its questions
   * that comes here, and so does this daemon itself. Over all daemons the counts sum up to the fleet.
   */
  countPollers(): number {
    const now = this.options.clock.now();
    let askers = 1 / this.#asked;
    for (const { at, asked } of this.#askers.values()) {
      if (now - at < ASKING) askers += 1 / asked;
    }
    return askers;
  }

  /**
   * Counts the daemons that look to this one as a home. A daemon that is no home sends nothing where homes share a
   * rate, so what it asks itself counts for those that it asks; over all homes the counts sum up to the fleet.
   */
  countHomePollers(): number {
    const now = this.options.clock.now();
    const homes = new Set(this.options.roster.listHomes().map(({ ip }) => ip));
    let lookers = homes.has(this.options.readSelf().ip) ? 1 / this.#asked : 0;
    for (const [ip, { at, asked }] of this.#askers) {
      if (now - at < ASKING) lookers += 1 / (homes.has(ip) ? asked : Math.max(1, asked - 1));
    }
    return lookers;
  }

  /** Tells everybody who asked of late how things are now, without being asked. */
  pushToPollers(): void {
    const now = this.options.clock.now();
    for (const [ip, { at }] of this.#askers) {
      if (now - at < ASKER_LIFE) this.#tell(ip);
    }
  }

  /** Tells another home what this one knows of targets. */
  sendLoadReports(ip: string, shares: readonly TargetLoadReport[]): void {
    this.#send(ip, { kind: 'load', loadReports: shares });
  }

  /** Tells another daemon of targets that drain. */
  sendDrainingReports(ip: string, targets: readonly DrainingReport[]): void {
    this.#send(ip, { kind: 'draining', targets });
  }

  /** Tells another daemon of requests under which targets ended. */
  sendPoisonReports(ip: string, cases: readonly PoisonReport[]): void {
    this.#send(ip, { kind: 'cases', poisonReports: cases });
  }

  #describeSelf(): SelfStatus {
    const { domain, capacity, isSenior } = this.options.readSelf();
    const { readSelfState: selfState, readUtilisation: readBusy } = this.options;
    const word = { state: selfState(), utilisation: readBusy(), pollers: this.countPollers() };
    return { domain, capacity, isSenior, ...word };
  }

  #ask(ip: string): void {
    if (ip === this.options.readSelf().ip) return;
    this.#askedAt.set(ip, this.options.clock.now());
    this.#send(ip, { kind: 'ask', self: this.#describeSelf(), asked: this.#asked });
  }

  #tell(ip: string): void {
    const knowledge = this.options.readKnowledge();
    this.#send(ip, { kind: 'tell', self: this.#describeSelf(), knowledge });
  }

  #send(ip: string, datagram: Datagram): void {
    this.#socket.send(encodeDatagram(datagram), this.options.address.port, ip, (error) => {
      // A VM that is gone refuses; that it does not answer is noticed by its silence.
      if (error !== null) this.options.log.debug('peer.unsent', { to: ip, error: error.message });
    });
  }

  #take(bytes: Uint8Array, ip: string): void {
    const {
      roster,
      clock,
      onKnowledge,
      onLoadReports: onShares,
      onPoisonReports: onCases,
      onDrainingReports: onDraining,
    } = this.options;
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined) return;
    if (datagram.kind === 'load') {
      onShares(ip, datagram.loadReports);
      return;
    }
    if (datagram.kind === 'cases') {
      onCases(ip, datagram.poisonReports);
      return;
    }
    if (datagram.kind === 'draining') {
      onDraining(ip, datagram.targets);
      return;
    }
    const { domain, capacity, isSenior } = datagram.self;
    const info = { ip, domain, capacity, isSenior };
    if (datagram.kind === 'ask') {
      roster.addMember(info);
      this.#askers.set(ip, { at: clock.now(), asked: datagram.asked });
      this.#tell(ip);
      return;
    }
    roster.recordStatus(info, datagram.self);
    this.#isAnswered = true;
    if (this.#seeds.includes(ip)) this.#seeds = this.#seeds.filter((seed) => seed !== ip);
    // The answer may have been on its way since the question was sent.
    const travelled = clock.now() - (this.#askedAt.get(ip) ?? clock.now());
    const { knowledge } = datagram;
    const { lastRead: reading, presences } = knowledge;
    if (knowledge.poisonReports.length > 0) onCases(ip, knowledge.poisonReports);
    for (const presence of presences) {
      roster.mergePresence({ ...presence, age: presence.age + travelled });
    }
    onKnowledge(info, {
      ...knowledge,
      proofAge: knowledge.proofAge + travelled,
      lastRead: reading && { ...reading, age: reading.age + travelled },
    });
  }
}

/** Who has not asked for this long does not wait for news. */
const ASKER_LIFE = 3000;

/** Who looks to this daemon has asked it within this time: some questions, as datagrams get lost. */
const ASKING = 1200;
