/** A gateway daemon in a process of its own, controlled by signals. */
import { type ChildProcess, spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { type Address, formatAddress } from '../kernel/index.js';
import type { PartitionFault } from './target-network.js';

/** Ports of every daemon; each daemon listens on its own loopback address. */
export const DAEMON_PORTS = {
  callers: 18_244,
  readiness: 18_240,
  directory: 18_243,
  peers: 18_260,
};

/** Options of a daemon's process. */
export interface DaemonOptions {
  readonly ip: string;
  readonly domain: string;
  readonly seeds: readonly string[];
  readonly store: Address;
  /** The CPU share in its settings, in cores. */
  readonly cores: number;
  /** Directory in which its settings file is written. */
  readonly directory: string;
  /** Whether it can be partitioned from all targets; otherwise it runs the product's own bundle. */
  readonly isPartitionable?: boolean;
  /** Lines of the `[promises]` section, shared by all daemons. */
  readonly promiseSettings: readonly string[];
}

/** Delay before a process that ended is started again, in milliseconds. */
const RESTART_DELAY_MS = 300;

/** The process of one daemon; it is started again whenever it ends, until it is closed. */
export class DaemonProcess {
  #child: ChildProcess | undefined;

  #isClosed = false;

  #isFrozen = false;

  #fault: PartitionFault = 'none';

  readonly #file: string;

  /** @param onExit called with the exit code when the process ends other than by a signal */
  constructor(
    private readonly options: DaemonOptions,
    private readonly onExit: (code: number) => void,
  ) {
    this.#file = join(options.directory, `${options.ip}.ini`);
  }

  /** Whether the process runs and is not frozen. */
  get isRunning(): boolean {
    return this.#child !== undefined && !this.#isFrozen;
  }

  /** The process id; undefined while no process runs. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Writes the settings and starts the process. */
  async open(): Promise<void> {
    await writeFile(this.#file, this.#composeSettings());
    this.start();
  }

  /** Starts the process unless it runs or was closed. */
  start(): void {
    if (this.#isClosed || this.#child !== undefined) return;
    const { isPartitionable = false } = this.options;
    const bundle = isPartitionable ? 'target/soak-gateway.cjs' : 'target/gateway.cjs';
    const child = spawn(process.execPath, [bundle, '--settings', this.#file], {
      stdio: ['ignore', 'ignore', 'inherit', ...(isPartitionable ? (['ipc'] as const) : [])],
    });
    this.#child = child;
    this.#sendFault();
    child.once('exit', (code) => {
      this.#child = undefined;
      this.#isFrozen = false;
      if (code !== null) this.onExit(code);
      setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
  }

  /** Sets the fault between the daemon and all targets, if it can be partitioned. */
  partition(fault: PartitionFault): void {
    this.#fault = fault;
    this.#sendFault();
  }

  /** Sends SIGTERM, as the platform does before planned maintenance. */
  stop(): void {
    this.#child?.kill('SIGTERM');
  }

  /** Sends SIGKILL. */
  kill(): void {
    this.#child?.kill('SIGKILL');
  }

  /** Suspends the process for `time` milliseconds. */
  freeze(time: number): void {
    const child = this.#child;
    if (child === undefined || this.#isFrozen) return;
    this.#isFrozen = true;
    child.kill('SIGSTOP');
    setTimeout(() => {
      this.#isFrozen = false;
      child.kill('SIGCONT');
    }, time);
  }

  /** Kills the process and doesn't start it again. */
  close(): void {
    this.#isClosed = true;
    this.kill();
  }

  #sendFault(): void {
    const child = this.#child;
    // A process that ends meanwhile is told of the fault when it has started again.
    if (child?.connected === true) child.send(this.#fault, () => undefined);
  }

  #composeSettings(): string {
    const { ip, domain, seeds, store, cores, promiseSettings } = this.options;
    return [
      ...['[gateway]', `name = vm-${ip}`, `ip = ${ip}`, `domain = ${domain}`, 'region = r1'],
      ...[`callers = ${ip}:${DAEMON_PORTS.callers}`, `readiness = ${ip}:${DAEMON_PORTS.readiness}`],
      `directory = ${ip}:${DAEMON_PORTS.directory}`,
      `peer_ports = ${DAEMON_PORTS.peers},${DAEMON_PORTS.peers + 9}`,
      `seeds = ${seeds.map((seed) => `${seed}:1`).join(',')}`,
      ...['[machine]', `cpu_share = ${cores}`, '[platform]', `address = ${formatAddress(store)}`],
      ...['[promises]', ...promiseSettings],
    ].join('\n');
  }
}
