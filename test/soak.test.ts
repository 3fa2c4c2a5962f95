/** Each check of the soak is shown to fire by a fault that is planted here, and to be silent without. */
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

const AGREEMENT: PromisedLimits = {
  ...{ drainTime: 2000, applyTime: 2000, probesPerSecond: 10 },
  ...{ retryRatio: 0.2, retryWindow: 10_000, retrySlack: 2 },
};

/** Promises in which no time is counted hold however busy the machine is. */
const TIMELESS: readonly Violation['promise'][] = [
  ...(['own and whole answers', 'true refusals', 'at most once'] as const),
];

describe('the checks of a soak', () => {
  let witness: SoakChecker;
  beforeEach(() => {
    witness = new SoakChecker(AGREEMENT);
  });

  const noteTry = (id: string, sentAt: number, isRepeatable = true) =>
    witness.recordRequest({ id, isRepeatable, daemon: 0, sentAt });
  const noteRun = (id: string, at: number, service = 'alpha', saysDraining = false) =>
    witness.recordRun({ id, target: 'i-1', service, at, saysDraining });
  const noteAnswer = (id: string, status: number, body = composeBody(id)) =>
    witness.recordOutcome(id, { kind: 'answered', status, body, isSigned: true }, 100);
  const listPromises = () => witness.listViolations().map(({ promise }) => promise);

  it("fire on another request's answer, and on a part of one", () => {
    for (const [id, body] of [
      ['a', composeBody('a')],
      ['b', composeBody('a')],
      ['c', composeBody('c').slice(0, 500)],
    ] as const) {
      noteTry(id, 0);
      noteAnswer(id, 200, body);
    }
    expect(listPromises()).to.deep.equal(['own and whole answers', 'own and whole answers']);
  });
  it('fire on a refusal of what ran, unless it may be repeated', () => {
    for (const id of ['a', 'b', 'c']) noteTry(id, 0, id === 'c');
    noteAnswer('a', 503);
    noteAnswer('b', 503);
    noteAnswer('c', 503);
    noteRun('b', 10);
    noteRun('c', 10);
    expect(listPromises()).to.deep.equal(['true refusals']);
  });
  it('fire on a request to a target that had said to the daemon that it drains, unless that started anew', () => {
    noteTry('a', 0);
    noteRun('a', 10, 'alpha', true);
    noteAnswer('a', 200);
    noteTry('b', 2000);
    noteRun('b', 2010);
    noteTry('c', 2200);
    noteRun('c', 2210);
    expect(listPromises()).to.deep.equal(['stated drains']);
    witness.recordInterruption(0, 1000);
    expect(listPromises()).to.deep.equal([]);
  });
  it('fire on more than two requests within a back-off', () => {
    noteTry('a', 0);
    witness.recordRejection({ id: 'a', target: 'i-1', at: 10, backoff: 3000 });
    for (const [id, at] of [
      ['b', 100],
      ['c', 1000],
      ['d', 2000],
    ] as const) {
      noteTry(id, at);
      noteRun(id, at);
    }
    expect(listPromises()).to.deep.equal([]);
    noteTry('e', 2500);
    noteRun('e', 2500);
    expect(listPromises()).to.deep.equal(['back-offs']);
  });
  it('fire on a second run of what may run once', () => {
    for (const id of ['a', 'b']) {
      noteTry(id, 0, id === 'b');
      noteRun(id, 10);
      noteRun(id, 20);
    }
    expect(listPromises()).to.deep.equal(['at most once']);
  });
  it('fire on work for a target that left long ago, but not in an outage', () => {
    witness.recordDrain('i-1', 10_000);
    noteTry('a', 12_000);
    noteRun('a', 12_100);
    expect(listPromises()).to.deep.equal([]);
    noteTry('b', 13_000);
    noteRun('b', 13_000);
    expect(listPromises()).to.deep.equal(['leaving targets']);
    witness.recordFault(9000, 12_500);
    expect(listPromises()).to.deep.equal([]);
  });
  it('fire on a request that a planned stop cuts', () => {
    noteTry('before', 900);
    witness.recordStop(0, 1000);
    witness.recordOutcome('before', { kind: 'cut' }, 1500);
    noteTry('crossing', 2900);
    witness.recordOutcome('crossing', { kind: 'cut' }, 2950);
    noteTry('elsewhere', 900);
    witness.recordOutcome('elsewhere', { kind: 'left' }, 1500);
    expect(listPromises()).to.deep.equal(['planned stops']);
  });
  it('fire on a configuration that is late, or comes back', () => {
    witness.recordConfiguration('alpha', 0);
    witness.recordConfiguration('beta', 10_000);
    noteTry('moving-1', 11_900);
    noteRun('moving-1', 12_000, 'alpha');
    noteTry('moving-2', 12_000);
    noteRun('moving-2', 12_010, 'beta');
    expect(listPromises()).to.deep.equal([]);
    noteTry('moving-3', 13_000);
    noteRun('moving-3', 13_010, 'alpha');
    expect(listPromises()).to.deep.equal(['configuration in force']);
  });
  it('fire on more probes than agreed', () => {
    for (let at = 0; at < 5000; at += 101) witness.recordProbe('i-1', at);
    expect(listPromises()).to.deep.equal([]);
    for (let at = 0; at < 5000; at += 90) witness.recordProbe('i-2', at);
    expect(listPromises()).to.deep.equal(['probes']);
  });
  it('fire on more repeats than agreed in some window', () => {
    for (let turn = 0; turn < 100; turn += 1) {
      noteTry(`t${turn}`, turn * 100);
      noteRun(`t${turn}`, turn * 100 + 1);
      if (turn < 20) noteRun(`t${turn}`, turn * 100 + 2);
    }
    expect(listPromises()).to.deep.equal(['repeats']);
  });
});

