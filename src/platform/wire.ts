/**
 * The names that the users' platform gives to headers, keys and paths.
 *
 * Nothing outside this folder spells them. Where a name misleads, the constant says what it holds.
 */

/** Headers of requests and answers, spelt as the platform spells them. */
export const HEADERS = {
  /** One try of a client: a client that tries again sends another one. */
  requestId: 'Attempt-Id',
  /** Milliseconds left, not a point in time. */
  timeLeft: 'Request-Deadline-Ms',
  /** Shows that an answer is a target's own. */
  signature: 'Server-Signature',
  /** The incarnation that must serve the request; any other one answers {@link MISDIRECTED_STATUS}. */
  expectedIncarnation: 'Expect-Instance',
  incarnation: 'Instance-Id',
  /** In a target's health answer: milliseconds for which it is still cold. */
  coldLeft: 'Warmup-Ms',
  load: 'Server-Load',
  /** In a target's answer: the requests a second that it takes from all daemons together. */
  rate: 'Server-Limit',
  /** In a target's answer: `1` when it takes no new requests any more. */
  draining: 'Server-Leaving',
  /** In a target's rejection: the seconds for which it wants nothing from the daemon that it answers. */
  retryAfter: 'Retry-After',
  /** Present only when the target did not run the request. */
  notRun: 'Not-Executed',
} as const;

/** The status by which another incarnation says that it did not run the request. */
export const MISDIRECTED_STATUS = 421;

/** Keys in the store. */
export const KEYS = {
  /** The prefix of all keys. */
  all: '',
  /** All that the operators keep there. */
  operators: 'op/',
  configuration: 'op/config',
  /** One for each failure domain whose targets are to get nothing; it ends with the domain's name. */
  evacuations: 'op/evacuate/',
  targets: 'servers/',
  /** Ours: the VMs that run the system, for one that starts and reaches no seed. */
  members: 'orchidbeam/members',
  /** Ours: what daemons have learnt of services and routes. */
  learnedState: 'orchidbeam/lessons',
  /** The list of VMs where no users' platform keeps one: one item for each, written by whoever runs them. */
  vms: 'vms/',
} as const;

/** Paths that callers of the system's own interfaces use. */
export const PATHS = {
  ready: '/ready',
  resolve: '/resolve',
} as const;

/** The question of a client that wants to know which addresses to use. */
export interface ResolveQuery {
  readonly host: string;
  readonly region: string;
  readonly domain: string;
}

/** Reads the query of a resolve call. */
export function parseResolveQuery(query: URLSearchParams): ResolveQuery {
  return {
    host: query.get('name') ?? '',
    region: query.get('region') ?? '',
    domain: query.get('zone') ?? '',
  };
}

/** Writes the answer to a resolve call; `ttl` is in milliseconds. */
export function encodeResolveResponse(addresses: readonly string[], ttl: number): string {
  return JSON.stringify({ addresses, ttl_s: ttl / 1000 });
}
