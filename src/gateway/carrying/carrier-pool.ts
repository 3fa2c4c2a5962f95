/** The daemons that may carry calls for this one, and the connections to them. */
import { chooseCarrier } from '../../balance/index.js';
import { type Clock, type Random, openTcpSocket } from '../../kernel/index.js';
import type { AnswerGuard } from '../../overload/index.js';
import type { MemberInfo } from '../../peering/index.js';
import { TargetConnections } from '../targets/connections.js';

/** A daemon that may carry calls. */
export interface Carrier {
  readonly ip: string;
  readonly domain: string;
  readonly capacity: number;
  readonly connections: TargetConnections;
  /** Calls that it carries for this daemon now. */
  inFlight: number;
}

/** A call that a carrier is wanted for. */
export interface CarrierRequest {
  readonly service: string;
  /** The regions in which it may run; undefined when it may run anywhere. */
  readonly regions: readonly string[] | undefined;
  /** Carriers that have had it. */
  readonly tried: ReadonlySet<string>;
}

/** Options of the pool. */
export interface CarrierPoolOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Watches the answers of carriers. */
  readonly answerGuard?: AnswerGuard;
  /** The failure domain of this daemon. */
  readonly domain: string;
  /** Finds the region of a failure domain. */
  readonly findRegion: (domain: string) => string | undefined;
  /** The port on which daemons accept carried calls. */
  readonly port: number;
  /** Lists the homes that reach targets. */
  readonly listHomes: () => readonly MemberInfo[];
  /** Lists all daemons that may reach targets, for calls that no home can serve. */
  readonly listAll: () => readonly MemberInfo[];
}

/** A carrier that did not accept a call is not asked again for this long. */
const AVOIDANCE_MS = 2000;

/** Stands for all services of a carrier. */
const ALL_SERVICES = '';

/** The carriers of one daemon. */
export class CarrierPool {
  readonly #carriers = new Map<string, Carrier>();

  /** Until when a carrier is not asked for a service, by both. */
  readonly #avoidedUntil = new Map<string, number>();

  constructor(private readonly options: CarrierPoolOptions) {}

  /** Whether any daemon may carry the call. */
  hasCarrier(request: CarrierRequest): boolean {
    return this.#listAllowed(request).length > 0;
  }

  /** Chooses a carrier for a call; undefined when there is none. */
  choose(request: CarrierRequest): Carrier | undefined {
    const { random, domain } = this.options;
    const carriers = this.#listAllowed(request).map((member) => this.#find(member));
    return chooseCarrier(carriers, { random, domain });
  }

  /** Whether the daemon still counts as one that may carry calls. */
  isListed({ ip }: Carrier): boolean {
    return this.options.listAll().some((member) => member.ip === ip);
  }

  /** Records that no connection to a carrier could be opened, or that it has broken. */
  recordFailure({ ip }: Carrier): void {
    this.#avoid(ip, ALL_SERVICES);
  }

  /** Records that a carrier can't serve calls of a service. */
  recordReturn({ ip }: Carrier, service: string): void {
    this.#avoid(ip, service);
  }

  /** Closes idle connections that have expired, and those to daemons that carry nothing any more. */
  closeExpired(): void {
    const now = this.options.clock.now();
    for (const [name, until] of this.#avoidedUntil) {
      if (until <= now) this.#avoidedUntil.delete(name);
    }
    for (const [ip, carrier] of this.#carriers) {
      carrier.connections.closeExpired();
      if (carrier.inFlight === 0 && carrier.connections.openCount === 0) this.#carriers.delete(ip);
    }
  }

  #listAllowed(request: CarrierRequest): readonly MemberInfo[] {
    const { listHomes, listAll } = this.options;
    const homes = this.#filterAllowed(listHomes(), request);
    return homes.length > 0 ? homes : this.#filterAllowed(listAll(), request);
  }

  #filterAllowed(
    members: readonly MemberInfo[],
    { service, regions, tried }: CarrierRequest,
  ): readonly MemberInfo[] {
    const { findRegion, domain } = this.options;
    const ownRegion = findRegion(domain);
    const candidates = members.filter(({ ip }) => !tried.has(ip) && !this.#isAvoided(ip, service));
    const local = candidates.filter((member) => findRegion(member.domain) === ownRegion);
    if (local.length > 0) return local;
    return candidates.filter(
      (member) => regions === undefined || regions.includes(findRegion(member.domain) ?? ''),
    );
  }

  #isAvoided(ip: string, service: string): boolean {
    const now = this.options.clock.now();
    const names = [`${ip} ${service}`, `${ip} ${ALL_SERVICES}`];
    return names.some((name) => now < (this.#avoidedUntil.get(name) ?? -Infinity));
  }

  #avoid(ip: string, service: string): void {
    this.#avoidedUntil.set(`${ip} ${service}`, this.options.clock.now() + AVOIDANCE_MS);
  }

  #find({ ip, domain, capacity }: MemberInfo): Carrier {
    const known = this.#carriers.get(ip);
    if (known !== undefined) return known;
    const { clock, port, answerGuard } = this.options;
    const connections = new TargetConnections(
      { host: ip, port },
      {
        ...{ clock, openSocket: openTcpSocket, answerGuard },
        ...{ onOpened: () => undefined, onFailed: () => undefined },
      },
    );
    const carrier: Carrier = { ip, domain, capacity, connections, inFlight: 0 };
    this.#carriers.set(ip, carrier);
    return carrier;
  }
}