describe('a link that fails', () => {
  const OPEN: LinkFault = { kind: 'none' };
  let server: http.Server;
  let link: Link;
  let port = 0;

  beforeEach(async () => {
    server = http.createServer((_request, response) => response.end('here'));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const behind = server.address() as { readonly port: number };
    link = new Link({ host: '127.0.0.1', port: behind.port });
    port = (await link.start()).port;
  });
  afterEach(() => {
    link.stop();
    server.close();
  });

  function ask(): Promise<string> {
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
  for (const [fault, seen] of [
    [OPEN, 'answered'],
    [{ kind: 'delay', time: 20 }, 'answered'],
    [{ kind: 'reset' }, 'ECONNRESET'],
    [{ kind: 'silent' }, 'silence'],
    [{ kind: 'one-way', lost: 'in' }, 'silence'],
    [{ kind: 'one-way', lost: 'out' }, 'silence'],
  ] as const) {
    it(`${JSON.stringify(fault)}: a caller sees "${seen}", and is answered once it is over`, async () => {
      link.setFault(fault);
      expect(await ask()).to.equal(seen);
      link.setFault(OPEN);
      expect(await ask()).to.equal('answered');
    });
  }
});

describe('a soak', () => {
  const size = { daemons: 3, targets: 4, duration: 6000 };

  it('has one plan for one seed', () => {
    const draw = (seed: number) =>
      drawPlan(createSeededRandom(seed), { ...size, duration: 60_000 });
    expect(draw(5)).to.deep.equal(draw(5));
    expect(draw(5)).to.not.deep.equal(draw(6));
    expect(new Set(draw(5).map(({ kind }) => kind)).size).to.be.at.least(6);
  });
  it('of some seconds breaks no promise in which no time is counted', async () => {
    const report = await runSoak({ ...size, seed: 11, callers: 8 });
    expect(report.ends['200']).to.be.at.least(20);
    expect(report.breaks.filter(({ promise }) => TIMELESS.includes(promise))).to.deep.equal([]);
  }).timeout(120_000);
});
