/** Datagrams from anyone, which must cost no more than their bytes. */
import { encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import { decodeDatagram } from '../src/peering/datagram.js';
import { isPackedWhole } from '../src/peering/packed-size.js';

const BYTES_PER_MB = 1_048_576;
const MAX_GROWTH_MB = 4;

/** A list that says that it has 30,000,000 elements, and one that says 65,535. */
const LONG_LIST = Buffer.from([0xdd, 0x01, 0xc9, 0xc3, 0x80]);
const LIST = Buffer.from([0xdc, 0xff, 0xff]);

/** Returns by how much the memory grows while a datagram is decoded, in MB. */
function measureDecoding(datagram: Buffer): number {
  const before = process.memoryUsage().heapUsed;
  expect(decodeDatagram(datagram)).to.equal(undefined);
  return (process.memoryUsage().heapUsed - before) / BYTES_PER_MB;
}

describe('a datagram that announces more than it holds', () => {
  // Guards against a few bytes from anyone for which a daemon reserves gigabytes.
  for (const [what, part, count] of [
    ['one list', LONG_LIST, 1],
    ['eight lists within one another', LONG_LIST, 8],
    ['thousands of lists within one another', LIST, 20_000],
  ] as const) {
    it(`${what}: no memory is reserved for what is missing`, () => {
      const datagram = Buffer.concat(Array.from({ length: count }, () => part));
      expect(measureDecoding(datagram)).to.be.lessThan(MAX_GROWTH_MB);
    });
  }

  it('is found whatever it holds, and whole values pass', () => {
    const values = [
      ...[0, 127, 128, 65_536, 2 ** 33, -1, -200, -70_000, -(2 ** 33), 0.5, null, true, 'x'],
      ...['x'.repeat(40), 'x'.repeat(300), 'x'.repeat(70_000), new Uint8Array(300), new Date(0)],
      ...[new Date(2 ** 40), Array.from({ length: 20 }, () => [1, ['y']]), { a: { b: [1] } }],
      Object.fromEntries(Array.from({ length: 20 }, (_, index) => [`k${index}`, index])),
      Array.from({ length: 70_000 }, () => 7),
    ];
    for (const value of values) {
      const bytes = encode([1, value]);
      expect(isPackedWhole(bytes), typeof value).to.equal(true);
      expect(isPackedWhole(bytes.subarray(0, -1)), typeof value).to.equal(false);
    }
  });
});
