/** The status of a gateway daemon, as gauges of the metrics and as a periodic log line. */
import type { RouteTimeState } from '../balance/index.js';
import { type LogFields, formatMetricName } from '../kernel/index.js';
import type { MemberState } from '../peering/index.js';
import type { ForwardingCounts } from './requests/routed-request.js';
import type { TargetService } from './targets/target-service.js';

/** The state of a daemon at one moment. */
export interface GatewayStatus {
  /** Whether this daemon is starting, serving or stopping. */
  readonly state: MemberState;
  /** IP numbers of the homes, as this daemon computes them. */
  readonly homes: readonly string[];
  /** Whether this daemon is one of the homes. */
  readonly isHome: boolean;
  /** Recent utilisation of this daemon's event loop, from 0 to 1. */
  readonly utilisation: number;
  /** Daemons in the roster. */
  readonly members: number;
  /** Version of the configuration in force. */
  readonly configurationVersion: number | undefined;
  /** Milliseconds since the view was last confirmed to be the newest. */
  readonly proofAge: number;
  /** Requests since the start, by outcome. */
  readonly requests: ForwardingCounts;
  /** Lookups of addresses since the start. */
  readonly lookups: number;
  /** Connections of callers accepted since the start. */
  readonly connectionsAccepted: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** Requests that were read and are not yet started. */
  readonly backlog: number;
  /** Entries of the store that could not be decoded. */
  readonly unreadableEntries: number;
  /** Failure domains whose targets get no calls. */
  readonly evacuatedDomains: readonly string[];
  /** Poison requests that are held out: targets ended while they ran them. */
  readonly heldOutRequests: number;
  /** Probes sent since the start. */
  readonly probes: number;
  /** Whether this daemon reaches no target of any service. */
  readonly isPartitioned: boolean;
  /** Other daemons that report that they reach no target. */
  readonly partitionedPeers: number;
  /** Requests for carrying that came from no daemon, since the start. */
  readonly carryRejections: number;
  /** Checks since the start whether targets of a service are reached. */
  readonly reachChecks: number;
  /** Connections to targets opened since the start. */
  readonly targetConnectionsOpened: number;
  /** Calls to the store since the start, by kind. */
  readonly storeCalls: Readonly<Record<string, number>>;
  readonly services: readonly TargetService[];
  /** Estimates of how long calls take, by route. */
  readonly routeTimes: Readonly<Record<string, RouteTimeState>>;
}

/** Reported as the age of the proof when there has been none yet. */
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
    ...{ is_partitioned: Number(status.isPartitioned), reach_checks: status.reachChecks },
    ...{ partitioned_peers: status.partitionedPeers, carry_rejected: status.carryRejections },
    domains_evacuated: status.evacuatedDomains.length,
    ...{ probes: status.probes, target_connections_opened: status.targetConnectionsOpened },
    rss_bytes: process.memoryUsage.rss(),
  };
  for (const [name, count] of Object.entries(status.requests)) gauges[`requests_${name}`] = count;
  for (const [kind, count] of Object.entries(status.storeCalls)) {
    gauges[formatMetricName('store_calls', { kind })] = count;
  }
  for (const service of status.services) {
    const { queue, retryBudget, targets } = service;
    const set = (name: string, value: number) => {
      gauges[formatMetricName(name, { service: service.name })] = value;
    };
    set('is_reached', Number(service.isReached));
    set('targets_limited', service.countLimited());
    set('targets_draining', service.countDraining());
    set('targets_backed_off', service.countBackedOff());
    set('targets_full', service.countFull());
    set('targets_failing', service.countFailing());
    set('failure_trials', service.failureTrials);
    set('limited_away', service.rateLimitDiversions);
    set('backed_off_away', service.backoffDiversions);
    set('waiting', queue.size);
    set('targets', targets.size);
    set('repeats_denied', retryBudget.counts.denied);
    const { mean, slow, life } = service.readSlowdownParameters();
    set('slowdown_mean', mean);
    set('slowdown_slow', slow);
    set('report_life_ms', life);
    set('knee', service.knee.readFactor());
  }
  for (const [route, { work, spread, source, samples }] of Object.entries(status.routeTimes)) {
    gauges[formatMetricName('route_work_ms', { route, source })] = work;
    gauges[formatMetricName('route_spread', { route, source })] = spread;
    gauges[formatMetricName('route_samples', { route })] = samples;
  }
  return gauges;
}

/** Formats the status as the fields of a log line. */
export function describeStatus(status: GatewayStatus): LogFields {
  const { state, homes, requests, services, storeCalls } = status;
  return {
    ...{ state, partitioned: status.isPartitioned, homes: homes.join(','), ...requests },
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
