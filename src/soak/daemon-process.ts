/** One gateway daemon as a process of its own, started and ended by signals. */
import { type ChildProcess, spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { type Address, formatAddress } from '../kernel/index.js';

/** Ports that every daemon has on its own loopback address. */
export const DAEMON_PORTS = {
  callers: 18_244,
  readiness: 18_240,
  directory: 18_243,
  peers: 18_260,
};

/** What a daemon is started with. */
export interface DaemonOptions {
  readonly ip: string;
  readonly domain: string;
  readonly seeds: readonly string[];
  readonly store: Address;
  /** The part of a core that it is told to have. */
  readonly cores: number;
  /** Where its settings are written. */
  readonly directory: string;
  /** The sections that all daemons share, as lines. */
  readonly promiseSettings: readonly string[];
}

/** A process that ends without an order is started again after this long. */
const RESTART_DELAY_MS = 300;

/** The process of one daemon; it is started again whenever it ends, until it is closed. */
export class DaemonProcess {
  #child: ChildProcess | undefined;

  #isClosed = false;

  #isFrozen = false;

  readonly #file: string;

  /** @param onExit called with the exit code when a process has ended that was not killed */
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

  /** The process's number; undefined while none runs. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Writes the settings and starts the process. */
  async open(): Promise<void> {
    await writeFile(this.#file, this.#composeSettings());
    this.start();
  }

  /** Starts the process. */
  start(): void {
    if (this.#isClosed || this.#child !== undefined) return;
    const program = ['target/gateway.cjs', '--settings', this.#file];
    const child = spawn(process.execPath, program, { stdio: ['ignore', 'ignore', 'inherit'] });
    this.#child = child;
    child.once('exit', (code) => {
      this.#child = undefined;
      this.#isFrozen = false;
      if (code !== null) this.onExit(code);
      setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
  }

  /** Asks it to stop, as the platform does before planned work. */
  stop(): void {
    this.#child?.kill('SIGTERM');
  }

  kill(): void {
    this.#child?.kill('SIGKILL');
  }

  /** Makes it stand still for a while. */
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

  /** Ends it for good. */
  close(): void {
    this.#isClosed = true;
    this.kill();
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
