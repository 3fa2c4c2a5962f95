/**
 * Names of headers, store keys and paths on the users' platform.
 *
 * Only this folder spells them out. Where a name misleads, the constant is named after what it
 * holds.
 */

/** Headers of requests and answers, spelt as the platform spells them. */
export const HEADERS = {
  /** Identifies one attempt of a client; a retry by the client has another value. */
  requestId: 'Attempt-Id',
  /** Milliseconds left, not a point in time. */
  timeLeft: 'Request-Deadline-Ms',
  /** Proves that an answer comes from the target itself. */
  signature: 'Server-Signature',
  /**
   * The incarnation that must serve the request; any other one answers {@link MISDIRECTED_STATUS}.
   */
  expectedIncarnation: 'Expect-Instance',
  incarnation: 'Instance-Id',
  /** In a caller's request: the key of its organisation, alone. */
  apiKey: 'Api-Key',
  /** In a request to a target: the name of the organisation that holds the caller's key. */
  organisation: 'Tenant',
  /** In a target's health answer: milliseconds for which it is still cold. */
  coldLeft: 'Warmup-Ms',
  load: 'Server-Load',
  /** In a target's answer: the requests a second that it accepts from all daemons together. */
  rate: 'Server-Limit',
  /** In a target's answer: `1` when it accepts no new requests any more. */
  draining: 'Server-Leaving',
  /**
   * In a target's rejection: the seconds for which it wants no requests from the daemon that it
   * answers.
   */
  retryAfter: 'Retry-After',
  /** Present only when the target did not run the request. */
  notRun: 'Not-Executed',
} as const;

/** The status with which another incarnation answers that it did not run the request. */
export const MISDIRECTED_STATUS = 421;

/** Keys in the store. */
export const KEYS = {
  /** The prefix of all keys. */
  all: '',
  /** The prefix of everything that operators write. */
  operators: 'op/',
  configuration: 'op/config',
  /**
   * One key for each failure domain whose targets get no requests; it ends with the domain's name.
   */
  evacuations: 'op/evacuate/',
  targets: 'servers/',
  /** Written by this system: the VMs that run it, for a daemon that starts and reaches no seed. */
  members: 'orchidbeam/members',
  /** Written by this system: the key with which daemons authenticate carried calls. */
  fleetKey: 'orchidbeam/fleet-key',
  /** Written by this system: the learned state of services and routes. */
  learnedState: 'orchidbeam/lessons',
  /**
   * The list of VMs where the platform keeps none: one item for each VM, written by whoever runs
   * them.
   */
  vms: 'vms/',
} as const;

/** Paths of the system's own HTTP interfaces. */
export const PATHS = {
  ready: '/ready',
  resolve: '/resolve',
} as const;

/** A client's lookup of the addresses that it should use. */
export interface ResolveQuery {
  readonly host: string;
  readonly region: string;
  readonly domain: string;
}

/** Parses the query of a lookup. */
export function parseResolveQuery(query: URLSearchParams): ResolveQuery {
  return {
    host: query.get('name') ?? '',
    region: query.get('region') ?? '',
    domain: query.get('zone') ?? '',
  };
}

/** Encodes the answer to a lookup; `ttl` is in milliseconds. */
export function encodeResolveResponse(addresses: readonly string[], ttl: number): string {
  return JSON.stringify({ addresses, ttl_s: ttl / 1000 });
}
