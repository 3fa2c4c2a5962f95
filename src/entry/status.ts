/** Status of an entry, as JSON for operators. */
import type { TargetState } from '../balance/index.js';
import type { Member, PeerTraffic } from '../peer/index.js';
import type { PlatformCounts } from '../platform/index.js';
import type { CallCounts, ServiceRuntime } from './service-runtime.js';

/** Status of one target, and why it is or is not used. */
export interface TargetStatus {
  readonly address: string;
  readonly domain: string;
  readonly state: TargetState['kind'];
  readonly why: string;
  readonly inFlight: number;
  readonly limit: number;
  /** Mean time to an answer, in milliseconds. */
  readonly latency: number;
  readonly answered: number;
  readonly failed: number;
}

/** Status of one pool as used by this entry. */
export interface PoolStatus {
  readonly name: string;
  readonly busy: number;
  readonly waiting: number;
  /** Target time that this entry has spent on probes, in milliseconds. */
  readonly measured: number;
  readonly targets: readonly TargetStatus[];
}

/** Status of one service as seen by this entry. */
export interface ServiceStatus {
  readonly name: string;
  readonly region: string;
  readonly homes: readonly string[];
  readonly isHome: boolean;
  /** Recent calls per second. */
  readonly rate: number;
  readonly counts: Readonly<CallCounts>;
  readonly retries: number;
  readonly hedges: number;
  readonly pools: readonly PoolStatus[];
}

/** Status of an entry. */
export interface EntryStatus {
  readonly name: string;
  readonly domain: string;
  readonly state: string;
  readonly revision: number;
  /** Milliseconds since the revision was last shown to be the newest; null if never. */
  readonly proofAge: number | null;
  readonly configFault: string | undefined;
  readonly active: number;
  readonly connections: number;
  readonly connectionsOpened: number;
  readonly memory: number;
  readonly members: readonly Member[];
  readonly platform: PlatformCounts;
  readonly claimCalls: PlatformCounts;
  /** Processor time of the process since its start, in milliseconds. */
  readonly cpu: number;
  /** Messages and bytes exchanged with other entries. */
  readonly traffic: PeerTraffic;
  readonly claims: Readonly<Record<string, number>>;
  readonly services: readonly ServiceStatus[];
}

function explainState(state: TargetState, now: number): string {
  switch (state.kind) {
    case 'ready':
      return 'used';
    case 'cold':
      return `eased in at ${Math.round(state.share * 100)}%`;
    case 'leaving':
      return `leaving: ${state.source}`;
    case 'ejected':
      return `ejected for ${Math.round(state.until - now)} ms: ${state.reason}`;
    case 'trial':
      return `one call at a time after: ${state.reason}`;
    default:
      return state satisfies never;
  }
}

/** Builds the status of one service; `readMeasured` returns the probe time spent on a pool. */
export function describeService(
  runtime: ServiceRuntime,
  now: number,
  readMeasured: (pool: string) => number,
): ServiceStatus {
  const { placement, service } = runtime;
  return {
    name: service.name,
    region: placement.region,
    homes: placement.plan.homes.map(({ name }) => name),
    isHome: placement.isHome,
    rate: runtime.rate.read(now),
    counts: { ...runtime.counts },
    retries: runtime.retryBudget.spent,
    hedges: runtime.hedgeBudget.spent,
    pools: runtime.listPools().map(({ config, pool }) => {
      const { busy, waiting } = pool.readLoad();
      return {
        ...{ name: config.name, busy, waiting, measured: readMeasured(config.name) },
        targets: pool.targets.map((target) => {
          const state = target.readState();
          return {
            ...{ address: target.name, domain: target.domain, state: state.kind },
            ...{ why: explainState(state, now), inFlight: target.inFlight, limit: target.limit },
            ...{ latency: target.readLatency(0), answered: target.counts.answered },
            failed: target.counts.failed,
          };
        }),
      };
    }),
  };
}
