/**
 * `npm run slopes`: how the control cost of one daemon grows with daemons, VMs, services and changes.
 * Each figure is the mean over the daemons of a run; `docs/CAPACITY.md` is worked out from the fits.
 */
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { request } from 'undici';
import { formatAddress } from '../kernel/index.js';
import { EXIT } from '../cli/index.js';
import { System, pause } from '../demo/index.js';
import type { EntryStatus } from '../entry/index.js';
import { type Fit, fitLine } from '../tool/index.js';

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '15' },
    only: { type: 'string', default: 'daemons,vms,services,changes' },
    json: { type: 'boolean' },
  },
});

/** The size of one run. */
interface Size {
  readonly daemons: number;
  readonly vms: number;
  readonly services: number;
  /** Accepted changes a second. */
  readonly changes: number;
}

/** The control cost of one daemon. */
interface Cost {
  /** Milliseconds of processor a second. */
  readonly cpu: number;
  readonly memory: number;
  /** Bytes a second sent and received between entries. */
  readonly bytes: number;
  readonly messages: number;
  /** Calls a second that the platform gets from the whole fleet. */
  readonly platformCalls: number;
}

type Axis = keyof Size;

const BASE: Size = { daemons: 4, vms: 30, services: 2, changes: 0 };
const POINTS: Readonly<Record<Axis, readonly number[]>> = {
  daemons: [4, 8, 16, 32],
  vms: [100, 500, 1000, 2500],
  services: [10, 40, 75, 110],
  changes: [0, 0.25, 0.5, 1],
};
const COSTS: readonly (keyof Cost)[] = ['cpu', 'memory', 'bytes', 'messages', 'platformCalls'];
const SECONDS = Number(values.seconds);
const MEGABYTE = 1024 * 1024;
const SETTLE = 4000;

function writeServices(directory: string, size: Size, turn: number): readonly string[] {
  mkdirSync(join(directory, 'service'), { recursive: true });
  return Array.from({ length: size.services }, (_, index) => {
    const file = join(directory, 'service', `s${index}.ini`);
    const text = `[service]\nhosts = s${index}.example\nqueue_limit = ${1000 + turn}\n[pool]\nrole = role-${index % size.services}\nslots = 6\n[policy a]\nprogram = call.method == "POST" ? classify("urgent") : pass()\n`;
    writeFileSync(file, text);
    return file;
  });
}

async function putVms(system: System, size: Size): Promise<void> {
  for (let index = 0; index < size.vms; index += 1) {
    const host = `10.${Math.floor(index / 60_000)}.${Math.floor(index / 250) % 250}.${index % 250}`;
    const domain = `r${index % 8}/d${index % 23}`;
    const role = `role-${index % size.services}`;
    await system.putVm({ address: { host, port: 80 }, role, domain, state: 'live' });
  }
}

async function readStatuses(system: System): Promise<readonly EntryStatus[]> {
  const statuses: EntryStatus[] = [];
  for (const entry of system.entries) {
    statuses.push((await system.operate(['status'], entry)).json as EntryStatus);
  }
  return statuses;
}

async function countPlatformCalls(system: System): Promise<number> {
  const reply = await request(`http://${formatAddress(system.platform)}/control/counts`);
  const counts = (await reply.body.json()) as { readonly reads: number; readonly writes: number };
  return counts.reads + counts.writes;
}

async function makeChanges(system: System, size: Size, directory: string): Promise<void> {
  const end = performance.now() + SECONDS * 1000;
  for (let turn = 1; performance.now() < end; turn += 1) {
    const started = performance.now();
    const [file] = writeServices(directory, size, turn);
    const drafted = await system.operate(['config', 'draft', file]);
    const { id = '' } = drafted.json as { readonly id?: string };
    if (drafted.code === EXIT.ok) await system.operate(['config', 'accept', id]);
    await pause(Math.max(0, 1000 / size.changes - (performance.now() - started)));
  }
}

async function measure(size: Size): Promise<Cost> {
  const system = await System.create();
  const directory = mkdtempSync(join(tmpdir(), 'orchidbeam-slopes-'));
  try {
    await putVms(system, size);
    for (let index = 0; index < size.daemons; index += 1) {
      await system.startEntry({ name: `e${index}`, domain: `r0/d${index % 3}` });
    }
    const accepted = await system.configure(writeServices(directory, size, 0), 'slopes');
    if (accepted.code !== EXIT.ok) throw new Error(accepted.text);
    await pause(SETTLE);
    const before = await readStatuses(system);
    const callsBefore = await countPlatformCalls(system);
    const started = performance.now();
    if (size.changes > 0) await makeChanges(system, size, directory);
    else await pause(SECONDS * 1000);
    const seconds = (performance.now() - started) / 1000;
    const calls = (await countPlatformCalls(system)) - callsBefore;
    const after = await readStatuses(system);
    const mean = (read: (status: EntryStatus) => number) =>
      after.reduce((sum, status) => sum + read(status), 0) / after.length;
    const grown = (read: (status: EntryStatus) => number) =>
      after.reduce((sum, status, i) => sum + read(status) - read(before[i]), 0) /
      after.length /
      seconds;
    return {
      cpu: grown(({ cpu }) => cpu),
      memory: mean(({ memory }) => memory) / MEGABYTE,
      bytes: grown(({ traffic }) => traffic.bytesIn + traffic.bytesOut),
      messages: grown(({ traffic }) => traffic.messages),
      platformCalls: calls / seconds,
    };
  } finally {
    await system.close();
  }
}

interface Measured {
  readonly x: number;
  readonly cost: Cost;
}

function formatAxis(
  axis: Axis,
  points: readonly Measured[],
  fits: ReadonlyMap<string, Fit>,
): string {
  const head = [
    `### ${axis}`,
    '',
    `| ${axis} | ${COSTS.join(' | ')} |`,
    `|---|${COSTS.map(() => '---|').join('')}`,
  ];
  const rows = points.map(
    ({ x, cost }) => `| ${x} | ${COSTS.map((name) => cost[name].toFixed(2)).join(' | ')} |`,
  );
  const write = (read: (fit: Fit) => number, digits: number) =>
    COSTS.map((name) => read(fits.get(name) as Fit).toFixed(digits)).join(' | ');
  return [
    ...head,
    ...rows,
    `| base | ${write(({ base }) => base, 2)} |`,
    `| slope | ${write(({ slope }) => slope, 5)} |`,
    `| residual | ${write(({ residual }) => residual, 2)} |`,
  ].join('\n');
}

const results: Record<string, readonly Measured[]> = {};
for (const axis of Object.keys(POINTS) as Axis[]) {
  if (!values.only.includes(axis)) continue;
  const points: Measured[] = [];
  for (const x of POINTS[axis]) {
    const cost = await measure({ ...BASE, [axis]: x });
    points.push({ x, cost });
    process.stderr.write(`${axis} ${x} ${JSON.stringify(cost)}\n`);
  }
  results[axis] = points;
  const fits = new Map(
    COSTS.map((name) => [name, fitLine(points.map(({ x, cost }) => ({ x, y: cost[name] })))]),
  );
  if (values.json !== true) process.stdout.write(`${formatAxis(axis, points, fits)}\n\n`);
}
if (values.json === true) process.stdout.write(`${JSON.stringify(results, null, 2)}\n`);
process.exit(0);
