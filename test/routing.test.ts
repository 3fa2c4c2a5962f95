import { expect } from 'chai';
import fc from 'fast-check';
import { TrafficSplitter, type Route, RouteTable } from '../src/routing/index.js';
import { decodeConfiguration, decodeTarget, parseLoad } from '../src/platform/index.js';
import { HOST, writeConfiguration, writeTarget } from '../src/standin/index.js';

function decodeTable(text: string): RouteTable {
  const table = decodeConfiguration(text);
  if ('kind' in table) throw new Error(`${table.what}: ${table.expected}`);
  return table;
}

describe('routes', () => {
  describe('lookup', () => {
    const table = decodeTable(
      writeConfiguration(3, [{ prefix: '/a/' }, { prefix: '/a/b/' }, { prefix: '/c/' }]),
    );
    for (const [path, name] of [
      ['/a/x', 'r/a/'],
      ['/a/b/x', 'r/a/b/'],
      ['/a/b', 'r/a/'],
      ['/c/', 'r/c/'],
      ['/d/x', undefined],
      ['/', undefined],
    ] as const) {
      it(`${path} matches ${name ?? 'no route'}`, () => {
        expect(table.findRoute(HOST, path)?.name).to.equal(name);
      });
    }
    it('finds nothing for an unknown host, and ignores the case of host names', () => {
      expect(table.findRoute('other.example', '/a/x')).to.equal(undefined);
      expect(table.findRoute(HOST.toUpperCase(), '/a/x')?.name).to.equal('r/a/');
    });
  });

  describe('decoding', () => {
    it('decodes limits, kinds and times', () => {
      const table = decodeTable(
        writeConfiguration(7, [{ prefix: '/u/', kind: 'unsafe', timeout: 900 }]),
      );
      const route = table.findRoute(HOST, '/u/1');
      expect(table.version).to.equal(7);
      expect(table.limits.bodyBytes).to.equal(4_000_000);
      expect(route).to.include({ kind: 'once', timeout: 900, maxAttempts: 2, targetLatency: 500 });
      expect(table.findService('alpha')?.healthPath).to.equal('/health');
    });
    for (const [what, text] of [
      ['no JSON', '{"version":'],
      ['no listeners', '{"version":1}'],
      ['an unknown kind', writeConfiguration(1, [{ prefix: '/a/', kind: 'odd' as 'safe' }])],
    ] as const) {
      it(`reports a fault and what was expected: ${what}`, () => {
        const fault = decodeConfiguration(text);
        expect(fault).to.have.property('kind', 'fault');
        expect(fault).to.have.property('expected').that.is.not.equal('');
      });
    }
    it('decodes a target, and rejects one without an address', () => {
      const record = decodeTarget('i-1', writeTarget({ host: '10.0.0.1', port: 80 }, { cold: 9 }));
      expect(record).to.include({ incarnation: 'i-1', service: 'alpha', slots: 4, coldLeft: 9 });
      expect(decodeTarget('i-1', '{"info":{},"status":{}}')).to.have.property('kind', 'fault');
    });
    for (const [text, report] of [
      ['3,1,8', { running: 3, waiting: 1, slots: 8, slowdown: 1 }],
      ['0,0,6,700', { running: 0, waiting: 0, slots: 6, slowdown: 7 }],
      ['0,0,6,1e300', { running: 0, waiting: 0, slots: 6, slowdown: 100 }],
      ['0,0,6,0', { running: 0, waiting: 0, slots: 6, slowdown: 0.1 }],
      ['0,0,6,Infinity', undefined],
      ['x', undefined],
      ['-1,0,6', undefined],
    ] as const) {
      it(`parses the load report "${text}"`, () => expect(parseLoad(text)).to.deep.equal(report));
    }
  });

  describe('splitting', () => {
    const route = (weights: readonly number[]): Route => ({
      ...{ name: 'r', kind: 'repeatable', pathPrefix: '/', timeout: 1, targetLatency: 1 },
      ...{ maxAttempts: 1, priority: 0 },
      shares: weights.map((weight, index) => ({ service: `s${index}`, weight })),
    });
    it('keeps each share within one request of its weight at every moment', () => {
      fc.assert(
        fc.property(
          fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 }),
          fc.double({ min: 0, max: 0.99, noNaN: true }),
          (weights, draw) => {
            const total = weights.reduce((sum, weight) => sum + weight, 0);
            fc.pre(total > 0);
            const splitter = new TrafficSplitter(() => draw);
            const counts = new Map<string, number>();
            for (let count = 1; count <= 200; count += 1) {
              const service = splitter.pick(route(weights)) as string;
              counts.set(service, (counts.get(service) ?? 0) + 1);
              for (const [index, weight] of weights.entries()) {
                const expected = (count * weight) / total;
                const actual = counts.get(`s${index}`) ?? 0;
                expect(Math.abs(actual - expected)).to.be.lessThan(weights.length);
              }
            }
          },
        ),
        { numRuns: 50, seed: 7 },
      );
    });
    it('sends nothing to a service of weight 0', () => {
      const splitter = new TrafficSplitter(() => 0.5);
      const services = new Set(Array.from({ length: 20 }, () => splitter.pick(route([0, 3]))));
      expect([...services]).to.deep.equal(['s1']);
      expect(splitter.pick(route([0, 0]))).to.equal(undefined);
    });
  });
});
