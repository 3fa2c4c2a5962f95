/** At-most-once execution: one idempotency key at several entries, under faults of the platform. */
import { expect } from 'chai';
import { createSeededRandom, createSystemClock } from '../src/kernel/index.js';
import { type ClaimRequest, Claims } from '../src/once/index.js';
import type { Platform, WriteResult } from '../src/platform/index.js';
import { Store, createStorePlatform } from '../src/standin/index.js';

const clock = createSystemClock();

function createRequest(key: string, request = 'POST /postings', timeout = 400): ClaimRequest {
  return { service: 'ledger', key, request, window: 60_000, deadline: clock.now() + timeout };
}

type SwapFault = 'fine' | 'lost' | 'lost-before' | 'refused';

function injectSwapFaults(inner: Platform, faults: readonly SwapFault[]): Platform {
  let swapIndex = 0;
  return {
    ...inner,
    async swap(swap): Promise<WriteResult> {
      const fault = faults[swapIndex] ?? 'fine';
      swapIndex += 1;
      if (fault === 'refused') return { kind: 'refused', reason: 'test' };
      if (fault === 'lost-before') return { kind: 'unknown', reason: 'test' };
      const result = await inner.swap(swap);
      return fault === 'lost' ? { kind: 'unknown', reason: 'test' } : result;
    },
  };
}

describe('claims', () => {
  let store: Store;
  let seed = 0;

  const openClaims = (faults: readonly SwapFault[] = []) => {
    seed += 1;
    const platform = injectSwapFaults(createStorePlatform(store, clock), faults);
    return new Claims(platform, clock, createSeededRandom(seed));
  };

  beforeEach(() => {
    store = new Store(clock);
  });

  describe('one key at several entries', () => {
    it('is claimed by exactly one', async () => {
      const entries = Array.from({ length: 12 }, () => openClaims());
      const results = await Promise.all(entries.map((claims) => claims.claim(createRequest('k'))));
      const kinds = results.map(({ kind }) => kind);
      expect(kinds.filter((kind) => kind === 'claimed')).to.have.length(1);
      expect(kinds.filter((kind) => kind === 'duplicate')).to.have.length(11);
    });

    it('can be claimed again after a release', async () => {
      const first = await openClaims().claim(createRequest('k'));
      if (first.kind === 'claimed') await first.release();
      expect((await openClaims().claim(createRequest('k'))).kind).to.equal('claimed');
    });

    it('keeps the claim of another call when a release is repeated', async () => {
      const first = await openClaims().claim(createRequest('k'));
      if (first.kind !== 'claimed') throw new Error('not claimed');
      await first.release();
      await openClaims().claim(createRequest('k'));
      await first.release();
      expect((await openClaims().claim(createRequest('k'))).kind).to.equal('duplicate');
    });

    it('is refused as a mismatch for another path', async () => {
      await openClaims().claim(createRequest('k', 'POST /postings'));
      expect((await openClaims().claim(createRequest('k', 'POST /deposits'))).kind).to.equal(
        'mismatch',
      );
    });
  });

  describe('when the platform fails', () => {
    const ROWS: readonly { ways: readonly SwapFault[]; kind: string; stored: boolean }[] = [
      { ways: ['lost'], kind: 'claimed', stored: true },
      { ways: ['lost-before'], kind: 'claimed', stored: true },
      { ways: ['lost', 'lost-before', 'fine'], kind: 'claimed', stored: true },
      { ways: ['refused'], kind: 'unproven', stored: false },
      { ways: Array<SwapFault>(9).fill('lost-before'), kind: 'unproven', stored: false },
    ];
    for (const { ways, kind, stored } of ROWS) {
      it(`replies ${[...new Set(ways)].join(', ')}: ${kind}`, async () => {
        expect((await openClaims(ways).claim(createRequest('k'))).kind).to.equal(kind);
        expect(store.range('once/').items.length > 0).to.equal(stored);
      });
    }

    it('platform down: unproven, and the key stays free', async () => {
      store.setFault({ kind: 'down' });
      expect((await openClaims().claim(createRequest('k'))).kind).to.equal('unproven');
      store.setFault({ kind: 'none' });
      expect((await openClaims().claim(createRequest('k'))).kind).to.equal('claimed');
    });

    it('lost reply: claimed, and another entry sees a duplicate', async () => {
      expect((await openClaims(['lost']).claim(createRequest('k'))).kind).to.equal('claimed');
      expect((await openClaims().claim(createRequest('k'))).kind).to.equal('duplicate');
    });
  });
});
