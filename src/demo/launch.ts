/** Starts and ends the processes of a whole system on this machine, for the demo and experiments. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { once } from 'node:events';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type Address, formatAddress } from '../kernel/index.js';
import { hashToken } from '../config/index.js';

/** A process that was started here. */
export interface Launched {
  readonly name: string;
  readonly child: ChildProcess;
  /** The first line it printed. */
  readonly firstLine: string;
  /** Resolves with the exit code; null after a signal. */
  readonly ended: Promise<number | null>;
}

/** An entry that was started here. */
export interface LaunchedEntry extends Launched {
  readonly domain: string;
  readonly callers: Address;
  readonly peers: Address;
  readonly relay: Address;
  readonly admin: Address;
}

const HOST = '127.0.0.1';

/** Finds a port that is free now. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, HOST, () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

/** Finds several free ports; they stay free as long as nobody else takes them. */
export async function findFreeAddresses(count: number): Promise<readonly Address[]> {
  const ports = new Set<number>();
  while (ports.size < count) ports.add(await findFreePort());
  return [...ports].map((port) => ({ host: HOST, port }));
}

/** Options for Node itself, such as `--cpu-prof`, for whoever looks into a process. */
function readNodeOptions(): readonly string[] {
  return (process.env.ORCHIDBEAM_NODE_OPTIONS ?? '').split(' ').filter((option) => option !== '');
}

/** The options with which a program's first line runs it. */
function readProgramOptions(file: string): readonly string[] {
  const [firstLine = ''] = readFileSync(file, 'utf8').split('\n', 1);
  return / -S node (--.+)$/.exec(firstLine)?.[1]?.split(' ') ?? [];
}

function findProgram(name: string): string {
  return fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
}

/** Settings of an entry that differ from the defaults, by section. */
export type SettingsOverrides = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** What an entry is started with. */
export interface EntryLaunch {
  readonly name: string;
  readonly domain: string;
  readonly platform: Address;
  readonly overrides?: SettingsOverrides;
  readonly strategy?: string;
  readonly seeds?: readonly Address[];
}

/** Owns the processes it starts, and ends only these. */
export class Launcher {
  /** Token of the operator `root`. */
  readonly token = 'a-token-for-this-run-only';

  readonly #directory = mkdtempSync(join(tmpdir(), 'orchidbeam-'));

  readonly #children = new Set<ChildProcess>();

  #credential: string | undefined;

  /** @param echo whether the processes' logs go to standard error */
  constructor(private readonly echo = false) {
    // Also when this process ends by an error, none of its processes is left behind.
    process.once('exit', () => {
      for (const child of this.#children) child.kill('SIGKILL');
    });
  }

  /** Starts a program and waits for the first line it prints. */
  async start(name: string, program: string, args: readonly string[]): Promise<Launched> {
    const file = findProgram(program);
    const options = [...readProgramOptions(file), ...readNodeOptions()];
    const child = spawn(process.execPath, [...options, file, ...args], {
      stdio: ['pipe', 'pipe', this.echo ? 'inherit' : 'ignore'],
    });
    const { stdout } = child;
    const ended = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    this.#children.add(child);
    const firstLine = await new Promise<string>((resolve, reject) => {
      stdout.once('data', (data: Buffer) => resolve(data.toString('utf8').trim()));
      ended.then((code) => reject(new Error(`${name} ended with ${code}`))).catch(() => undefined);
    });
    return { name, child, firstLine, ended };
  }

  /** Starts the platform stand-in. */
  async startPlatform(): Promise<Address> {
    const port = await findFreePort();
    const address = { host: HOST, port };
    await this.start('platform', 'platform', ['--listen', formatAddress(address)]);
    return address;
  }

  /** Starts an entry daemon. */
  async startEntry(launch: EntryLaunch, addresses?: readonly Address[]): Promise<LaunchedEntry> {
    const found = addresses ?? (await findFreeAddresses(4));
    const [callers, peers, relay, admin] = found as [Address, Address, Address, Address];
    this.#credential ??= await hashToken(this.token);
    const sections: Record<string, Record<string, string>> = {
      entry: {
        ...{ name: launch.name, failure_domain: launch.domain },
        ...{ callers: formatAddress(callers), peers: formatAddress(peers) },
        ...{ relay: formatAddress(relay), admin: formatAddress(admin) },
        seeds: (launch.seeds ?? []).map(formatAddress).join(', '),
      },
      platform: { address: formatAddress(launch.platform) },
      security: {
        peer_secret: 'a-secret-for-this-run-only',
        operator_credential: this.#credential,
      },
      limits: {},
      log: { level: this.echo ? 'info' : 'error' },
    };
    for (const [section, values] of Object.entries(launch.overrides ?? {})) {
      sections[section] = { ...sections[section], ...values };
    }
    const file = join(this.#directory, `${launch.name}-${callers.port}.ini`);
    writeFileSync(file, formatSections(sections));
    const args = ['--settings', file];
    if (launch.strategy !== undefined) args.push('--strategy', launch.strategy);
    const launched = await this.start(launch.name, 'entry', args);
    return { ...launched, domain: launch.domain, callers, peers, relay, admin };
  }

  /** Ends one process with a signal and waits for it. */
  async end(launched: Launched, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    launched.child.kill(signal);
    return launched.ended;
  }

  /** Ends every process that is left, and removes the settings files. */
  async close(): Promise<void> {
    const left = [...this.#children].filter(
      ({ exitCode, signalCode }) => exitCode === null && signalCode === null,
    );
    const ended = left.map((child) => once(child, 'exit'));
    for (const child of left) child.kill('SIGKILL');
    await Promise.all(ended);
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

function formatSections(
  sections: Readonly<Record<string, Readonly<Record<string, string>>>>,
): string {
  const parts = Object.entries(sections).map(([name, values]) => {
    const lines = Object.entries(values).map(([key, value]) => `${key} = ${value}`);
    return [`[${name}]`, ...lines].join('\n');
  });
  return `${parts.join('\n\n')}\n`;
}
