/** Metrics as a kernel service, sent as StatsD datagrams by `hot-shots`. */
import { StatsD } from 'hot-shots';
import { createServiceKey } from './kernel.js';
import type { Address } from './network.js';

/** Tags of a metric, such as the service it belongs to. */
export type Tags = Readonly<Record<string, string>>;

/** The metrics service. `docs/METRICS.md` lists names and units. */
export interface Metrics {
  /** Adds `amount` to a counter. */
  count(name: string, amount?: number, tags?: Tags): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: Tags): void;
  /** Records a duration in milliseconds. */
  time(name: string, milliseconds: number, tags?: Tags): void;
  /** Flushes and closes the sender. */
  close(): void;
}

/** The key of the metrics service. */
export const metricsService = createServiceKey<Metrics>('metrics');

/** Creates metrics that are dropped. */
export function createSilentMetrics(): Metrics {
  const drop = () => undefined;
  return { count: drop, gauge: drop, time: drop, close: drop };
}

/** Creates metrics that are sent to a StatsD server in batches, every second. */
export function createStatsdMetrics(server: Address, globalTags: Tags): Metrics {
  const client = new StatsD({
    host: server.host,
    port: server.port,
    prefix: 'orchidbeam.',
    maxBufferSize: 1400,
    bufferFlushInterval: 1000,
    globalTags: { ...globalTags },
    errorHandler: () => undefined,
  });
  return {
    count: (name, amount = 1, tags = {}) => client.increment(name, amount, { ...tags }),
    gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
    time: (name, milliseconds, tags = {}) => client.timing(name, milliseconds, { ...tags }),
    close: () => client.close(() => undefined),
  };
}
