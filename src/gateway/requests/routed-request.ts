/** A request on its way to a target, and what the modules that serve it depend on. */
import type { RouteTime } from '../../balance/index.js';
import type { Clock, Log, TextMetrics } from '../../kernel/index.js';
import type { RequestMemory } from '../../overload/index.js';
import type { Organisation, Route } from '../../routing/index.js';
import type { QuotaTicket } from '../quota/quota-ticket.js';
import type { TargetService } from '../targets/target-service.js';
import type { OutgoingBody } from './outgoing-request.js';
import type { Credential } from './authentication.js';
import type { PoisonRegistry } from './poison-registry.js';
import type { RequestIdentity } from './request-identity.js';

/** A request that was read and matched to a route. */
export interface RoutedRequest {
  readonly id: string;
  readonly route: Route;
  readonly service: TargetService;
  /** The organisation that sends it; undefined where requests need no key. */
  readonly organisation?: Organisation;
  /** What it holds of the organisation's quota. */
  readonly ticket: QuotaTicket;
  /** How that organisation was identified. */
  readonly credential?: Credential;
  /** When its head was read, in milliseconds on the kernel's clock. */
  readonly headReadAt: number;
  /** When it is estimated to have arrived at this machine, on the same clock. */
  readonly estimatedArrivalAt: number;
  /** Until when an answer that leaves this daemon is fully useful to the caller. */
  readonly aimAt: number;
  /** When it is given up. */
  readonly deadline: number;
  readonly method: string;
  readonly path: string;
  /** Recognises other tries of the same request. */
  readonly identity: RequestIdentity;
  readonly body: OutgoingBody;
  /** Whether it takes more than its share of this daemon. */
  readonly isCostly?: boolean;
  /** What it and its answer hold; undefined where memory is not limited. */
  readonly memory?: RequestMemory;
  /** Length of the body, as far as it is known. */
  readonly bodyBytes: number;
  /** The IP address of the caller. */
  readonly caller: string;
  /** Builds the headers to send, with those of the next hop. */
  readonly buildHeaders: (hopHeaders: readonly string[]) => readonly string[];
}

/** Dependencies of forwarding. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Estimates of how long calls of this route take. */
  readonly routeTime: RouteTime;
  readonly counts: ForwardingCounts;
  readonly metrics: TextMetrics;
  /** Registry of requests under which targets have ended. */
  readonly poison: PoisonRegistry;
  /** Returns by how much this daemon was late since a time of the clock, in milliseconds. */
  readonly readLateness: (since: number) => number;
}

/** Counters over all requests. */
export interface ForwardingCounts {
  answered: number;
  failed: number;
  notRun: number;
  unknown: number;
  gone: number;
  retries: number;
  hedges: number;
}
