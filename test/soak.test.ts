/**
 * Feeds each check of the soak observations that break its promise and expects it to fire, and
 * observations that keep the promise and expects no violation.
 */
import http from 'node:http';
import { expect } from 'chai';
import { createSeededRandom } from '../src/kernel/index.js';
import {
  type PromisedLimits,
  type Violation,
  Link,
  type LinkFault,
  SoakChecker,
  composeBody,
  drawPlan,
  runSoak,
} from '../src/soak/index.js';

const LIMITS: PromisedLimits = {
  ...{ drainTime: 2000, applyTime: 2000, probesPerSecond: 10 },
  ...{ retryRatio: 0.2, retryWindow: 10_000, retrySlack: 2, recoveryTime: 500 },
};

/** Promises without a time limit hold however busy the machine is. */
const UNTIMED_PROMISES: readonly Violation['promise'][] = [
  ...(['own and whole answers', 'true refusals', 'at most once'] as const),
];

describe('the checks of a soak', () => {
  let checker: SoakChecker;
  beforeEach(() => {
    checker = new SoakChecker(LIMITS);
  });

  const recordRequest = (id: string, sentAt: number, isRepeatable = true) =>
    checker.recordRequest({ id, isRepeatable, daemon: 0, sentAt });
  const recordRun = (id: string, at: number, service = 'alpha', saysDraining = false) =>
    checker.recordRun({ id, target: 'i-1', service, at, saysDraining });
  const recordAnswer = (id: string, status: number, body = composeBody(id)) =>
    checker.recordOutcome(id, { kind: 'answered', status, body, isSigned: true }, 100);
  const listBrokenPromises = () => checker.listViolations().map(({ promise }) => promise);

  it('report service that is not back after all daemons were lost', () => {
    checker.recordLossOfAll(0);
    for (let index = 0; index < 20; index += 1) recordRequest(`r${index}`, 400 + index * 20);
    for (let index = 0; index < 19; index += 1) recordAnswer(`r${index}`, index < 6 ? 503 : 200);
    expect(listBrokenPromises()).to.deep.equal([]);
    recordAnswer('r19', 503);
    expect(listBrokenPromises()).to.deep.equal(['recovery']);
  });
  it('report an answer that belongs to another request or is incomplete', () => {
    for (const [id, body] of [
      ['a', composeBody('a')],
      ['b', composeBody('a')],
      ['c', composeBody('c').slice(0, 500)],
    ] as const) {
      recordRequest(id, 0);
      recordAnswer(id, 200, body);
    }
    expect(listBrokenPromises()).to.deep.equal(['own and whole answers', 'own and whole answers']);
  });
  it('report a refusal of a request that ran, unless the request is repeatable', () => {
    for (const id of ['a', 'b', 'c']) recordRequest(id, 0, id === 'c');
    recordAnswer('a', 503);
    recordAnswer('b', 503);
    recordAnswer('c', 503);
    recordRun('b', 10);
    recordRun('c', 10);
    expect(listBrokenPromises()).to.deep.equal(['true refusals']);
  });
  it('report a request that a daemon sends to a target after forwarding its draining report, unless the daemon was interrupted since', () => {
    recordRequest('a', 0);
    recordRun('a', 10, 'alpha', true);
    recordAnswer('a', 200);
    recordRequest('b', 2000);
    recordRun('b', 2010);
    recordRequest('c', 2200);
    recordRun('c', 2210);
    expect(listBrokenPromises()).to.deep.equal(['stated drains']);
    checker.recordInterruption(0, 1000);
    expect(listBrokenPromises()).to.deep.equal([]);
  });
  it('report more than two requests from a daemon to a target during a back-off', () => {
    recordRequest('a', 0);
    checker.recordRejection({ id: 'a', target: 'i-1', at: 10, backoff: 3000 });
    for (const [id, at] of [
      ['b', 100],
      ['c', 1000],
      ['d', 2000],
    ] as const) {
      recordRequest(id, at);
      recordRun(id, at);
    }
    expect(listBrokenPromises()).to.deep.equal([]);
    recordRequest('e', 2500);
    recordRun('e', 2500);
    expect(listBrokenPromises()).to.deep.equal(['back-offs']);
  });
  it('report a second run of a request that may run at most once', () => {
    for (const id of ['a', 'b']) {
      recordRequest(id, 0, id === 'b');
      recordRun(id, 10);
      recordRun(id, 20);
    }
    expect(listBrokenPromises()).to.deep.equal(['at most once']);
  });
  it('report a request to a target that drained long ago, but not during a fault', () => {
    checker.recordDrain('i-1', 10_000);
    recordRequest('a', 12_000);
    recordRun('a', 12_100);
    expect(listBrokenPromises()).to.deep.equal([]);
    recordRequest('b', 13_000);
    recordRun('b', 13_000);
    expect(listBrokenPromises()).to.deep.equal(['leaving targets']);
    checker.recordFault(9000, 12_500);
    expect(listBrokenPromises()).to.deep.equal([]);
  });
  it('report a request that a planned stop cut off', () => {
    recordRequest('before', 900);
    checker.recordStop(0, 1000);
    checker.recordOutcome('before', { kind: 'cut' }, 1500);
    recordRequest('crossing', 2900);
    checker.recordOutcome('crossing', { kind: 'cut' }, 2950);
    recordRequest('elsewhere', 900);
    checker.recordOutcome('elsewhere', { kind: 'left' }, 1500);
    expect(listBrokenPromises()).to.deep.equal(['planned stops']);
  });
  it('report a run under a configuration that was replaced long ago', () => {
    checker.recordConfiguration('alpha', 0);
    checker.recordConfiguration('beta', 10_000);
    recordRequest('moving-1', 11_900);
    recordRun('moving-1', 12_000, 'alpha');
    recordRequest('moving-2', 12_000);
    recordRun('moving-2', 12_010, 'beta');
    expect(listBrokenPromises()).to.deep.equal([]);
    recordRequest('moving-3', 13_000);
    recordRun('moving-3', 13_010, 'alpha');
    expect(listBrokenPromises()).to.deep.equal(['configuration in force']);
  });
  it('report more probes of a target than the settings allow', () => {
    for (let at = 0; at < 5000; at += 101) checker.recordProbe('i-1', at);
    expect(listBrokenPromises()).to.deep.equal([]);
    for (let at = 0; at < 5000; at += 90) checker.recordProbe('i-2', at);
    expect(listBrokenPromises()).to.deep.equal(['probes']);
  });
  it('report more repeats in a window than the settings allow', () => {
    for (let index = 0; index < 100; index += 1) {
      recordRequest(`t${index}`, index * 100);
      recordRun(`t${index}`, index * 100 + 1);
      if (index < 20) recordRun(`t${index}`, index * 100 + 2);
    }
    expect(listBrokenPromises()).to.deep.equal(['repeats']);
  });
});

