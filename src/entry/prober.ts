/** Health probes for ejected targets, needed when no repeatable call arrives to try them with. */
import type { Clock, Log, Metrics } from '../kernel/index.js';
import type { Target } from '../balance/index.js';
import { MeasuringGrant, buildGrantKey } from '../measure/index.js';
import type { Platform } from '../platform/index.js';
import type { Clients } from './clients.js';
import type { PoolRuntime } from './pool-runtime.js';
import type { ServiceTable } from './service-table.js';

/** Dependencies of a {@link Prober}. */
export interface ProberOptions {
  readonly table: ServiceTable;
  readonly clients: Clients;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const MAX_PROBE_CONNECTIONS = 2;
const MIN_UNHEALTHY_STATUS = 400;

/** Probes targets within the measuring budget of each pool. */
export class Prober {
  readonly #grants = new Map<string, MeasuringGrant>();

  constructor(private readonly options: ProberOptions) {}

  /** Returns the target time that this entry has spent on probes of a pool, in milliseconds. */
  readSpent(service: string, pool: string): number {
    return this.#grants.get(buildGrantKey(service, pool))?.spent ?? 0;
  }

  /** Probes targets on trial periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(PROBE_INTERVAL_MS, signal);
      if (signal.aborted) return;
      for (const runtime of this.options.table.list()) {
        if (!runtime.placement.isHome) continue;
        for (const pool of runtime.listPools()) await this.#probePool(runtime.service.name, pool);
      }
    }
  }

  async #probePool(service: string, pool: PoolRuntime): Promise<void> {
    const { config } = pool;
    if (config.health_path === '' || config.measuring_budget === 0) return;
    const key = buildGrantKey(service, config.name);
    for (const target of pool.pool.targets) {
      if (target.readState().kind !== 'trial' || target.inFlight > 0) continue;
      const grant = this.#findGrant(key, config.measuring_budget);
      if (!(await grant.spend(config.probe_cost))) return;
      const healthy = await this.#probe(target, config.health_path);
      target.recordProbe(healthy);
      this.options.metrics.count('probe', 1, { service, healthy: String(healthy) });
      this.options.log.info('probe', { service, target: target.name, healthy });
    }
  }

  #findGrant(key: string, budget: number): MeasuringGrant {
    const existing = this.#grants.get(key);
    if (existing !== undefined) return existing;
    const { platform, clock } = this.options;
    const grant = new MeasuringGrant(key, budget, platform, clock);
    this.#grants.set(key, grant);
    return grant;
  }

  async #probe(target: Target, path: string): Promise<boolean> {
    const client = this.options.clients.find(target.address, MAX_PROBE_CONNECTIONS);
    try {
      const { statusCode, body } = await client.request({
        ...{ method: 'GET', path, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) },
      });
      await body.dump();
      return statusCode < MIN_UNHEALTHY_STATUS;
    } catch {
      return false;
    }
  }
}
