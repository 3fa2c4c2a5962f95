/** `npm start`: a whole small system under traffic, stopped in a planned way. */
import { parseArgs } from 'node:util';
import { build as buildHistogram } from 'hdr-histogram-js';
import { formatAddress } from '../kernel/index.js';
import { EXIT } from '../cli/index.js';
import {
  Caller,
  type CallPlan,
  type CallResult,
  System,
  findExample,
  pause,
} from '../demo/index.js';

const { values } = parseArgs({
  options: { keep: { type: 'boolean' }, seconds: { type: 'string', default: '8' } },
});

const DOMAINS = ['hu/bud1', 'hu/bud2', 'hu/vac1'];
const LEDGER_RATE = 150;
const UPLOAD_BYTES = 3_000_000;

interface Tally {
  whole: number;
  wrong: number;
  notRun: number;
  unknown: number;
  readonly times: ReturnType<typeof buildHistogram>;
  readonly problems: string[];
}

function createTally(): Tally {
  return { whole: 0, wrong: 0, notRun: 0, unknown: 0, times: buildHistogram(), problems: [] };
}

const tallies: Readonly<Record<string, Tally>> = {
  lookups: createTally(),
  postings: createTally(),
  uploads: createTally(),
};

function note(tally: Tally, result: CallResult, took: number): void {
  tally.times.recordValue(Math.max(1, Math.round(took * 10)));
  switch (result.kind) {
    case 'whole':
      tally.whole += 1;
      return;
    case 'wrong':
      tally.wrong += 1;
      tally.problems.push(result.detail);
      return;
    case 'not-run':
      tally.notRun += 1;
      tally.problems.push(`not run: ${result.reason}`);
      return;
    case 'unknown':
      tally.unknown += 1;
      tally.problems.push(`unknown: ${result.reason}`);
      return;
    default:
      result satisfies never;
  }
}

