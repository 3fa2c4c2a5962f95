/** The contract of every platform adapter, with its behaviour under faults in a table. */
import { expect } from 'chai';
import { createSystemClock } from '../src/kernel/index.js';
import {
  type Platform,
  createKvPlatform,
  createKvStore,
  createMeteredPlatform,
} from '../src/platform/index.js';
import { type Fault, KvServer, Store, createStorePlatform } from '../src/standin/index.js';

interface Fixture {
  readonly platform: Platform;
  readonly store: Store;
  readonly close: () => void;
}

const clock = createSystemClock();
const TIMEOUT = 150;

async function openHttp(): Promise<Fixture> {
  const standin = new KvServer(clock);
  const platform = createKvPlatform(createKvStore(await standin.start(), TIMEOUT, 16));
  const close = () => {
    platform.close();
    standin.stop();
  };
  return { platform, store: standin.store, close };
}

async function openStore(): Promise<Fixture> {
  const store = new Store(clock);
  return { store, platform: createStorePlatform(store, clock), close: () => undefined };
}

const ADAPTERS = [
  { name: 'over HTTP', open: openHttp },
  { name: 'in this process', open: openStore },
];

interface FaultRow {
  readonly fault: Fault;
  readonly read: string;
  readonly write: readonly string[];
  /** Whether the write took effect nevertheless. */
  readonly applied: boolean;
}

const FAULTS: readonly FaultRow[] = [
  { fault: { kind: 'none' }, read: 'found', write: ['written'], applied: true },
  { fault: { kind: 'down' }, read: 'unavailable', write: ['unknown', 'refused'], applied: false },
  { fault: { kind: 'silent' }, read: 'unavailable', write: ['unknown', 'refused'], applied: false },
  { fault: { kind: 'busy' }, read: 'unavailable', write: ['refused'], applied: false },
  { fault: { kind: 'many' }, read: 'unavailable', write: ['refused'], applied: false },
  { fault: { kind: 'slow', delay: 20 }, read: 'found', write: ['written'], applied: true },
  { fault: { kind: 'lose-write-replies' }, read: 'found', write: ['unknown'], applied: true },
];

