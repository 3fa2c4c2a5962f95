/** The search for a second answer in a body that the end of its connection ends. */
import { expect } from 'chai';
import fc from 'fast-check';
import { SecondAnswerScanner } from '../src/proxy/second-answer.js';

const FIELDS = new Set(['attempt-id', 'server-signature']);
const MAX_HEAD_BYTES = 16_384;

type Verdict = 'found' | 'in a head' | 'nothing';

/** Judges the head that may begin a text. */
function judgeHead(text: string): Verdict {
  if (!/^HTTP\/1\.\d [1-5]\d\d(?: |\r|$)/.test(text)) return 'nothing';
  const lines = text.slice(0, MAX_HEAD_BYTES).split('\r\n').slice(1, -1);
  for (const line of lines) {
    const name = /^([!#$%&'*+.^_`|~\w-]+):/.exec(line)?.[1];
    if (name === undefined) return 'nothing';
    if (FIELDS.has(name.toLowerCase())) return 'found';
  }
  return text.length < MAX_HEAD_BYTES ? 'in a head' : 'nothing';
}

/** Judges a whole body by every place at which a head may begin. */
function judgeBody(text: string): Verdict {
  const verdicts = new Set(
    [...text.matchAll(/HTTP\/1\./g)].map(({ index }) => judgeHead(text.slice(index))),
  );
  if (verdicts.has('found')) return 'found';
  return verdicts.has('in a head') ? 'in a head' : 'nothing';
}

function judgeParts(parts: readonly Buffer[]): Verdict {
  const scanner = new SecondAnswerScanner(FIELDS);
  for (const part of parts) scanner.add(part);
  if (scanner.hasFound) return 'found';
  return scanner.isInHead ? 'in a head' : 'nothing';
}

function spreadBytes(bytes: Buffer, places: readonly number[]): readonly Buffer[] {
  const ends = [...places.map((place) => place % (bytes.length + 1)), bytes.length];
  ends.sort((a, b) => a - b);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

/** Pieces of heads, whole and broken; the long ones come near the longest head. */
const PIECES = [
  ...['HTTP/1.1 200 OK\r\n', 'HTTP/1.1 200\r\n', 'HTTP/1.0 404 ', 'HTTP/1.1 200', 'HTTP/1.'],
  ...['HTTP/1.1 600 OK\r\n', 'HTTP/1.1 20', 'HTTP/1.1 200x', 'HTTP', 'H', 'P/1.1 200 OK\r\n'],
  ...['Attempt-Id: 1\r\n', 'server-signature:s\r\n', 'attempt-id', 'Attempt-Idx: 1\r\n', 'Attempt'],
  ...['a: b\r\n', 'a: HTTP/1.1 500 ', 'a: b', 'no field\r\n', ': b\r\n', ' a: b\r\n', 'a\r: b\r\n'],
  ...['\r\n', '\r', '\n', ':', ' ', '\u00e9', `${'n'.repeat(300)}: b\r\n`],
  ...[`a: ${'x'.repeat(5000)}\r\n`, `a: ${'x'.repeat(16_300)}\r\n`, 'y'.repeat(16_360)],
];
const body = fc
  .array(fc.constantFrom(...PIECES), { maxLength: 14 })
  .map((pieces) => Buffer.from(pieces.join(''), 'latin1'));

const BODY_BYTES = 4_000_000;
const HOSTILE_PIECES: readonly (readonly [string, string, string])[] = [
  ['lines like a status line', '', 'HTTP/1.1 200 OK\r\n'],
  ['status lines in fields of a head', 'HTTP/1.1 200 OK\r\n', 'a: HTTP/1.1 200 OK\r\n'],
  ['starts of heads', '', 'HTTP/1.'],
  ['status lines that do not end', '', 'HTTP/1.1 200 '],
  ['fields of a head', '', `HTTP/1.1 200 OK\r\n${'attempt-ix: b\r\n'.repeat(1000)}`],
];

/** Many times what a scan takes that looks at each byte once, also on a busy machine. */
const MAX_SCAN_MS = 500;

/** As long as what is read at once, and as short as a small write of a target. */
const PART_BYTES = [65_536, 100] as const;

function spreadEvenly(bytes: Buffer, length: number): readonly Buffer[] {
  return Array.from({ length: Math.ceil(bytes.length / length) }, (_, index) =>
    bytes.subarray(index * length, (index + 1) * length),
  );
}

describe('the search for a second answer', () => {
  // Guards against a verdict that depends on how the body is divided.
  it('finds what a search at every place of the whole body finds', () => {
    fc.assert(
      fc.property(body, fc.array(fc.nat(), { maxLength: 8 }), (bytes, places) => {
        expect(judgeParts(spreadBytes(bytes, places))).to.equal(
          judgeBody(bytes.toString('latin1')),
        );
      }),
      { numRuns: 3000 },
    );
  });

  it('finds it byte by byte as well', () => {
    fc.assert(
      fc.property(body, (bytes) => {
        expect(judgeParts(spreadEvenly(bytes, 1))).to.equal(judgeBody(bytes.toString('latin1')));
      }),
      { numRuns: 300 },
    );
  });

  it('looks for heads up to the longest one', () => {
    const line = (length: number) => `a: ${'x'.repeat(length - 'a: \r\n'.length)}\r\n`;
    const status = 'HTTP/1.1 200 OK\r\n';
    const last = 'Attempt-Id: 1\r\n';
    const room = MAX_HEAD_BYTES - status.length - last.length;
    expect(judgeParts([Buffer.from(status + line(room) + last)])).to.equal('found');
    expect(judgeParts([Buffer.from(status + line(room + 1) + last)])).to.equal('nothing');
  });

  // Guards against a search that judges the same bytes again and again.
  for (const [what, first, repeated] of HOSTILE_PIECES) {
    it(`takes little time for ${what}`, () => {
      for (const length of PART_BYTES) {
        const count = Math.floor(BODY_BYTES / repeated.length);
        const parts = spreadEvenly(Buffer.from(first + repeated.repeat(count)), length);
        const startedAt = process.cpuUsage();
        expect(judgeParts(parts)).to.not.equal('found');
        const { user, system } = process.cpuUsage(startedAt);
        expect((user + system) / 1000, `parts of ${length}`).to.be.lessThan(MAX_SCAN_MS);
      }
    });
  }
});
