/** A system for experiments: entries as processes, all targets in one process, calls from this one. */
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Writable } from 'node:stream';
import { Pool } from 'undici';
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { createSeededRandom, formatAddress, parseAddress } from '../kernel/index.js';
import type { Strategy } from '../balance/index.js';
import { EXIT } from '../cli/index.js';
import { System, findExample, readExample, pause } from '../demo/index.js';
import type { EntryAnswer, EntryStatus } from '../entry/index.js';
import type { Launched } from '../demo/index.js';
import type { Arrival } from './arrivals.js';
import type { Deployment, FaultStep } from './scenario.js';

/** What calls of one kind came to. */
export interface KindResult {
  readonly times: Histogram;
  sent: number;
  whole: number;
  /** Whole answers that are a target's own error. */
  errors: number;
  notRun: number;
  unknown: number;
  wrong: number;
}

/** What a run came to. */
export interface RunResult {
  readonly kinds: ReadonlyMap<string, KindResult>;
  readonly retries: number;
  readonly hedges: number;
  /** Target milliseconds spent on probes. */
  readonly measured: number;
  readonly seconds: number;
  /** Share of a core that the busiest entry used. */
  readonly busiest: number;
}

/** What a rig is made from. */
export interface RigOptions {
  readonly deployment: Deployment;
  readonly entries: number;
  readonly strategy: Strategy;
}

/** Times are recorded in units of a hundredth of a millisecond. */
export const TIME_UNIT = 100;

const CONNECTIONS = 4096;
const SETTLE = 1500;
const ANSWER_LIFE = 5000;
const UPLOAD = Buffer.alloc(1_000_000, 'u');

interface Costs {
  readonly retries: number;
  readonly hedges: number;
  readonly measured: number;
  /** Processor time of each entry, in milliseconds. */
  readonly cpu: readonly number[];
}

interface EchoBody {
  readonly token: string | null;
}

function createKindResult(): KindResult {
  const times = buildHistogram({ highestTrackableValue: 1e8, numberOfSignificantValueDigits: 3 });
  return { times, sent: 0, whole: 0, errors: 0, notRun: 0, unknown: 0, wrong: 0 };
}

/** Baselines choose a target and do nothing else: no hedges and no retries. */
function writeServiceFile(deployment: Deployment, strategy: Strategy): string {
  if (strategy === 'fresh') return findExample(deployment.service);
  const plain = '[service]\nretry_percent = 0\nhedge_percent = 0';
  const text = readExample(deployment.service).replace('[service]', plain);
  const directory = join(mkdtempSync(join(tmpdir(), 'orchidbeam-experiment-')), 'service');
  mkdirSync(directory);
  const file = join(directory, `${deployment.serviceName}.ini`);
  writeFileSync(file, text);
  return file;
}

/** A running system for one strategy. */
export class Rig {
  readonly #pools: readonly Pool[];

  #homes: readonly number[] = [];