for (const { name, open } of ADAPTERS) {
  describe(`platform adapter ${name}`, () => {
    let fixture: Fixture;

    beforeEach(async () => {
      fixture = await open();
    });

    afterEach(() => fixture.close());

    const put = (key: string, value: string, expect_ = 0, lease?: string) =>
      fixture.platform.swap({ key, value, expect: expect_, lease });

    describe('compare-and-swap', () => {
      it('creates an item only when there is none', async () => {
        expect((await put('a', '1')).kind).to.equal('written');
        const second = await put('a', '2');
        expect(second).to.deep.include({ kind: 'conflict' });
        expect(second.kind === 'conflict' && second.current?.value).to.equal('1');
      });

      it('replaces only the version it expects, and versions grow', async () => {
        const first = await put('a', '1');
        const version = first.kind === 'written' ? first.version : 0;
        const second = await put('a', '2', version);
        expect(second.kind === 'written' && second.version > version).to.equal(true);
        expect((await put('a', '3', version)).kind).to.equal('conflict');
      });

      it('removes only the version it expects', async () => {
        await put('a', '1');
        expect((await fixture.platform.remove({ key: 'a', expect: 99 })).kind).to.equal('conflict');
        const read = await fixture.platform.read('a');
        const version = read.kind === 'found' ? read.item.version : 0;
        expect((await fixture.platform.remove({ key: 'a', expect: version })).kind).to.equal(
          'written',
        );
        expect((await fixture.platform.read('a')).kind).to.equal('absent');
      });

      it('refuses a value over a megabyte and writes nothing', async () => {
        expect((await put('a', 'x'.repeat(1_000_001))).kind).to.equal('refused');
        expect((await fixture.platform.read('a')).kind).to.equal('absent');
      });

      it('lets exactly one of many concurrent writers win', async () => {
        const results = await Promise.all(
          Array.from({ length: 20 }, (_, i) => put('one', String(i))),
        );
        expect(results.filter(({ kind }) => kind === 'written')).to.have.length(1);
      });
    });

    describe('leases', () => {
      it('remove their items when they lapse, and cannot be renewed afterwards', async () => {
        const lease = await fixture.platform.grantLease(60);
        const id = lease.kind === 'held' ? lease.lease : '';
        await put('held', 'x', 0, id);
        expect((await fixture.platform.renewLease(id)).kind).to.equal('held');
        fixture.store.lapseLease(id);
        expect((await fixture.platform.read('held')).kind).to.equal('absent');
        expect((await fixture.platform.renewLease(id)).kind).to.equal('lapsed');
        expect((await put('held', 'y', 0, id)).kind).to.equal('refused');
      });
    });

    it('leases that lapsed during an outage have removed their items', async () => {
      const lease = await fixture.platform.grantLease(5000);
      const id = lease.kind === 'held' ? lease.lease : '';
      await put('held', 'x', 0, id);
      fixture.store.setFault({ kind: 'down' });
      fixture.store.lapseAll();
      fixture.store.setFault({ kind: 'none' });
      expect((await fixture.platform.read('held')).kind).to.equal('absent');
      expect((await fixture.platform.renewLease(id)).kind).to.equal('lapsed');
    });

    describe('watches', () => {
      it('report an earlier change, and one that comes while waiting', async () => {
        const { signal } = new AbortController();
        await put('w/a', '1');
        expect((await fixture.platform.watch('w/', 0, signal)).kind).to.equal('changed');
        const { version } = fixture.store.range('');
        const waiting = fixture.platform.watch('w/', version, signal);
        setTimeout(() => put('w/b', '2'), 20);
        expect((await waiting).kind).to.equal('changed');
      });

      it('report that history is gone, so that the range is read again', async () => {
        await put('w/a', '1');
        await put('w/b', '2');
        fixture.store.compact();
        const { signal } = new AbortController();
        expect((await fixture.platform.watch('w/', 1, signal)).kind).to.equal('gap');
      });

      it('are ended by their signal', async () => {
        const abort = new AbortController();
        setTimeout(() => abort.abort(), 20);
        const result = await fixture.platform.watch('w/', 0, abort.signal);
        expect(['quiet', 'unavailable']).to.include(result.kind);
      });

      it('fail when the service closes them', async () => {
        const waiting = fixture.platform.watch('w/', 0, new AbortController().signal);
        setTimeout(() => fixture.store.setFault({ kind: 'close-watches' }), 30);
        expect((await waiting).kind).to.equal('unavailable');
      });
    });

    describe('ranges and VMs', () => {
      it('are complete when they take several pages', async () => {
        for (let index = 100; index < 230; index += 1) fixture.store.put(`p/${index}`, 'x');
        const range = await fixture.platform.range('p/');
        expect(range.kind === 'items' && range.items).to.have.length(130);
      });

      it('list items by prefix, and VMs', async () => {
        await put('r/a', '1');
        await put('r/b', '2');
        await put('s', '3');
        const range = await fixture.platform.range('r/');
        expect(range.kind === 'items' && range.items.map(({ key }) => key)).to.deep.equal([
          'r/a',
          'r/b',
        ]);
        const address = { host: '127.0.0.1', port: 9 };
        fixture.store.putVm({ address, role: 'ledger', domain: 'hu/a', state: 'live' });
        fixture.store.setFault({ kind: 'stale' });
        fixture.store.putVm({ address, role: 'ledger', domain: 'hu/a', state: 'leaving' });
        const vms = await fixture.platform.vms();
        expect(vms.kind === 'vms' && vms.vms[0]?.state).to.equal('live');
      });
    });

    describe('faults', () => {
      for (const { fault, read, write, applied } of FAULTS) {
        it(`${fault.kind}: read ${read}, write ${write.join(' or ')}`, async () => {
          await put('there', '1');
          fixture.store.setFault(fault);
          expect((await fixture.platform.read('there')).kind).to.equal(read);
          expect(write).to.include((await put('new', '2')).kind);
          fixture.store.setFault({ kind: 'none' });
          const after = await fixture.platform.read('new');
          expect(after.kind).to.equal(applied ? 'found' : 'absent');
        });
      }
    });
  });
}

describe('the call budget of a daemon', () => {
  it('holds calls back unsent, and counts them', async () => {
    const store = new Store(clock);
    const metered = createMeteredPlatform(createStorePlatform(store, clock), 5, clock);
    const results = await Promise.all(Array.from({ length: 9 }, () => metered.read('a')));
    expect(results.filter(({ kind }) => kind === 'unavailable')).to.have.length(4);
    expect(store.counts.reads).to.equal(5);
    expect(metered.counts()).to.deep.include({ heldBack: 4 });
  });
});
