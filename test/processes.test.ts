/** Real processes: paused, killed, replaced in turn, under calls. */
import { expect } from 'chai';
import { request } from 'undici';
import { formatAddress } from '../src/kernel/index.js';
import { EXIT } from '../src/cli/index.js';
import {
  Caller,
  type CallPlan,
  type CallResult,
  type LaunchedEntry,
  System,
  findExample,
  pause,
} from '../src/demo/index.js';
import type { EntryAnswer } from '../src/entry/index.js';

const DOMAINS = ['hu/bud1', 'hu/bud2', 'hu/vac1'];
const OVERRIDES = { limits: { answer_ttl: '500ms' } };

/** Counts what callers were told. */
class Traffic {
  readonly results: CallResult[] = [];

  #running = true;

  #number = 0;

  readonly #caller: Caller;

  constructor(entries: readonly LaunchedEntry[]) {
    this.#caller = new Caller(entries.map(({ callers }) => formatAddress(callers)));
  }

  async run(gap: number): Promise<void> {
    const calls: Promise<void>[] = [];
    while (this.#running) {
      this.#number += 1;
      const call = this.#caller.call(this.#plan()).then((result) => {
        this.results.push(result);
      });
      calls.push(call);
      await pause(gap);
    }
    await Promise.all(calls);
    await this.#caller.close();
  }

  stop(): void {
    this.#running = false;
  }

  list(kind: CallResult['kind']): readonly CallResult[] {
    return this.results.filter((result) => result.kind === kind);
  }

  #plan(): CallPlan {
    const token = `call-${this.#number}`;
    const shared = { service: 'ledger', host: 'ledger.konyvhaz.example', token, deadline: 3000 };
    if (this.#number % 3 === 0) {
      const posting = { method: 'POST', path: '/postings', bytes: 100 } as const;
      return { ...shared, ...posting, idempotencyKey: token };
    }
    return { ...shared, method: 'GET', path: '/balance', bytes: 0 };
  }
}

describe('processes', () => {
  let system: System;

  beforeEach(async () => {
    system = await System.create();
    await system.startTargets({ role: 'ledger', count: 3, slots: 6, serviceTime: 10 }, DOMAINS);
    for (const [index, domain] of DOMAINS.entries()) {
      await system.startEntry({ name: `e${index}`, domain, overrides: OVERRIDES });
    }
    const result = await system.configure([findExample('konyvhaz/service/ledger.ini')], 'test');
    expect(result.text).to.include('in force on all 3 entries');
  });

  afterEach(() => system.close());

  const countRuns = async () => {
    const runs = new Map<string, number>();
    for (const target of system.targets) {
      const report = await system.readTarget(target);
      for (const [key, count] of Object.entries(report.runs)) {
        runs.set(key, (runs.get(key) ?? 0) + count);
      }
    }
    return [...runs.values()];
  };

  const findHome = async () => {
    const [first] = system.entries as [LaunchedEntry];
    const url = `http://${formatAddress(first.callers)}/.well-known/orchidbeam/entries?service=ledger`;
    const answer = (await (await request(url)).body.json()) as EntryAnswer;
    const home = answer.entries[0]?.address;
    return system.entries.find(({ callers }) => formatAddress(callers) === home) as LaunchedEntry;
  };

  it('all replaced in turn under calls: every call is answered whole', async () => {
    const traffic = new Traffic(system.entries);
    const running = traffic.run(15);
    for (const old of [...system.entries]) {
      await pause(300);
      await system.startEntry({
        name: `${old.name}-new`,
        domain: old.domain,
        overrides: OVERRIDES,
      });
      expect(await system.launcher.end(old)).to.equal(0);
    }
    await pause(500);
    traffic.stop();
    await running;
    const failed = traffic.results.filter(({ kind }) => kind !== 'whole');
    expect(failed).to.deep.equal([]);
    expect(traffic.results.length).to.be.above(100);
    expect((await countRuns()).every((count) => count === 1)).to.equal(true);
  }).timeout(60_000);

  it('one killed under calls: each call is whole, not run or unknown, and none runs twice', async () => {
    const traffic = new Traffic(system.entries);
    const running = traffic.run(10);
    await pause(700);
    await system.launcher.end(await findHome(), 'SIGKILL');
    await pause(2500);
    const before = traffic.results.length;
    await pause(1500);
    traffic.stop();
    await running;
    expect(traffic.list('wrong')).to.deep.equal([]);
    expect((await countRuns()).every((count) => count === 1)).to.equal(true);
    const late = traffic.results.slice(before).filter(({ kind }) => kind === 'whole');
    expect(late.length).to.be.above(30);
  }).timeout(60_000);

  it('one paused past its claims and its membership, then woken: no key runs twice', async () => {
    const home = await findHome();
    const others = system.entries.filter((entry) => entry !== home);
    await system.setPlatformFault({ kind: 'slow', delay: 150 });
    const sendTo = (entry: LaunchedEntry, key: string) => {
      const caller = new Caller([]);
      const plan = { service: 'ledger', host: 'ledger.konyvhaz.example', token: key, bytes: 10 };
      caller.findEntries = async () => [formatAddress(entry.callers)];
      const posting = { method: 'POST', path: '/postings', deadline: 2000 } as const;
      return caller.call({ ...plan, ...posting, idempotencyKey: key });
    };
    const results: Promise<CallResult>[] = [];
    for (let turn = 0; turn < 12; turn += 1) results.push(sendTo(home, `key-${turn}`));
    // Their claims are on the way to the platform and back while the process stands still.
    await pause(100);
    home.child.kill('SIGSTOP');
    await pause(1000);
    for (const entry of others) {
      for (let turn = 0; turn < 12; turn += 1) results.push(sendTo(entry, `key-${turn}`));
    }
    await pause(9000);
    home.child.kill('SIGCONT');
    const told = await Promise.all(results);
    expect(told.filter(({ kind }) => kind === 'wrong')).to.deep.equal([]);
    const runs = await countRuns();
    expect(runs.every((count) => count === 1)).to.equal(true);
    await system.setPlatformFault({ kind: 'none' });
    await pause(6000);
    const status = await system.operate(['status'], home);
    expect(status.text).to.include(': live, revision 1');
    expect(status.text.match(/^member /gm)).to.have.length(3);
  }).timeout(60_000);

  it('none reachable by an operator: the command line says so', async () => {
    const [entry] = system.entries as [LaunchedEntry];
    await system.launcher.end(entry, 'SIGKILL');
    expect((await system.operate(['status'], entry)).code).to.equal(EXIT.unavailable);
  });
});
