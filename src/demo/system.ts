/** A whole small system: platform, targets and entries as processes, and an operator's hand. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { type Address, formatAddress } from '../kernel/index.js';
import { type CommandResult, EXIT, runCommand } from '../cli/index.js';
import type { Vm } from '../platform/index.js';
import {
  type EntryLaunch,
  type Launched,
  type LaunchedEntry,
  Launcher,
  findFreeAddresses,
} from './launch.js';

/** A target process of the system. */
export interface LaunchedTarget extends Launched {
  readonly role: string;
  readonly address: Address;
  readonly control: Address;
}

/** How many targets of a role there are, and how they work. */
export interface TargetPlan {
  readonly role: string;
  readonly count: number;
  readonly slots: number;
  /** Mean service time in milliseconds. */
  readonly serviceTime: number;
}

/** What a target counted. */
export interface TargetReportBody {
  readonly calls: number;
  readonly runs: Readonly<Record<string, number>>;
}

const EXAMPLES = fileURLToPath(new URL('../../../examples/', import.meta.url));

/** Returns the path of a file under `examples`. */
export function findExample(path: string): string {
  return `${EXAMPLES}${path}`;
}

/** Reads a file under `examples`. */
export function readExample(path: string): string {
  return readFileSync(findExample(path), 'utf8');
}

/** A running system. */
export class System {
  readonly launcher: Launcher;

  readonly entries: LaunchedEntry[] = [];

  readonly targets: LaunchedTarget[] = [];

  private constructor(
    readonly platform: Address,
    launcher: Launcher,
  ) {
    this.launcher = launcher;
  }

  /** Starts the platform stand-in. */
  static async create(echo = false): Promise<System> {
    const launcher = new Launcher(echo);
    return new System(await launcher.startPlatform(), launcher);
  }

  /** Starts targets and lists them with the platform, spread over the failure domains. */
  async startTargets(plan: TargetPlan, domains: readonly string[]): Promise<void> {
    const addresses = await findFreeAddresses(plan.count * 2);
    const started = Array.from({ length: plan.count }, async (_, index) => {
      const address = addresses[index * 2];
      const control = addresses[index * 2 + 1];
      const launched = await this.launcher.start(`${plan.role}-${index}`, 'target', [
        ...['--listen', formatAddress(address), '--control', formatAddress(control)],
        ...['--slots', String(plan.slots), '--service-time', String(plan.serviceTime)],
        ...['--seed', String(index + 1)],
      ]);
      const domain = domains[index % domains.length];
      await this.putVm({ address, role: plan.role, domain, state: 'live' });
      return { ...launched, role: plan.role, address, control };
    });
    this.targets.push(...(await Promise.all(started)));
  }

  /** Starts an entry and lists it with the platform. */
  async startEntry(launch: Omit<EntryLaunch, 'platform'>): Promise<LaunchedEntry> {
    const addresses = await findFreeAddresses(4);
    const [, peers] = addresses as [Address, Address];
    await this.putVm({ address: peers, role: 'entry', domain: launch.domain, state: 'live' });
    const entry = await this.launcher.startEntry({ ...launch, platform: this.platform }, addresses);
    this.entries.push(entry);
    return entry;
  }

  /** Sets a VM in the platform's list. */
  async putVm(vm: Vm): Promise<void> {
    await this.control('/control/vm', vm);
  }

  /** Sets the fault of the platform. */
  async setPlatformFault(fault: { readonly kind: string; readonly delay?: number }): Promise<void> {
    await this.control('/control/fault', fault);
  }

  /** Sets the fault of a target. */
  async setTargetFault(target: LaunchedTarget, fault: object): Promise<void> {
    await putJson(`http://${formatAddress(target.control)}/fault`, fault);
  }

  /** Reads what a target counted. */
  async readTarget(target: LaunchedTarget): Promise<TargetReportBody> {
    const reply = await request(`http://${formatAddress(target.control)}/counts`);
    return (await reply.body.json()) as TargetReportBody;
  }

  /** Runs the operators' command line against an entry. */
  async operate(words: readonly string[], entry = this.entries[0]): Promise<CommandResult> {
    process.env.ORCHIDBEAM_TOKEN = this.launcher.token;
    process.env.ORCHIDBEAM_ADMIN = entry === undefined ? '' : formatAddress(entry.admin);
    return runCommand(words);
  }

  /** Drafts and accepts documents and waits until they are in force everywhere. */
  async configure(files: readonly string[], message: string): Promise<CommandResult> {
    const drafted = await this.operate(['config', 'draft', ...files, '--message', message]);
    if (drafted.code !== EXIT.ok) return drafted;
    const { id } = drafted.json as { readonly id: string };
    return this.operate(['config', 'accept', id, '--wait']);
  }

  /** Stops every entry in a planned way; returns their exit codes. */
  async stopEntries(): Promise<readonly (number | null)[]> {
    return Promise.all(this.entries.map((entry) => this.launcher.end(entry)));
  }

  /** Ends everything. */
  async close(): Promise<void> {
    await this.launcher.close();
  }

  private async control(path: string, body: object): Promise<void> {
    await putJson(`http://${formatAddress(this.platform)}${path}`, body);
  }
}

async function putJson(url: string, body: object): Promise<void> {
  const reply = await request(url, { method: 'PUT', body: JSON.stringify(body) });
  await reply.body.dump();
}
