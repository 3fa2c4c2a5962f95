import { expect } from 'chai';
import { type KvStore, createKvStore } from '../src/platform/index.js';
import { KvStandin, type KvFault } from '../src/standin/index.js';

const TIMEOUT = 150;

describe("the client of the users' store", () => {
  let standin: KvStandin;
  let store: KvStore;
  beforeEach(async () => {
    standin = new KvStandin();
    store = createKvStore(await standin.start(), TIMEOUT);
  });
  afterEach(() => {
    store.close();
    standin.stop();
  });

  describe('answers', () => {
    it('reads, pages, and watches what was written', async () => {
      for (let index = 0; index < 120; index += 1) standin.put(`p/${1000 + index}`, `v${index}`);
      const first = await store.readItems('p/', '', false);
      expect(first).to.include({ kind: 'items', hasMore: true, storeRevision: 121 });
      const item = await store.readItem('p/1003', false);
      expect(item).to.have.nested.property('item.text', 'v3');
      const watch = store.watch('p/', 121, 1000);
      standin.put('p/1003', 'ő');
      standin.remove('p/1004');
      expect(await watch).to.have.nested.property('events[0].item.text', 'ő');
      const rest = await store.watch('p/', 122, 1000);
      expect(rest).to.deep.include({
        events: [{ kind: 'removed', key: 'p/1004', revision: 123 }],
        storeRevision: 123,
      });
    });
    it('says that a key is absent, a condition failed, or history is gone', async () => {
      expect(await store.readItem('x', false)).to.deep.equal({ kind: 'absent' });
      expect(await store.write({ key: 'x', text: '1', expected: 0 })).to.have.property(
        'kind',
        'done',
      );
      const again = await store.write({ key: 'x', text: '2', expected: 0 });
      expect(again).to.deep.equal({ kind: 'condition-failed' });
      standin.compact();
      expect(await store.watch('x', 1, 100)).to.deep.equal({ kind: 'history-gone' });
    });
  });

  describe('faults', () => {
    const cases: readonly (readonly [KvFault, string, string])[] = [
      [{ kind: 'silent' }, 'unknown', 'unknown'],
      [{ kind: 'busy' }, 'not-done', 'not-done'],
      [{ kind: 'many' }, 'not-done', 'not-done'],
      [{ kind: 'reset' }, 'unknown', 'unknown'],
      [{ kind: 'slow', delay: 400 }, 'unknown', 'unknown'],
      [{ kind: 'slow', delay: 50 }, 'item', 'done'],
      [{ kind: 'lost', after: 10 }, 'item', 'unknown'],
    ];
    for (const [fault, read, write] of cases) {
      it(`${JSON.stringify(fault)}: a read is ${read}, a write ${write}`, async () => {
        standin.put('k', 'v');
        standin.fault = fault;
        expect(await store.readItem('k', false)).to.have.property('kind', read);
        const written = await store.write({ key: 'w', text: 'v', expected: 0 });
        expect(written).to.have.property('kind', write);
        standin.fault = { kind: 'none' };
        expect(await store.readItem('k', false)).to.have.property('kind', 'item');
      });
    }
    it('a cut watch is unknown, and the next call works', async () => {
      standin.put('k', 'v');
      const watch = store.watch('k', 2, 1000);
      setTimeout(() => standin.cutConnections(), 30);
      expect(await watch).to.have.property('kind', 'unknown');
      expect(await store.readItem('k', false)).to.have.property('kind', 'item');
    });
    it('a store that is not there has certainly done nothing', async () => {
      const gone = createKvStore({ host: '127.0.0.1', port: 1 }, TIMEOUT);
      expect(await gone.write({ key: 'k', text: 'v', expected: 0 })).to.have.property(
        'kind',
        'not-done',
      );
      gone.close();
    });
  });
});
