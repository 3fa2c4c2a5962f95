/** What a daemon tells of itself: gauges for whoever asks, and a line now and then. */
import type { LogFields } from '../kernel/index.js';
import type { MemberState } from '../peering/index.js';
import type { ForwardingCounts } from './requests/forwarding.js';
import type { TargetService } from './targets/target-service.js';

/** The state of a daemon at one moment. */
export interface GatewayStatus {
  readonly state: MemberState;
  /** IP numbers of the homes, as this daemon works them out. */
  readonly homes: readonly string[];
  readonly isHome: boolean;
  /** The part of its time in which this daemon was at work of late, from 0 to 1. */
  readonly utilisation: number;
  readonly members: number;
  /** Version of the configuration in force. */
  readonly configurationVersion: number | undefined;
  /** Milliseconds since it was last shown that nothing newer is in the store. */
  readonly proofAge: number;
  readonly requests: ForwardingCounts;
  readonly lookups: number;
  readonly connectionsAccepted: number;
  readonly connections: number;
  /** Requests that were read and are not begun yet. */
  readonly backlog: number;
  /** Entries in the store that this daemon read and could not decode. */
  readonly unreadableEntries: number;
  /** Failure domains whose targets take no calls. */
  readonly evacuatedDomains: readonly string[];
  /** Requests that are sent nowhere because targets ended under them. */
  readonly heldOutRequests: number;
  readonly probes: number;
  readonly targetConnectionsOpened: number;
  readonly storeCalls: Readonly<Record<string, number>>;
  readonly services: readonly TargetService[];
}

/** Stands for a proof that never came, in the metrics. */
const MISSING_PROOF_AGE_MS = 1_000_000_000;

const BYTES_PER_MB = 1_048_576;

/** Lists the gauges of the metrics. */
export function listGauges(status: GatewayStatus): Readonly<Record<string, number>> {
  const gauges: Record<string, number> = {
    ...{ configuration_version: status.configurationVersion ?? 0 },
    ...{ proof_age_ms: Math.round(Math.min(status.proofAge, MISSING_PROOF_AGE_MS)) },
    ...{ members: status.members, homes: status.homes.length },
    ...{ is_home: Number(status.isHome), is_ready: Number(status.state === 'ready') },
    ...{ lookups: status.lookups, connections: status.connections, busy: status.utilisation },
    backlog: status.backlog,
    ...{ targets_unreadable: status.unreadableEntries, poison_held_out: status.heldOutRequests },
    domains_evacuated: status.evacuatedDomains.length,
    ...{ probes: status.probes, target_connections_opened: status.targetConnectionsOpened },
    rss_bytes: process.memoryUsage.rss(),
  };
  for (const [name, count] of Object.entries(status.requests)) gauges[`requests_${name}`] = count;
  for (const [kind, count] of Object.entries(status.storeCalls)) {
    gauges[`store_calls{kind="${kind}"}`] = count;
  }
  for (const service of status.services) {
    const { name, queue, retryBudget, targets } = service;
    gauges[`targets_limited{service="${name}"}`] = service.countLimited();
    gauges[`targets_draining{service="${name}"}`] = service.countDraining();
    gauges[`targets_backed_off{service="${name}"}`] = service.countBackedOff();
    gauges[`limited_away{service="${name}"}`] = service.rateLimitDiversions;
    gauges[`backed_off_away{service="${name}"}`] = service.backoffDiversions;
    gauges[`waiting{service="${name}"}`] = queue.size;
    gauges[`targets{service="${name}"}`] = targets.size;
    gauges[`repeats_denied{service="${name}"}`] = retryBudget.counts.denied;
  }
  return gauges;
}

/** Describes the state as the fields of a log line. */
export function describeStatus(status: GatewayStatus): LogFields {
  const { state, homes, requests, services, storeCalls } = status;
  return {
    ...{ state, homes: homes.join(','), ...requests },
    ...{
      members: status.members,
      version: status.configurationVersion,
      busy: status.utilisation.toFixed(2),
    },
    knee: services
      .map((service) => `${service.name}:${service.knee.readFactor().toFixed(2)}`)
      .join(','),
    proof_age: Math.round(status.proofAge),
    evacuated: status.evacuatedDomains.join(','),
    ...{
      accepted: status.connectionsAccepted,
      connections: status.connections,
      backlog: status.backlog,
    },
    ...{ lookups: status.lookups, probes: status.probes, opened: status.targetConnectionsOpened },
    store: Object.entries(storeCalls)
      .map(([kind, count]) => `${kind}:${count}`)
      .join(','),
    rss_mb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
  };
}
