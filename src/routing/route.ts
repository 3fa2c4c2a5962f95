/**
 * The operators' routes and services, as one immutable table for each version of the configuration.
 */
import type { OrganisationTable } from './organisation.js';

/** Whether a request may run more than once. An `upload` may not, and has a large body. */
export type RequestKind = 'repeatable' | 'once' | 'upload';

/** One service of a traffic split and its weight. */
export interface Share {
  readonly service: string;
  readonly weight: number;
}

/** How requests under one path prefix of a host are handled. Times are in milliseconds. */
export interface Route {
  readonly name: string;
  readonly kind: RequestKind;
  readonly pathPrefix: string;
  /** The services that requests go to; with more than one, they are split by weight. */
  readonly shares: readonly Share[];
  /** The longest time for which a request is held. */
  readonly timeout: number;
  /** The time within which an answer is fully useful to the caller. */
  readonly targetLatency: number;
  /** The most targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** The priority of its requests; 0 is the most urgent. */
  readonly priority: number;
  /** The regions in which its requests may run; undefined when they may run anywhere. */
  readonly regions?: readonly string[];
  /** Whether its requests need no key. */
  readonly isPublic?: boolean;
}

/** A service's configuration. */
export interface ServiceSpec {
  readonly name: string;
  /** The path of health probes. */
  readonly healthPath: string;
  /** The most connections that one target accepts from all daemons together. */
  readonly maxConnections: number;
  /**
   * Requests per second that a cold target can handle from all daemons together; Infinity when not
   * configured.
   */
  readonly coldRate: number;
  /** For how long a target is cold after a start, in milliseconds. */
  readonly coldTime: number;
}

/** Limits on what a caller sends, in bytes, and on how long it takes to, in milliseconds. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  readonly idleTimeout: number;
}

/** One version of the operators' configuration. Versions increase, but not always by one. */
export class RouteTable {
  readonly #routes: ReadonlyMap<string, readonly Route[]>;

  readonly #services: ReadonlyMap<string, ServiceSpec>;

  constructor(
    readonly version: number,
    routes: ReadonlyMap<string, readonly Route[]>,
    services: readonly ServiceSpec[],
    readonly limits: RequestLimits,
    /** Descriptions of the parts that could not be decoded, for which defaults are in force. */
    readonly warnings: readonly string[] = [],
    /** Undefined when requests need no key. */
    readonly organisations?: OrganisationTable,
  ) {
    const byLength = (a: Route, b: Route) => b.pathPrefix.length - a.pathPrefix.length;
    this.#routes = new Map(
      [...routes].map(([host, rules]) => [host, [...rules].sort(byLength)] as const),
    );
    this.#services = new Map(services.map((service) => [service.name, service]));
  }

  /**
   * Finds the route of a request: the one with the longest prefix of its path among the routes of
   * its host.
   */
  findRoute(host: string, path: string): Route | undefined {
    for (const route of this.#routes.get(host.toLowerCase()) ?? []) {
      if (path.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }

  /** Finds the configuration of a service. */
  findService(name: string): ServiceSpec | undefined {
    return this.#services.get(name);
  }

  /** Lists the services in the order of the configuration. */
  listServices(): readonly ServiceSpec[] {
    return [...this.#services.values()];
  }
}
