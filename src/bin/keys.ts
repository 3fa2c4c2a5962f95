/**
 * `npm run keys`: what keys cost a daemon: the time to identify an organisation, the memory of a
 * configuration with keys, and the longest event-loop block while it is put in force.
 */
import { parseArgs } from 'node:util';
import { authenticate } from '../gateway/requests/authentication.js';
import { writeConfiguration } from '../standin/index.js';
import { FleetView } from '../view/index.js';

const { values } = parseArgs({
  options: {
    organisations: { type: 'string', default: '2000' },
    keys: { type: 'string', default: '10' },
    calls: { type: 'string', default: '200000' },
    versions: { type: 'string', default: '10' },
  },
});

const ORGANISATIONS = Number(values.organisations);
const KEYS = Number(values.keys);
const BYTES_PER_MB = 1_048_576;

/** Calls that are timed together, as one takes little more than reading the clock. */
const BATCH = 20;

function nameKey(organisation: number, key: number): string {
  return `key-${organisation}-${key}-`.padEnd(32, 'abcdefghijklmnop');
}

function writeText(version: number, organisations: number): string {
  const tenants = Array.from({ length: organisations }, (_, index) => ({
    ...{ name: `organisation-${index}`, priority: 1, rate_per_s: 172, burst: 172 },
    api_keys: Array.from({ length: KEYS }, (_unused, key) => nameKey(index, key)),
  }));
  return writeConfiguration(version, [{ prefix: '/' }], { tenants });
}

function createView(): FleetView {
  return new FleetView({
    ...{ onTable: () => undefined, onTarget: () => undefined, onEvacuations: () => undefined },
    onFault: (what) => {
      throw new Error(what);
    },
  });
}

function measureHeap(): number {
  if (globalThis.gc === undefined) throw new Error('start with --expose-gc');
  for (let round = 0; round < 4; round += 1) globalThis.gc();
  return process.memoryUsage().heapUsed;
}

interface Block {
  readonly wall: number;
  readonly cpu: number;
}

/**
 * Measures the longest event-loop iteration while a task runs, in milliseconds: by the clock, and in
 * processor time of all threads, which leaves out the time that other processes had the cores.
 */
async function measureBlock(run: () => Promise<void> | undefined): Promise<Block> {
  globalThis.gc?.();
  const longest = { wall: 0, cpu: 0 };
  let isRunning = true;
  let since = performance.now();
  let usage = process.cpuUsage();
  const tick = () => {
    const { user, system } = process.cpuUsage(usage);
    longest.wall = Math.max(longest.wall, performance.now() - since);
    longest.cpu = Math.max(longest.cpu, (user + system) / 1000);
    since = performance.now();
    usage = process.cpuUsage();
    if (isRunning) setImmediate(tick);
  };
  setImmediate(tick);
  await run();
  isRunning = false;
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  return longest;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

// Versions with a single organisation load the code before anything is measured.
const view = createView();
await view.setConfiguration(writeText(1, 1), 1);
const emptyHeap = measureHeap();
await view.setConfiguration(writeText(2, ORGANISATIONS), 2);
const usedMemory = (measureHeap() - emptyHeap) / BYTES_PER_MB;

const blocks: Block[] = [];
for (let index = 0; index < Number(values.versions); index += 1) {
  const text = writeText(3 + index, ORGANISATIONS);
  blocks.push(await measureBlock(() => view.setConfiguration(text, 3 + index)));
}

const { table } = view;
if (table === undefined) throw new Error('no configuration');
const terms = { table, route: {}, isUnconfirmed: () => false };
const times: number[] = [];
for (let call = 0; call < Number(values.calls); call += BATCH) {
  const requests = Array.from({ length: BATCH }, (_, index) => ({
    headers: { 'api-key': nameKey((call + index) % ORGANISATIONS, index % KEYS) },
  }));
  const startedAt = performance.now();
  for (const request of requests) {
    if (authenticate(request, terms).kind !== 'accepted') throw new Error('not accepted');
  }
  times.push(((performance.now() - startedAt) * 1000) / BATCH);
}
times.sort((a, b) => a - b);

print(
  `${ORGANISATIONS} organisations with ${KEYS} keys each, ${writeText(1, ORGANISATIONS).length} bytes`,
);
print(`identify, µs a call: median ${times[Math.floor(times.length / 2)].toFixed(2)}`);
print(`identify, µs a call: 99 % ${times[Math.floor(times.length * 0.99)].toFixed(2)}`);
print(`memory, MB: ${usedMemory.toFixed(2)}`);
const describeBlocks = (kind: keyof Block) => blocks.map((it) => it[kind].toFixed(1)).join(' ');
print(`longest iteration, ms by the clock, of each version: ${describeBlocks('wall')}`);
print(`longest iteration, ms of processor time, of each version: ${describeBlocks('cpu')}`);
process.exit(0);
