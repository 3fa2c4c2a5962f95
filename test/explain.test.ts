import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { runCommand } from '../src/cli/index.js';

const FIRST = [
  'time=2026-12-02T10:00:00.100Z level=info event=attempt.failed vm=a id=t1 target=i-1 outcome=lost reason="the answer broke off" took=40 calls=2 report_age=30 slowdown=7',
  'time=2026-12-02T10:00:00.500Z level=info event=request.told vm=a id=t1 route=r service=s told=unknown reason=lost sendings=1 held=44',
  'no pairs here',
].join('\n');
const SECOND =
  'time=2026-12-02T10:00:00.050Z level=info event=request.refused vm=b id=t1 told=no-route path=/x';

describe('explaining a request', () => {
  let folder: string;
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'explain-'));
    writeFileSync(join(folder, 'a.log'), FIRST);
    writeFileSync(join(folder, 'b.log'), SECOND);
  });
  afterEach(() => rmSync(folder, { recursive: true }));
  const run = (...words: string[]) =>
    runCommand(['explain', ...words.map((w) => (w.endsWith('.log') ? join(folder, w) : w))]);

  it('joins the lines of several daemons in the order of their times', async () => {
    const { code, text } = await run('t1', 'a.log', 'b.log');
    const lines = text.split('\n');
    expect(code).to.equal(0);
    expect(lines).to.have.length(3);
    expect(lines[0]).to.include('b turned it away');
    expect(lines[1]).to.include('target i-1: lost (the answer broke off) after 40 ms');
    expect(lines[2]).to.include('nobody knows whether it ran (lost)');
  });
  it('finds all tries of a request that ends targets by its name', async () => {
    const lines = [
      'time=2026-12-02T10:00:00.300Z level=warn event=poison.suspected vm=b id=t8 path="/p?x=1" request=q1 alike=w1 target=i-2 ran=70 ended=2',
      'time=2026-12-02T10:00:00.100Z level=info event=attempt.failed vm=a id=t7 target=i-1 outcome=lost reason=ECONNRESET ended=true request=q1 alike=w1 took=70 calls=5 report_age=3 slowdown=1',
      'time=2026-12-02T10:00:00.200Z level=info event=poison.heard vm=b from=10.0.0.1 request=q1 ended=1',
      'time=2026-12-02T10:00:00.400Z level=info event=poison.tried vm=a id=t9 request=q1 target=i-3 release=v2',
      'time=2026-12-02T10:00:00.500Z level=info event=poison.cleared vm=a id=t9 request=q1',
    ];
    writeFileSync(join(folder, 'p.log'), lines.join('\n'));
    const story = (await run('q1', 'p.log')).text.split('\n');
    expect(story).to.have.length(5);
    expect(story[0]).to.include('and has ended');
    expect(story[1]).to.include('heard from 10.0.0.1 that 1 targets');
    expect(story[2]).to.include(
      'target i-2 ended 70 ms after it had begun to run it (/p?x=1), 2 so far',
    );
    expect(story[3]).to.include('target i-3 (release v2)');
    expect(story[4]).to.include('nothing is held against it');
    expect((await run('w1', 'p.log')).text.split('\n')).to.have.length(2);
  });
  it('says so when no line names it', async () => {
    const { code, text } = await run('t2', 'a.log');
    expect(code).to.equal(1);
    expect(text).to.include('no line names t2');
  });
  for (const words of [[], ['t1'], ['t1', 'missing.log']]) {
    it(`is called wrongly with "${words.join(' ')}"`, async () => {
      expect((await run(...words)).code).to.equal(2);
    });
  }
});

describe('orchidbeam account', () => {
  const LOG = [
    'time=2026-12-02T10:00:00.100Z level=info event=request.late vm=a service=alpha why=waited',
    'time=2026-12-02T10:00:01.100Z level=info event=request.late vm=b service=alpha why=waited dropped=3',
    'time=2026-12-02T10:00:01.200Z level=info event=request.told vm=a service=beta told=not-run reason=no-room sendings=0',
    'time=2026-12-02T10:00:02.200Z level=warn event=loop.late vm=a lag=80',
    'time=2026-12-02T10:00:02.300Z level=info event=gateway.status vm=a',
    'no line of ours',
  ];
  let folder: string;
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'account-'));
    writeFileSync(join(folder, 'a.log'), LOG.join('\n'));
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  it('counts by time, service and cause, with the lines that were left out', async () => {
    const { code, json } = await runCommand(['account', join(folder, 'a.log')]);
    expect(code).to.equal(0);
    const { rows } = json as { rows: { service: string; cause: string; count: number }[] };
    expect(rows.map(({ service, cause, count }) => [service, cause, count])).to.deep.equal([
      ['alpha', 'late: waited', 5],
      ['beta', 'not-run: no-room, never sent', 1],
      ['', 'event loop late', 1],
    ]);
  });
  it('is called wrongly without a file, or with one that is not there', async () => {
    for (const words of [['account'], ['account', join(folder, 'missing.log')]]) {
      expect((await runCommand(words)).code).to.equal(2);
    }
  });
});
