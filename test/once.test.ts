/** At most once: the same idempotency key at several entries, through every fault of the platform. */
import { expect } from 'chai';
import { createSeededRandom, createSystemClock } from '../src/kernel/index.js';
import { type ClaimRequest, Claims } from '../src/once/index.js';
import type { Platform, WriteResult } from '../src/platform/index.js';
import { Store, createStorePlatform } from '../src/standin/index.js';

const clock = createSystemClock();

function ask(key: string, request = 'POST /postings', time = 400): ClaimRequest {
  return { service: 'ledger', key, request, window: 60_000, deadline: clock.now() + time };
}

type Way = 'fine' | 'lost' | 'lost-before' | 'refused';

function breakClaims(inner: Platform, ways: readonly Way[]): Platform {
  let turn = 0;
  return {
    ...inner,
    async swap(swap): Promise<WriteResult> {
      const way = ways[turn] ?? 'fine';
      turn += 1;
      if (way === 'refused') return { kind: 'refused', reason: 'test' };
      if (way === 'lost-before') return { kind: 'unknown', reason: 'test' };
      const result = await inner.swap(swap);
      return way === 'lost' ? { kind: 'unknown', reason: 'test' } : result;
    },
  };
}

describe('claims', () => {
  let store: Store;
  let seed = 0;

  const open = (ways: readonly Way[] = []) => {
    seed += 1;
    const platform = breakClaims(createStorePlatform(store, clock), ways);
    return new Claims(platform, clock, createSeededRandom(seed));
  };

  beforeEach(() => {
    store = new Store(clock);
  });

  describe('one key at several entries', () => {
    it('is claimed by exactly one', async () => {
      const entries = Array.from({ length: 12 }, () => open());
      const results = await Promise.all(entries.map((claims) => claims.claim(ask('k'))));
      const kinds = results.map(({ kind }) => kind);
      expect(kinds.filter((kind) => kind === 'claimed')).to.have.length(1);
      expect(kinds.filter((kind) => kind === 'duplicate')).to.have.length(11);
    });

    it('is free again after the call was shown not to have run', async () => {
      const first = await open().claim(ask('k'));
      if (first.kind === 'claimed') await first.release();
      expect((await open().claim(ask('k'))).kind).to.equal('claimed');
    });

    it('does not free the claim of another call', async () => {
      const first = await open().claim(ask('k'));
      if (first.kind !== 'claimed') throw new Error('not claimed');
      await first.release();
      await open().claim(ask('k'));
      await first.release();
      expect((await open().claim(ask('k'))).kind).to.equal('duplicate');
    });

    it('is a mistake of the caller for another path', async () => {
      await open().claim(ask('k', 'POST /postings'));
      expect((await open().claim(ask('k', 'POST /deposits'))).kind).to.equal('mismatch');
    });
  });

  describe('a platform that fails', () => {
    const ROWS: readonly { ways: readonly Way[]; kind: string; stored: boolean }[] = [
      { ways: ['lost'], kind: 'claimed', stored: true },
      { ways: ['lost-before'], kind: 'claimed', stored: true },
      { ways: ['lost', 'lost-before', 'fine'], kind: 'claimed', stored: true },
      { ways: ['refused'], kind: 'unproven', stored: false },
      { ways: Array<Way>(9).fill('lost-before'), kind: 'unproven', stored: false },
    ];
    for (const { ways, kind, stored } of ROWS) {
      it(`${[...new Set(ways)].join(', ')}: ${kind}`, async () => {
        expect((await open(ways).claim(ask('k'))).kind).to.equal(kind);
        expect(store.range('once/').items.length > 0).to.equal(stored);
      });
    }

    it('down: unproven, and the key stays free', async () => {
      store.setFault({ kind: 'down' });
      expect((await open().claim(ask('k'))).kind).to.equal('unproven');
      store.setFault({ kind: 'none' });
      expect((await open().claim(ask('k'))).kind).to.equal('claimed');
    });

    it('a lost reply, then another entry: the other one sees a duplicate', async () => {
      expect((await open(['lost']).claim(ask('k'))).kind).to.equal('claimed');
      expect((await open().claim(ask('k'))).kind).to.equal('duplicate');
    });
  });
});
