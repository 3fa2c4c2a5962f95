/** Decisions on calls in a whole daemon: retries, hedges and their budgets, policies and classes. */
import { expect } from 'chai';
import type { Entry } from '../src/entry/index.js';
import type { TargetServer } from '../src/standin/index.js';
import {
  Fleet,
  type Reply,
  type RequestOptions,
  putDocuments,
  send,
  waitUntil,
  writeService,
} from './helpers/fleet.js';

describe('decisions on calls in a daemon', () => {
  let fleet: Fleet;
  let entry: Entry;
  let targets: TargetServer[];

  const open = async (count: number, more = '', sections = '', serviceTime = 3) => {
    fleet = new Fleet();
    targets = [];
    for (let index = 0; index < count; index += 1) {
      targets.push(await fleet.startTarget({ serviceTime }));
    }
    const addresses = targets.map(({ address }) => address);
    putDocuments(fleet.store, { 'service/test': writeService(addresses, more, sections) });
    entry = await fleet.start();
  };

  const sendMany = async (
    count: number,
    options: RequestOptions = {},
  ): Promise<readonly Reply[]> => {
    const replies: Reply[] = [];
    for (let turn = 0; turn < count; turn += 1)
      replies.push(await send(entry.callersAddress, options));
    return replies;
  };

  const countCalls = () => targets.reduce((sum, { counts }) => sum + counts.calls, 0);

  afterEach(() => fleet.close());

  it('most GET calls are answered completely while one of three targets resets every call', async () => {
    await open(3, 'retry_percent = 50');
    targets[0]?.setFault({ kind: 'reset' });
    const replies = await sendMany(60);
    const whole = replies.filter(({ status }) => status === 200);
    expect(whole.length).to.be.above(55);
    const bad = entry.table.findByName('test')?.listPools()[0]?.pool.targets[0];
    expect(['ejected', 'trial']).to.include(bad?.readState().kind);
  });

  it('retries stay within their budget when every target rejects its calls', async () => {
    await open(3, 'retry_percent = 10');
    for (const target of targets) target.setFault({ kind: 'shed' });
    await sendMany(100);
    expect(countCalls()).to.be.at.most(100 + 10 + 10);
  });

  it('a call that was made while serving a retry is not retried', async () => {
    await open(3, 'retry_percent = 100');
    for (const target of targets) target.setFault({ kind: 'shed' });
    await sendMany(20, { headers: { 'orchidbeam-retry': '1' } });
    expect(countCalls()).to.equal(20);
  });

  it('a POST without an idempotency key is sent to one target only, even if that fails', async () => {
    await open(3, 'retry_percent = 100\nhedge_percent = 100');
    for (const target of targets) target.setFault({ kind: 'reset' });
    const replies = await sendMany(20, { method: 'POST', body: 'x' });
    expect(countCalls()).to.equal(20);
    for (const { headers } of replies) expect(headers['orchidbeam-outcome']).to.equal('unknown');
  });

  it('GET calls at a hanging target are hedged and answered by another target', async () => {
    await open(3, 'hedge_percent = 100');
    await sendMany(40);
    targets[0]?.setFault({ kind: 'hang' });
    const replies = await sendMany(40, { headers: { 'orchidbeam-deadline': '5000' } });
    expect(replies.filter(({ status }) => status === 200)).to.have.length(40);
    expect(entry.table.findByName('test')?.hedgeBudget.spent).to.be.above(0);
  });

  it('a policy refuses the calls of one caller and gives the reason', async () => {
    await open(1, '', '[policy old]\nprogram = call.caller == "old" ? refuse("retired") : pass()');
    const [refused] = await sendMany(1, { headers: { 'orchidbeam-caller': 'old' } });
    expect(refused?.status).to.equal(429);
    expect(JSON.parse(refused?.text ?? '')).to.include({ reason: 'policy', detail: 'retired' });
    expect((await sendMany(1))[0]?.status).to.equal(200);
  });

  it('a policy that fails at run time is counted, and the call is served', async () => {
    const policy = '[policy broken]\nprogram = call.headers["x-none"] == "" ? refuse("r") : pass()';
    await open(1, '', policy);
    expect((await sendMany(1))[0]?.status).to.equal(200);
    expect(entry.table.findByName('test')?.counts.policyFailures).to.equal(1);
  });

  it('a policy sends a fraction of the callers to the canary pool, always the same ones', async () => {
    await open(2);
    const [main, canary] = targets.map(({ address }) => address);
    const text = `${writeService([main])}
[pool canary]
targets = ${canary?.host}:${canary?.port}
slots = 4
[policy canary]
program = call.draw < 0.3 ? spread("canary") : pass()
`;
    putDocuments(fleet.store, { 'service/test': text });
    await waitUntil(() => entry.follower.configuration.revision === 2, 'adopted');
    for (let turn = 0; turn < 100; turn += 1) {
      await sendMany(1, { headers: { 'orchidbeam-caller': `caller-${turn}` } });
    }
    expect(targets[1]?.counts.calls).to.be.within(15, 45);
    const before = targets[1]?.counts.calls ?? 0;
    const headers = { 'orchidbeam-caller': 'caller-1' };
    await sendMany(10, { headers });
    const after = targets[1]?.counts.calls ?? 0;
    expect([0, 10]).to.include(after - before);
  });

  it('a call of a class with a higher weight overtakes waiting calls', async () => {
    const classes =
      '[class urgent]\nweight = 100\nwait = 5s\n[class normal]\nweight = 1\nwait = 5s';
    // The service time lets all calls arrive before the first ones end, also on a busy machine.
    await open(1, '', classes, 300);
    const order: string[] = [];
    const recordOrder = (name: string) => () => {
      order.push(name);
    };
    const calls: Promise<void>[] = [];
    for (let turn = 0; turn < 16; turn += 1) {
      calls.push(send(entry.callersAddress).then(recordOrder('normal')));
    }
    await waitUntil(
      () => (entry.table.findByName('test')?.listPools()[0]?.pool.readLoad().waiting ?? 0) >= 12,
      'the other calls wait',
    );
    const urgent = { headers: { 'orchidbeam-class': 'urgent' } };
    calls.push(send(entry.callersAddress, urgent).then(recordOrder('urgent')));
    await Promise.all(calls);
    expect(order.indexOf('urgent')).to.be.below(12);
  });

  it('a configuration change keeps the calls in flight and the state of the targets', async () => {
    await open(1, '', '', 400);
    const slow = send(entry.callersAddress, { headers: { 'x-token': 'slow' } });
    await waitUntil(() => targets[0]?.counts.calls === 1, 'the call arrived');
    const [target] = targets as [TargetServer];
    putDocuments(fleet.store, {
      'service/test': writeService([target.address], 'queue_limit = 7'),
    });
    await waitUntil(() => entry.follower.configuration.revision === 2, 'adopted');
    const known = entry.table.findByName('test')?.listPools()[0]?.pool.targets[0];
    expect(known?.inFlight).to.equal(1);
    expect((await slow).status).to.equal(200);
  });
});