describe('a faulty link', () => {
  const NO_FAULT: LinkFault = { kind: 'none' };
  let server: http.Server;
  let link: Link;
  let port = 0;

  beforeEach(async () => {
    server = http.createServer((_request, response) => response.end('here'));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const upstream = server.address() as { readonly port: number };
    link = new Link({ host: '127.0.0.1', port: upstream.port });
    port = (await link.start()).port;
  });
  afterEach(() => {
    link.stop();
    server.close();
  });

  function sendRequest(): Promise<string> {
    return new Promise((resolve) => {
      const request = http.get({ port, host: '127.0.0.1', agent: false, timeout: 200 });
      request.on('timeout', () => request.destroy(new Error('silence')));
      request.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
      request.on('response', (response) => {
        response.resume();
        response.on('end', () => resolve('answered'));
      });
    });
  }
  for (const [fault, expected] of [
    [NO_FAULT, 'answered'],
    [{ kind: 'delay', time: 20 }, 'answered'],
    [{ kind: 'reset' }, 'ECONNRESET'],
    [{ kind: 'silent' }, 'silence'],
    [{ kind: 'one-way', lost: 'in' }, 'silence'],
    [{ kind: 'one-way', lost: 'out' }, 'silence'],
  ] as const) {
    it(`${JSON.stringify(fault)}: a request ends with "${expected}", and is answered after the fault`, async () => {
      link.setFault(fault);
      expect(await sendRequest()).to.equal(expected);
      link.setFault(NO_FAULT);
      expect(await sendRequest()).to.equal('answered');
    });
  }
});

describe('a soak', () => {
  const size = { daemons: 3, targets: 4, duration: 6000 };

  it('draws the same plan for the same seed and another one for another seed', () => {
    const draw = (seed: number) =>
      drawPlan(createSeededRandom(seed), { ...size, duration: 60_000 });
    expect(draw(5)).to.deep.equal(draw(5));
    expect(draw(5)).to.not.deep.equal(draw(6));
    expect(new Set(draw(5).map(({ kind }) => kind)).size).to.be.at.least(6);
  });
  it('partitions daemons that can be partitioned', () => {
    const plan = drawPlan(createSeededRandom(5), { ...size, duration: 600_000 });
    const daemons = plan.flatMap((event) => (event.kind === 'partition' ? [event.daemon] : []));
    expect([...new Set(daemons)].sort()).to.deep.equal([1, 2]);
  });
  // Guards against an event for a daemon that does not exist.
  it('of a single daemon has events for that one only', () => {
    const plan = drawPlan(createSeededRandom(5), { ...size, daemons: 1, duration: 600_000 });
    const daemons = plan.flatMap((event) => ('daemon' in event ? [event.daemon] : []));
    expect([...new Set(daemons)]).to.deep.equal([0]);
  });
  // Guards against a fleet that refuses what it could serve, because of stored estimates.
  it('that ends with the loss of all daemons sees service again in time', async () => {
    const report = await runSoak({ ...size, ...{ seed: 4, callers: 8, endsWithLossOfAll: true } });
    expect(report.breaks.filter(({ promise }) => promise === 'recovery')).to.deep.equal([]);
  }).timeout(60_000);
  it('of a few seconds breaks no promise without a time limit', async () => {
    const report = await runSoak({ ...size, seed: 11, callers: 8 });
    expect(report.ends['200']).to.be.at.least(20);
    expect(report.breaks.filter(({ promise }) => UNTIMED_PROMISES.includes(promise))).to.deep.equal(
      [],
    );
  }).timeout(120_000);
});