  private constructor(
    private readonly options: RigOptions,
    readonly system: System,
    private readonly targets: Launched,
  ) {
    this.#pools = system.entries.map(
      ({ callers }) =>
        new Pool(`http://${formatAddress(callers)}`, { connections: CONNECTIONS, pipelining: 1 }),
    );
  }

  /** Starts a system. */
  static async create(options: RigOptions): Promise<Rig> {
    const { deployment, entries, strategy } = options;
    const system = await System.create();
    const targets = await system.launcher.start('targets', 'targets', [
      ...['--count', String(deployment.workers), '--slots', String(deployment.slots)],
    ]);
    const addresses = JSON.parse(targets.firstLine) as readonly string[];
    for (const [index, text] of addresses.entries()) {
      const address = parseAddress(text);
      if (address === undefined) continue;
      const domain = deployment.domains[index % deployment.domains.length];
      await system.putVm({ address, role: deployment.role, domain, state: 'live' });
    }
    for (let index = 0; index < entries; index += 1) {
      const domain = deployment.domains[index % deployment.domains.length];
      await system.startEntry({ name: `entry-${index + 1}`, domain, strategy });
    }
    const file = writeServiceFile(deployment, strategy);
    const configured = await system.configure([file], 'experiment');
    if (configured.code !== EXIT.ok) throw new Error(configured.text);
    await pause(SETTLE);
    const rig = new Rig(options, system, targets);
    await rig.#findHomes();
    return rig;
  }

  /** Sends the arrivals open-loop while the script changes the targets' faults. */
  async run(arrivals: readonly Arrival[], script: readonly FaultStep[]): Promise<RunResult> {
    const before = await this.#readCosts();
    const random = createSeededRandom(99);
    const kinds = new Map<string, KindResult>();
    const stdin = this.targets.child.stdin as Writable;
    const steps = [...script];
    const running = new Set<Promise<void>>();
    // Callers keep an answer for its time to live only.
    const asking = setInterval(() => this.#findHomes().catch(() => undefined), ANSWER_LIFE);
    const started = performance.now();
    let number = 0;
    for (const arrival of arrivals) {
      let now = performance.now() - started;
      while (arrival.at > now) {
        await pause(Math.ceil(arrival.at - now));
        now = performance.now() - started;
      }
      while (steps[0] !== undefined && steps[0].at <= now) {
        stdin.write(`${JSON.stringify(steps.shift())}\n`);
      }
      number += 1;
      const { name } = arrival.kind;
      const result = kinds.get(name) ?? createKindResult();
      kinds.set(name, result);
      const call = this.#send(
        arrival,
        `${started}-${number}`,
        this.#choosePool(random.next()),
        result,
      );
      const noted = call.then(() => {
        result.times.recordValue((performance.now() - started - arrival.at) * TIME_UNIT);
        running.delete(noted);
      });
      running.add(noted);
    }
    const seconds = (performance.now() - started) / 1000;
    await Promise.all(running);
    clearInterval(asking);
    for (let target = 0; target < this.options.deployment.workers; target += 1) {
      stdin.write(`${JSON.stringify({ target, fault: { kind: 'none' } })}\n`);
    }
    const after = await this.#readCosts();
    return {
      ...{ kinds, seconds, retries: after.retries - before.retries },
      ...{ hedges: after.hedges - before.hedges, measured: after.measured - before.measured },
      busiest: Math.max(
        ...after.cpu.map((cpu, i) => (cpu - (before.cpu[i] ?? 0)) / 1000 / seconds),
      ),
    };
  }

  /** Ends everything. */
  async close(): Promise<void> {
    for (const pool of this.#pools) await pool.destroy();
    await this.system.close();
  }

  async #send(arrival: Arrival, token: string, pool: Pool, result: KindResult): Promise<void> {
    const { kind, work } = arrival;
    const headers: Record<string, string> = {
      ...{ host: this.options.deployment.host, 'x-token': token, 'x-work': work.toFixed(3) },
    };
    if (kind.class !== undefined) headers['orchidbeam-class'] = kind.class;
    if (kind.method === 'POST' && kind.bytes === undefined) headers['idempotency-key'] = token;
    const body = kind.bytes === undefined ? null : UPLOAD.subarray(0, kind.bytes);
    result.sent += 1;
    try {
      const reply = await pool.request({ method: kind.method, path: kind.path, headers, body });
      const text = await reply.body.text();
      const outcome = reply.headers['orchidbeam-outcome'];
      if (outcome === 'not-run') result.notRun += 1;
      else if (outcome === 'unknown') result.unknown += 1;
      else if (reply.statusCode >= 500) result.errors += 1;
      else if ((JSON.parse(text) as EchoBody).token === token) result.whole += 1;
      else result.wrong += 1;
    } catch {
      result.unknown += 1;
    }
  }

  #choosePool(draw: number): Pool {
    const index = this.#homes[Math.floor(draw * this.#homes.length)] ?? 0;
    return this.#pools[index];
  }

  async #findHomes(): Promise<void> {
    const [pool] = this.#pools as [Pool];
    const path = `/.well-known/orchidbeam/entries?service=${this.options.deployment.serviceName}`;
    const reply = await pool.request({ method: 'GET', path });
    const answer = (await reply.body.json()) as EntryAnswer;
    const addresses = this.system.entries.map(({ callers }) => formatAddress(callers));
    this.#homes = answer.entries
      .filter(({ weight }) => weight > 0)
      .map(({ address }) => addresses.indexOf(address));
  }

  async #readCosts(): Promise<Costs> {
    const costs = { retries: 0, hedges: 0, measured: 0, cpu: [] as number[] };
    for (const entry of this.system.entries) {
      const status = await this.system.operate(['status'], entry);
      if (status.code !== EXIT.ok) continue;
      costs.cpu.push((status.json as EntryStatus).cpu);
      for (const service of (status.json as EntryStatus).services) {
        costs.retries += service.retries;
        costs.hedges += service.hedges;
        for (const { measured } of service.pools) costs.measured += measured;
      }
    }
    return costs;
  }
}
