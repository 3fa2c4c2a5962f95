import { Readable } from 'node:stream';
import { expect } from 'chai';
import fc from 'fast-check';
import { type PoisonCase, PoisonRecord, type PoisonContext } from '../src/balance/index.js';
import { RequestIdentity, type RequestTraits } from '../src/gateway/requests/request-identity.js';

const MINUTE = 60_000;
const DAY = 24 * 60 * MINUTE;

const CONTEXT: PoisonContext = {
  now: 0,
  targets: 30,
  releases: new Set(['v1']),
  mayRunTrials: true,
};

const makeEnd = (target: number, release = 'v1') => ({ target, release });

describe('the record of requests that targets ended while running', () => {
  let record: PoisonRecord;
  beforeEach(() => {
    record = new PoisonRecord();
  });

  const judge = (now: number, context: Partial<PoisonContext> = {}, request = 'q') =>
    record.judge(request, { ...CONTEXT, ...context, now });

  describe('the decision on a request', () => {
    it('is clear without an end, suspect after one, and held out after two', () => {
      expect(judge(0).kind).to.equal('clear');
      record.recordTargetEnd('q', makeEnd(1), 0);
      expect(judge(1).kind).to.equal('suspect');
      record.recordTargetEnd('q', makeEnd(2), 100);
      expect(judge(101).kind).to.equal('held');
      expect(judge(101, {}, 'other').kind).to.equal('clear');
    });
    it('counts the end of one incarnation once, whichever daemon reports it', () => {
      record.recordTargetEnd('q', makeEnd(1), 0);
      const poisonCase = { request: 'q', ended: [1], releases: ['v1'], changedAt: 40 };
      expect(record.receive(poisonCase, 50)).to.equal('known');
      expect(judge(60).kind).to.equal('suspect');
    });
    it('is clear once a target ran the request to its end, and ignores older messages', () => {
      record.recordTargetEnd('q', makeEnd(1), 0);
      expect(record.recordAnswer('q', 200)?.ended).to.deep.equal([]);
      expect(judge(201).kind).to.equal('clear');
      const received = { request: 'q', ended: [1, 2], releases: ['v1'], changedAt: 150 };
      expect(record.receive(received, 300)).to.equal('outdated');
      expect(judge(301).kind).to.equal('clear');
      expect(record.receive({ ...received, changedAt: 350 }, 360)).to.equal('news');
      expect(judge(361).kind).to.equal('held');
    });
    it('holds a copy back while another one runs', () => {
      record.recordTargetEnd('q', makeEnd(1), 0);
      record.start('q');
      expect(judge(10)).to.include({ kind: 'held' });
      record.finish('q');
      expect(judge(20).kind).to.equal('suspect');
    });
    it('needs one more end while targets also end on their own', () => {
      for (let target = 10; target < 20; target += 1) {
        record.recordTargetEnd(`other-${target}`, makeEnd(target), 0);
      }
      record.recordTargetEnd('q', makeEnd(1), 100);
      record.recordTargetEnd('q', makeEnd(2), 300);
      expect(judge(400).kind).to.equal('suspect');
      record.recordTargetEnd('q', makeEnd(3), 500);
      expect(judge(600).kind).to.equal('held');
    });
    it('does not count ends that other poison requests explain as chance', () => {
      for (let index = 0; index < 20; index += 1) {
        record.recordTargetEnd(`other-${index}`, makeEnd(10 + 2 * index), 0);
        record.recordTargetEnd(`other-${index}`, makeEnd(11 + 2 * index), 50);
      }
      record.recordTargetEnd('q', makeEnd(1), 100);
      record.recordTargetEnd('q', makeEnd(2), 300);
      expect(judge(400).kind).to.equal('held');
    });
  });

  describe('a trial of a request that is held out', () => {
    beforeEach(() => {
      record.recordTargetEnd('q', makeEnd(1), 0);
      record.recordTargetEnd('q', makeEnd(2), 100);
    });
    /**
     * Asks every second for a day, and ends a target at each trial; returns the number of ended
     * targets.
     */
    const countEnds = (context: Partial<PoisonContext>) => {
      let ended = 0;
      for (let now = 1000; now < DAY; now += 1000) {
        if (judge(now, context).kind !== 'suspect') continue;
        ended += 1;
        record.recordTargetEnd('q', makeEnd(100 + ended), now);
      }
      return ended;
    };
    it('is made by one daemon only, and costs at most two targets a day', () => {
      expect(countEnds({ mayRunTrials: false })).to.equal(0);
      expect(countEnds({})).to.equal(2);
    });
    it('is made at once at a new release, and only there', () => {
      const releases = new Set(['v1', 'v2']);
      expect(judge(500, { releases })).to.deep.equal({ kind: 'suspect', avoidedReleases: ['v1'] });
      record.recordTargetEnd('q', makeEnd(3, 'v2'), 600);
      expect(judge(700, { releases }).kind).to.equal('held');
    });
    it('that succeeds clears the request at the other daemons, also at those that still report it', () => {
      const heldOut = record.findCase('q');
      record.recordAnswer('q', 20_000);
      expect(record.receive(heldOut ?? expect.fail('held'), 30_000)).to.equal('outdated');
      const other = new PoisonRecord();
      other.recordTargetEnd('q', makeEnd(1), 0);
      other.recordTargetEnd('q', makeEnd(2), 100);
      const cleared = record.findCase('q') ?? expect.fail('remembered');
      expect(other.receive(cleared, 30_000)).to.equal('news');
      expect(other.judge('q', { ...CONTEXT, now: 30_001 }).kind).to.equal('clear');
    });
  });

  describe('cases of other daemons', () => {
    it('give the same result in any order, and when received more than once', () => {
      const poisonCase = fc.record({
        ended: fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 3 }),
        changedAt: fc.integer({ min: 0, max: 1000 }),
      });
      const casesAndShuffled = fc
        .array(poisonCase, { maxLength: 6 })
        .chain((cases) =>
          fc.tuple(
            fc.constant(cases),
            fc.shuffledSubarray([...cases, ...cases], { minLength: 2 * cases.length }),
          ),
        );
      const collect = (cases: readonly Pick<PoisonCase, 'ended' | 'changedAt'>[]) => {
        const receiver = new PoisonRecord();
        for (const { ended, changedAt } of cases) {
          receiver.receive({ request: 'q', ended, releases: ['v1'], changedAt }, 2000);
        }
        return [...(receiver.findCase('q')?.ended ?? [])].sort();
      };
      const check = fc.property(casesAndShuffled, ([cases, shuffled]) => {
        expect(collect(shuffled)).to.deep.equal(collect(cases));
      });
      fc.assert(check, { seed: 27, numRuns: 300 });
    });
  });

  describe('memory', () => {
    it('is bounded when a hundred thousand requests lose one target each, and keeps held-out requests', () => {
      record.recordTargetEnd('q', makeEnd(1), 0);
      record.recordTargetEnd('q', makeEnd(2), 1);
      for (let index = 0; index < 100_000; index += 1) {
        record.recordTargetEnd(
          `${String(index).padStart(16, '0')}-body`,
          makeEnd(index),
          2 + index / 100,
        );
      }
      expect(record.listChangedSince(-Infinity).length).to.be.at.most(4096);
      expect(record.listHeldOut().map(({ request }) => request)).to.deep.equal(['q']);
      expect(record.mayKnowHead('0'.repeat(16))).to.equal(false);
    });
    it('keeps blamed requests for a day and answered ones for a minute', () => {
      record.recordTargetEnd('q', makeEnd(1), 0);
      record.recordTargetEnd('a', makeEnd(1), 0);
      record.recordAnswer('a', 10);
      record.recordTargetEnd('x', makeEnd(3), 2 * MINUTE);
      expect(record.listChangedSince(-Infinity).map(({ request }) => request)).to.have.members([
        'q',
        'x',
      ]);
      record.recordTargetEnd('y', makeEnd(4), DAY + 3 * MINUTE);
      expect(record.listChangedSince(-Infinity).map(({ request }) => request)).to.deep.equal(['y']);
    });
  });
});

