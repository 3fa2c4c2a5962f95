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
