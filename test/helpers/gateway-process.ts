/** Settings of a gateway daemon that runs as a process of its own. */
import http from 'node:http';
import { waitUntil } from './fleet.js';

/** The ports of a daemon. */
export interface GatewayPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly metrics: number;
  readonly peers: number;
}

/** What a daemon is told of itself and of its store. */
export interface GatewayProcessOptions {
  readonly ip: string;
  readonly ports: GatewayPorts;
  /** The address of the store. */
  readonly store: string;
  /** `memory` in MB. */
  readonly machine: {
    readonly cpuShare: number;
    readonly memory: number;
    readonly descriptors: number;
  };
}

/** Composes the settings file of the first daemon of a fleet. */
export function composeGatewaySettings(options: GatewayProcessOptions): string {
  const { ip, ports, store, machine } = options;
  return [
    ...['[gateway]', 'name = watched', `ip = ${ip}`, 'domain = d1', 'region = r1'],
    ...[`callers = ${ip}:${ports.callers}`, `readiness = ${ip}:${ports.readiness}`],
    ...[`directory = ${ip}:${ports.directory}`, `metrics = ${ip}:${ports.metrics}`],
    ...[`peer_ports = ${ports.peers},${ports.peers + 9}`, `seeds = ${ip}:1`, 'first_start = true'],
    ...['[machine]', `cpu_share = ${machine.cpuShare}`, `memory = ${machine.memory}`],
    `descriptors = ${machine.descriptors}`,
    ...['[platform]', `address = ${store}`],
    ...['[promises]', 'grace = 6', 'answer_ttl = 5', 'retry_ratio = 0.2', 'retry_window = 10'],
    ...['retry_slack = 64', 'probes_per_second = 60'],
  ].join('\n');
}

/** Waits until a daemon says that it is ready. */
export async function waitUntilReady(ip: string, port: number): Promise<void> {
  let isReady = false;
  const ask = () => {
    http
      .get({ host: ip, port, path: '/ready', agent: false }, (response) => {
        response.resume();
        isReady ||= response.statusCode === 200;
      })
      .on('error', () => undefined);
    return isReady;
  };
  await waitUntil(ask, 'the daemon is ready');
}
