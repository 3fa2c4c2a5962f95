/**
 * Short questions between daemons, as datagrams: are you there, what do you know, how old is it?
 *
 * A question and its answer are about a hundred bytes; what changed travels over {@link Feed}.
 */
import dgram from 'node:dgram';
import type { Address, Clock, Log } from '../kernel/index.js';
import {
  type Datagram,
  type Knowledge,
  type LoadShare,
  type SelfWord,
  decodeDatagram,
  encodeDatagram,
} from './datagram.js';
import type { MemberInfo, MemberState, Roster } from './roster.js';

/** What the link is made from. */
export interface PeerLinkOptions {
  readonly address: Address;
  readonly readSelf: () => MemberInfo;
  readonly selfState: () => MemberState;
  /** The part of its time in which this daemon was at work of late, from 0 to 1. */
  readonly readBusy: () => number;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly log: Log;
  readonly readKnowledge: () => Knowledge;
  /** Called with what another daemon knows, as of the moment when it was asked. */
  readonly onKnowledge: (from: MemberInfo, knowledge: Knowledge) => void;
  /** Called with what another home knows of targets. */
  readonly onShares: (from: string, shares: readonly LoadShare[]) => void;
}

/** How often homes and their successors are asked. */
const PACE = 250;

/** How often daemons in the settings or the store that never answered are asked. */
const SEED_PACE = 1000;

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

  /** Who asked of late, to be told at once when this daemon stops. */
  readonly #askers = new Map<string, number>();

  #seeds: ReadonlySet<string> = new Set();

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
      roster.note(this.options.readSelf());
      const isNew = now - startedAt < FIRST_TIME;
      const listed = isNew ? roster.listToAsk(FIRST_PACE) : roster.listToAsk();
      const asked = new Set(listed.map(({ ip }) => ip));
      if (isNew || now - seedsAt >= SEED_PACE) {
        seedsAt = now;
        for (const seed of this.#seeds) asked.add(seed);
      }
      if (now >= forgetAt) {
        forgetAt = now + FORGET_PACE;
        roster.forgetSilent(this.#seeds);
      }
      for (const ip of asked) this.#ask(ip);
      await clock.sleep(isNew ? FIRST_PACE : PACE, signal);
    }
    this.#socket.close();
  }

  /** Names daemons to ask until they answer. */
  addSeeds(ips: readonly string[]): void {
    const own = this.options.readSelf().ip;
    const others = ips.filter((ip) => ip !== own);
    this.#seeds = new Set([...this.#seeds, ...others]);
  }

  /** Counts the daemons that asked this one of late: those for which it is a home, or is about to be. */
  countAskers(): number {
    const now = this.options.clock.now();
    let askers = 0;
    for (const at of this.#askers.values()) {
      if (now - at < ASKING) askers += 1;
    }
    return askers;
  }

  /** Tells everybody who asked of late how things are now, without being asked. */
  tellAll(): void {
    const now = this.options.clock.now();
    for (const [ip, at] of this.#askers) {
      if (now - at < ASKER_LIFE) this.#tell(ip);
    }
  }

  /** Tells another home what this one knows of targets. */
  sendShares(ip: string, shares: readonly LoadShare[]): void {
    this.#send(ip, { kind: 'load', shares });
  }

  #describeSelf(): SelfWord {
    const { domain, capacity, isSenior } = this.options.readSelf();
    const { selfState, readBusy } = this.options;
    return { domain, capacity, isSenior, state: selfState(), busy: readBusy() };
  }

  #ask(ip: string): void {
    if (ip === this.options.readSelf().ip) return;
    this.#askedAt.set(ip, this.options.clock.now());
    this.#send(ip, { kind: 'ask', self: this.#describeSelf() });
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
    const { roster, clock, onKnowledge, onShares } = this.options;
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined) return;
    if (datagram.kind === 'load') {
      onShares(ip, datagram.shares);
      return;
    }
    const { domain, capacity, isSenior, state, busy } = datagram.self;
    const info = { ip, domain, capacity, isSenior };
    if (datagram.kind === 'ask') {
      roster.note(info);
      this.#askers.set(ip, clock.now());
      this.#tell(ip);
      return;
    }
    roster.hear(info, state, busy);
    this.#seeds = new Set([...this.#seeds].filter((seed) => seed !== ip));
    // The answer may have been on its way since the question was sent.
    const travelled = clock.now() - (this.#askedAt.get(ip) ?? clock.now());
    const { knowledge } = datagram;
    onKnowledge(info, {
      ...knowledge,
      proofAge: knowledge.proofAge + travelled,
      readAge: knowledge.readAge + travelled,
    });
  }
}

/** Who has not asked for this long does not wait for news. */
const ASKER_LIFE = 3000;

/** Who looks to this daemon has asked it within this time: some questions, as datagrams get lost. */
const ASKING = 1200;
