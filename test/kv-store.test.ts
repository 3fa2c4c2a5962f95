import { expect } from 'chai';
import { type KvStore, createKvStore } from '../src/platform/index.js';
import { type Fault, KvServer } from '../src/standin/index.js';

const TIMEOUT = 150;

describe("the client of the users' store", () => {
  let standin: KvServer;
  let store: KvStore;
  beforeEach(async () => {
    standin = new KvServer();
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
      expect(first).to.include({ kind: 'items', hasMore: true, storeRevision: 120 });
      const item = await store.readItem('p/1003', false);
      expect(item).to.have.nested.property('item.text', 'v3');
      const watch = store.watch('p/', 120, 1000);
      standin.put('p/1003', 'ő');
      standin.remove('p/1004');
      expect(await watch).to.have.nested.property('events[0].item.text', 'ő');
      const rest = await store.watch('p/', 121, 1000);
      expect(rest).to.deep.include({
        events: [{ kind: 'removed', key: 'p/1004', revision: 122 }],
        storeRevision: 122,
      });
    });
    it('reports that a key is absent, a condition failed, or history is gone', async () => {
      expect(await store.readItem('x', false)).to.deep.equal({ kind: 'absent' });
      expect(await store.write({ key: 'x', text: '1', expected: 0 })).to.have.property(
        'kind',
        'done',
      );
      const again = await store.write({ key: 'x', text: '2', expected: 0 });
      expect(again).to.have.property('kind', 'condition-failed');
      expect(again).to.have.nested.property('current.text', '1');
      standin.compact();
      expect(await store.watch('x', 0, 100)).to.deep.equal({ kind: 'history-gone' });
    });
  });

  describe('faults', () => {
    const cases: readonly (readonly [Fault, string, string])[] = [
      [{ kind: 'silent' }, 'unknown', 'unknown'],
      [{ kind: 'busy' }, 'not-done', 'not-done'],
      [{ kind: 'many' }, 'not-done', 'not-done'],
      [{ kind: 'down' }, 'unknown', 'unknown'],
      [{ kind: 'slow', delay: 400 }, 'unknown', 'unknown'],
      [{ kind: 'slow', delay: 50 }, 'item', 'done'],
      [{ kind: 'lose-write-replies', after: 10 }, 'item', 'unknown'],
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
    it('an unanswered write may be applied seconds later, if its condition still holds', async () => {
      standin.fault = { kind: 'lose-write-replies', after: 300 };
      const late = store.write({ key: 'a', text: 'late', expected: 0 });
      const overtaken = store.write({ key: 'b', text: 'late', expected: 0 });
      expect(await late).to.have.property('kind', 'unknown');
      expect(await overtaken).to.have.property('kind', 'unknown');
      standin.fault = { kind: 'none' };
      expect(await store.readItem('a', false)).to.have.property('kind', 'absent');
      await store.write({ key: 'b', text: 'other', expected: 0 });
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
      expect(await store.readItem('a', false)).to.have.nested.property('item.text', 'late');
      expect(await store.readItem('b', false)).to.have.nested.property('item.text', 'other');
    });
    it('a stale read may return an old value, a linearizable one does not', async () => {
      standin.put('k', 'old');
      standin.fault = { kind: 'stale' };
      standin.put('k', 'new');
      expect(await store.readItem('k', true)).to.have.nested.property('item.text', 'old');
      expect(await store.readItem('k', false)).to.have.nested.property('item.text', 'new');
    });
    it('writes to keys of operators and targets are refused', async () => {
      for (const key of ['op/config', 'servers/i-1']) {
        const written = await store.write({ key, text: 'x', expected: 0 });
        expect(written).to.include({ kind: 'not-done', reason: 'status 403' });
      }
    });
    it('a lapsed lease cannot be renewed or hold a key', async () => {
      const granted = await store.grantLease(1000);
      const lease = granted.kind === 'held' ? granted.lease : '';
      expect(await store.renewLease(lease)).to.include({ kind: 'held', lease });
      standin.store.lapseLease(lease);
      expect(await store.renewLease(lease)).to.have.property('kind', 'lapsed');
      const written = await store.write({ key: 'k', text: 'x', expected: 0, lease });
      expect(written).to.have.property('kind', 'not-done');
    });
    it('a watch whose connection is cut is unknown, and the next call works', async () => {
      standin.put('k', 'v');
      const watch = store.watch('k', 1, 1000);
      setTimeout(() => standin.cutConnections(), 30);
      expect(await watch).to.have.property('kind', 'unknown');
      expect(await store.readItem('k', false)).to.have.property('kind', 'item');
    });
    it('a write to a store that does not listen is certainly not applied', async () => {
      const gone = createKvStore({ host: '127.0.0.1', port: 1 }, TIMEOUT);
      expect(await gone.write({ key: 'k', text: 'v', expected: 0 })).to.have.property(
        'kind',
        'not-done',
      );
      gone.close();
    });
  });
});