describe('the identity of a request', () => {
  const hold = (text: string) => ({ kind: 'whole' as const, data: Buffer.from(text) });
  const traits: RequestTraits = {
    ...{ method: 'POST', host: 'a.example', path: '/p?x=1', caller: '10.0.0.9' },
    ...{ body: hold('body'), bodyBytes: 4 },
  };
  const listFingerprints = (changes: Partial<RequestTraits> = {}) =>
    new RequestIdentity({ ...traits, ...changes }).fingerprints;
  const getFingerprint = (changes: Partial<RequestTraits> = {}) => listFingerprints(changes)[0];
  it('consists of method, host, path with parameters, caller and body', () => {
    expect(getFingerprint()).to.equal(getFingerprint({ body: hold('body') }));
    const others = [
      ...[{ method: 'PUT' }, { host: 'b.example' }, { path: '/p?x=2' }, { caller: '10.0.0.8' }],
      ...[{ body: hold('bodY') }, { body: { kind: 'none' as const }, bodyBytes: 0 }],
      // The boundaries of the parts are part of the digest.
      { host: 'a.example/p', path: '?x=1' },
    ];
    expect(new Set([getFingerprint(), ...others.map(getFingerprint)]).size).to.equal(
      others.length + 1,
    );
  });
  it('uses the length of a body that is not buffered', () => {
    const source = Readable.from([]);
    const body = { kind: 'stream' as const, source, length: undefined };
    expect(getFingerprint({ body, bodyBytes: 9_000_000 })).to.equal(
      getFingerprint({ body, bodyBytes: 9_000_000 }),
    );
    expect(getFingerprint({ body, bodyBytes: 9_000_000 })).to.not.equal(
      getFingerprint({ body, bodyBytes: 9_000_001 }),
    );
  });
  it('has wider forms for any parameters and any caller, but never for another path or body', () => {
    const [exact, anyParameters, anyCaller] = listFingerprints();
    expect(listFingerprints({ path: '/p?y=2' }).slice(1)).to.deep.equal([anyParameters, anyCaller]);
    expect(listFingerprints({ caller: '10.0.0.8' })[2]).to.equal(anyCaller);
    expect(listFingerprints({ path: '/p' })).to.deep.equal([anyParameters, anyCaller]);
    const others = [
      ...listFingerprints({ path: '/q?x=1' }),
      ...listFingerprints({ body: { kind: 'none' } }),
      ...listFingerprints({ host: 'b' }),
    ];
    expect(others).to.not.include.members([exact]);
    expect(others).to.not.include.members([anyParameters]);
    expect(others).to.not.include.members([anyCaller]);
  });
  it('begins with the digest of the head, which is known before the body', () => {
    const { headDigests, fingerprints } = new RequestIdentity(traits);
    for (const [index, digest] of headDigests.entries())
      expect(fingerprints[index].startsWith(digest)).to.equal(true);
    expect(getFingerprint({ body: hold('other') }).startsWith(headDigests[0])).to.equal(true);
  });
});
