/**
 * `npm run overhead`: what one entry adds to a call, against calling the target direct, in one run.
 * Calls are sent open-loop; times count from when each was due.
 */
import { parseArgs } from 'node:util';
import { Pool } from 'undici';
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { mkdtempSync, mkdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { formatAddress } from '../kernel/index.js';
import { EXIT } from '../cli/index.js';
import { System, pause } from '../demo/index.js';
import type { EntryStatus } from '../entry/index.js';
import { TIME_UNIT, readQuantile } from '../tool/index.js';

const { values } = parseArgs({
  options: {
    rates: { type: 'string', default: '500,1000,2000,3000' },
    bodies: { type: 'string', default: '0,16384' },
    seconds: { type: 'string', default: '8' },
    work: { type: 'string', default: '2' },
    targets: { type: 'string', default: '10' },
    json: { type: 'boolean' },
    'memory-minutes': { type: 'string', default: '0' },
  },
});

const HOST = 'bench.example';
const WORK = Number(values.work);
const SECONDS = Number(values.seconds);
const MEGABYTE = 1024 * 1024;

interface Row {
  readonly rate: number;
  readonly bytes: number;
  readonly direct: readonly [number, number];
  readonly through: readonly [number, number];
  /** The same through a relay without any decision. */
  readonly bare: readonly [number, number];
  readonly failed: number;
  /** Processor time for one call, in milliseconds, of the entry and of the bare relay. */
  readonly cpu: number;
  readonly bareCpu: number;
  /** Share of a core that the entry used. */
  readonly core: number;
  readonly memory: number;
}

interface Measured {
  readonly times: Histogram;
  readonly failed: number;
}

/** Sends calls at a steady rate, taking the pools in turn. */
async function send(
  pools: readonly Pool[],
  {
    rate,
    bytes,
    seconds,
  }: { readonly rate: number; readonly bytes: number; readonly seconds: number },
): Promise<Measured> {
  const times = buildHistogram({ highestTrackableValue: 1e7, numberOfSignificantValueDigits: 3 });
  const headers = { host: HOST, 'x-work': String(WORK), 'x-answer-bytes': String(bytes) };
  let failed = 0;
  const running: Promise<void>[] = [];
  const started = performance.now();
  const call = async (index: number): Promise<void> => {
    const pool = pools[index % pools.length];
    try {
      const reply = await pool.request({ method: 'GET', path: '/', headers });
      await reply.body.dump({ limit: MEGABYTE });
      if (reply.statusCode !== 200) failed += 1;
    } catch {
      failed += 1;
    }
    const due = started + (index * 1000) / rate;
    times.recordValue(Math.max(0, performance.now() - due) * TIME_UNIT);
  };
  for (let index = 0; index < rate * seconds; index += 1) {
    const due = started + (index * 1000) / rate;
    while (performance.now() < due) await pause(1);
    running.push(call(index));
  }
  await Promise.all(running);
  return { times, failed };
}

const system = await System.create();
const rows: Row[] = [];
try {
  const targets = await system.launcher.start('targets', 'targets', [
    ...['--count', values.targets, '--slots', '50'],
  ]);
  const addresses = JSON.parse(targets.firstLine) as readonly string[];
  const directory = mkdtempSync(join(tmpdir(), 'orchidbeam-bench-'));
  mkdirSync(join(directory, 'service'));
  const file = join(directory, 'service', 'bench.ini');
  writeFileSync(
    file,
    `[service]\nhosts = ${HOST}\n[pool]\ntargets = ${addresses.join(', ')}\nslots = 50\n`,
  );
  const entry = await system.startEntry({ name: 'entry', domain: 'hu/a' });
  const configured = await system.configure([file], 'benchmark');
  if (configured.code !== EXIT.ok) throw new Error(configured.text);

  const options = { connections: 200, pipelining: 1 };
  const direct = addresses.map((address) => new Pool(`http://${address}`, options));
  const relay = await system.launcher.start('bare-relay', 'bare-relay', [
    ...['--targets', addresses.join(',')],
  ]);
  const bare = [new Pool(`http://${relay.firstLine}`, options)];
  const readBareCpu = async () => {
    const reply = await bare[0].request({ method: 'GET', path: '/cpu' });
    return Number(await reply.body.text());
  };
  const through = [new Pool(`http://${formatAddress(entry.callers)}`, options)];
  const readStatus = async () => (await system.operate(['status'])).json as EntryStatus;

  await send(direct, { rate: 500, bytes: 0, seconds: 2 });
  await send(bare, { rate: 1000, bytes: 0, seconds: 4 });
  await send(through, { rate: 1000, bytes: 0, seconds: 4 });
  for (const bytes of values.bodies.split(',').map(Number)) {
    for (const rate of values.rates.split(',').map(Number)) {
      const plan = { rate, bytes, seconds: SECONDS };
      const straight = await send(direct, plan);
      const bareBefore = await readBareCpu();
      const relayed = await send(bare, plan);
      const bareCpu = (await readBareCpu()) - bareBefore;
      const before = await readStatus();
      const passed = await send(through, plan);
      const after = await readStatus();
      const cpu = after.cpu - before.cpu;
      const row: Row = {
        ...{ rate, bytes, failed: straight.failed + relayed.failed + passed.failed },
        direct: [readQuantile(straight.times, 50), readQuantile(straight.times, 99)],
        through: [readQuantile(passed.times, 50), readQuantile(passed.times, 99)],
        bare: [readQuantile(relayed.times, 50), readQuantile(relayed.times, 99)],
        cpu: cpu / (rate * SECONDS),
        bareCpu: bareCpu / (rate * SECONDS),
        core: cpu / 1000 / SECONDS,
        memory: after.memory / MEGABYTE,
      };
      rows.push(row);
      process.stderr.write(`${JSON.stringify(row)}\n`);
    }
  }
  const minutes = Number(values['memory-minutes']);
  for (let minute = 0; minute < minutes; minute += 1) {
    await send(through, { rate: 1000, bytes: 0, seconds: 60 });
    const { memory } = await readStatus();
    process.stderr.write(`minute ${minute + 1}: ${(memory / MEGABYTE).toFixed(0)} MB\n`);
  }
} finally {
  await system.stopEntries();
  await system.close();
}

if (values.json === true) {
  process.stdout.write(`${JSON.stringify(rows, null, 2)}\n`);
} else {
  const head = [
    '| calls/s | body bytes | direct p50 | p99 | bare relay p50 | p99 | entry p50 | p99 | p99 added over direct | over bare | ms of processor a call | bare | ratio | core | memory MB | failed |',
    '|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|',
  ];
  const lines = rows.map((row) => {
    const times = [...row.direct, ...row.bare, ...row.through];
    const added = [row.through[1] - row.direct[1], row.through[1] - row.bare[1]];
    const cells = [
      ...[row.rate, row.bytes, ...times.map((time) => time.toFixed(2))],
      ...added.map((time) => time.toFixed(2)),
      ...[row.cpu.toFixed(3), row.bareCpu.toFixed(3), (row.cpu / row.bareCpu).toFixed(2)],
      ...[row.core.toFixed(2), row.memory.toFixed(0), row.failed],
    ];
    return `| ${cells.join(' | ')} |`;
  });
  process.stdout.write(`${[...head, ...lines].join('\n')}\n`);
}
process.exit(0);
