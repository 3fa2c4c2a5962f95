/** Routes: what operators decided about requests, as one immutable value for each version. */

/**
 * Whether a request may run more than once. `upload` may not, and its body is large.
 */
export type RequestKind = 'repeatable' | 'once' | 'upload';

/** One service of a split and its weight. */
export interface Share {
  readonly service: string;
  readonly weight: number;
}

/** What is done with the requests under one path prefix of a host. Times are in milliseconds. */
export interface Route {
  readonly name: string;
  readonly kind: RequestKind;
  readonly pathPrefix: string;
  /** Where requests go; more than one entry is a split by weight. */
  readonly shares: readonly Share[];
  /** Longest time for which a request is held. */
  readonly timeout: number;
  /** The time within which an answer is fully useful to the caller. */
  readonly targetLatency: number;
  /** Most targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The regions in which its requests may run; undefined where they may run anywhere. */
  readonly regions?: readonly string[];
}

/** What is known of a service besides its targets. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Most connections that one target accepts from everybody together. */
  readonly maxConnections: number;
  /** Requests a second that a cold target bears, from all daemons together; Infinity where nobody says. */
  readonly coldRate: number;
  /** For how long a target is cold after a start, in milliseconds. */
  readonly coldTime: number;
}

/** What a caller may send and how long it may take; bytes and milliseconds. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  readonly idleTimeout: number;
}

/** One version of the operators' configuration. Versions grow, by uneven steps. */
export class RouteTable {
  readonly #routes: ReadonlyMap<string, readonly Route[]>;

  readonly #services: ReadonlyMap<string, ServiceSpec>;

  constructor(
    readonly version: number,
    routes: ReadonlyMap<string, readonly Route[]>,
    services: readonly ServiceSpec[],
    readonly limits: RequestLimits,
    /** Parts that could not be read; what stands in for them is in force. */
    readonly warnings: readonly string[] = [],
  ) {
    const byLength = (a: Route, b: Route) => b.pathPrefix.length - a.pathPrefix.length;
    this.#routes = new Map(
      [...routes].map(([host, rules]) => [host, [...rules].sort(byLength)] as const),
    );
    this.#services = new Map(services.map((service) => [service.name, service]));
  }

  /** Finds the route of a request: the longest prefix of its path among the routes of its host. */
  findRoute(host: string, path: string): Route | undefined {
    for (const route of this.#routes.get(host.toLowerCase()) ?? []) {
      if (path.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }

  /** Finds what is known of a service. */
  findService(name: string): ServiceSpec | undefined {
    return this.#services.get(name);
  }

  /** The services, in the order of the configuration. */
  listServices(): readonly ServiceSpec[] {
    return [...this.#services.values()];
  }
}