function planCall(index: number): { readonly kind: string; readonly plan: CallPlan } {
  const token = `call-${index}`;
  const ledger = { service: 'ledger', host: 'ledger.konyvhaz.example', token };
  if (index % 50 === 7) {
    const documents = { service: 'documents', host: 'documents.konyvhaz.example', token };
    const plan = { ...documents, method: 'POST', path: '/receipts', bytes: UPLOAD_BYTES } as const;
    return { kind: 'uploads', plan };
  }
  if (index % 10 === 3) {
    const plan = { ...ledger, method: 'POST', path: '/postings', bytes: 200 } as const;
    return { kind: 'postings', plan: { ...plan, idempotencyKey: token } };
  }
  return { kind: 'lookups', plan: { ...ledger, method: 'GET', path: '/balance', bytes: 0 } };
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Sends calls open-loop for some seconds; the times count from when each was due. */
async function sendCalls(caller: Caller, seconds: number): Promise<void> {
  const count = Math.floor(seconds * LEDGER_RATE);
  const started = performance.now();
  const running: Promise<void>[] = [];
  for (let index = 0; index < count; index += 1) {
    const due = started + (index * 1000) / LEDGER_RATE;
    const early = due - performance.now();
    if (early > 0) {
      await pause(early);
    }
    const { kind, plan } = planCall(index);
    running.push(
      caller.call(plan).then((result) => note(tallies[kind], result, performance.now() - due)),
    );
  }
  await Promise.all(running);
}

function printTable(): void {
  say('kind       whole  not-run  unknown  wrong   p50 ms   p99 ms');
  for (const [kind, tally] of Object.entries(tallies)) {
    const quantile = (percent: number) =>
      (tally.times.getValueAtPercentile(percent) / 10).toFixed(1).padStart(8);
    const count = (value: number, width: number) => String(value).padStart(width);
    say(
      `${kind.padEnd(9)} ${count(tally.whole, 6)} ${count(tally.notRun, 8)} ${count(tally.unknown, 8)} ` +
        `${count(tally.wrong, 6)} ${quantile(50)} ${quantile(99)}`,
    );
  }
}

interface StatusBody {
  readonly services: readonly {
    readonly retries: number;
    readonly hedges: number;
    readonly pools: readonly { readonly measured: number }[];
  }[];
}

async function printCosts(system: System): Promise<void> {
  let retries = 0;
  let hedges = 0;
  let measured = 0;
  for (const entry of system.entries) {
    const status = await system.operate(['status'], entry);
    if (status.code !== EXIT.ok) continue;
    for (const service of (status.json as StatusBody).services) {
      retries += service.retries;
      hedges += service.hedges;
      for (const pool of service.pools) measured += pool.measured;
    }
  }
  say(`retries ${retries}, hedges ${hedges}, target time spent on measuring ${measured} ms`);
}

async function countDoubleRuns(system: System): Promise<number> {
  const runs = new Map<string, number>();
  for (const target of system.targets) {
    const report = await system.readTarget(target);
    for (const [key, count] of Object.entries(report.runs)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return [...runs.values()].filter((count) => count > 1).length;
}

function printKept(system: System): void {
  const [entry] = system.entries;
  if (entry === undefined) return;
  say('entries for callers:');
  for (const { name, callers, admin } of system.entries) {
    say(`  ${name} ${formatAddress(callers)}  administration ${formatAddress(admin)}`);
  }
  const token = `ORCHIDBEAM_TOKEN=${system.launcher.token}`;
  say('try:');
  say(`  curl -H 'Host: ledger.konyvhaz.example' http://${formatAddress(entry.callers)}/balance`);
  say(
    `  curl 'http://${formatAddress(entry.callers)}/.well-known/orchidbeam/entries?service=ledger'`,
  );
  say(`  ${token} node dist/src/bin/orchidbeam.js status --admin ${formatAddress(entry.admin)}`);
}

async function startSystem(system: System): Promise<void> {
  say('starting targets of two services and three entries in three failure domains');
  await system.startTargets({ role: 'ledger', count: 5, slots: 6, serviceTime: 15 }, DOMAINS);
  await system.startTargets({ role: 'documents', count: 2, slots: 6, serviceTime: 30 }, DOMAINS);
  for (const [index, domain] of DOMAINS.entries()) {
    await system.startEntry({
      ...{ name: `entry-${index + 1}`, domain },
      overrides: { limits: { answer_ttl: '1s' } },
    });
  }
  const files = ['ledger', 'documents'].map((name) => findExample(`konyvhaz/service/${name}.ini`));
  const configured = await system.configure(files, 'services of Könyvház');
  say(configured.text);
  if (configured.code !== EXIT.ok) throw new Error('the configuration was not accepted');
}

function judge(exits: readonly (number | null)[], doubleRuns: number): boolean {
  const all = Object.values(tallies);
  const wrong = all.some((tally) => tally.wrong > 0 || tally.unknown > 0);
  for (const tally of all) {
    for (const problem of new Set(tally.problems)) say(`  ${problem}`);
  }
  say(`postings that ran twice: ${doubleRuns}; entries ended with ${exits.join(', ')}`);
  return !wrong && doubleRuns === 0 && exits.every((code) => code === 0);
}

const system = await System.create();
let passed = false;
try {
  await startSystem(system);
  const caller = new Caller(system.entries.map(({ callers }) => formatAddress(callers)));
  if (values.keep === true) {
    printKept(system);
    await new Promise<void>((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    passed = true;
  } else {
    const seconds = Number(values.seconds);
    say(`calling for ${seconds} s; the entries stop one after the other in the last part`);
    const calling = sendCalls(caller, seconds);
    await pause(seconds * 600);
    await printCosts(system);
    const [first, second, third] = system.entries;
    const exits: (number | null)[] = [];
    // The last entry stays for the callers until the calls have ended.
    for (const entry of [first, second]) {
      if (entry !== undefined) exits.push(await system.launcher.end(entry));
    }
    await calling;
    if (third !== undefined) exits.push(await system.launcher.end(third));
    printTable();
    passed = judge(exits, await countDoubleRuns(system));
  }
  await caller.close();
} finally {
  await system.close();
}
process.exit(passed ? 0 : 1);
