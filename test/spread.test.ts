/** The configuration reaches all daemons within seconds and never goes back, with any link cut. */
import { expect } from 'chai';
import fc from 'fast-check';
import { pause } from '../src/demo/index.js';
import type { Entry } from '../src/entry/index.js';
import type { Platform, Vm } from '../src/platform/index.js';
import { rankCandidates } from '../src/balance/index.js';
import {
  CONFIG_READERS,
  applyVmChange,
  createVmList,
  diffVmLists,
  mergeVmChanges,
} from '../src/spread/index.js';
import { ManualClock, createMemoryNetwork } from '../src/kernel/index.js';
import { Fleet, putDocuments, waitUntil, writeService } from './helpers/fleet.js';

const TARGET = { host: '127.0.0.1', port: 9 };
const DOWN = { kind: 'unavailable', reason: 'cut' } as const;

/** The link of one daemon to the platform, which a test can cut. */
class PlatformLink {
  cut = false;

  wrap = (inner: Platform): Platform => ({
    read: async (key) => (this.cut ? DOWN : inner.read(key)),
    range: async (prefix) => (this.cut ? DOWN : inner.range(prefix)),
    swap: async (swap) => (this.cut ? { kind: 'refused', reason: 'cut' } : inner.swap(swap)),
    remove: async (removal) =>
      this.cut ? { kind: 'refused', reason: 'cut' } : inner.remove(removal),
    grantLease: async (ttl) => (this.cut ? DOWN : inner.grantLease(ttl)),
    renewLease: async (lease) => (this.cut ? DOWN : inner.renewLease(lease)),
    watch: async (prefix, after, signal) => (this.cut ? DOWN : inner.watch(prefix, after, signal)),
    vms: async () => (this.cut ? DOWN : inner.vms()),
  });
}

function listRevisions(entries: readonly Entry[]): readonly number[] {
  return entries.map(({ follower }) => follower.configuration.revision);
}

describe('distribution of the configuration', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
    putDocuments(fleet.store, { 'service/a': writeService([TARGET]) });
  });

  afterEach(() => fleet.close());

  const change = (path: string) =>
    putDocuments(fleet.store, { 'service/a': writeService([TARGET], `path_prefix = ${path}`) });

  const waitAll = (entries: readonly Entry[], revision: number) =>
    waitUntil(() => listRevisions(entries).every((r) => r === revision), `revision ${revision}`);

  it('reaches every daemon', async () => {
    const entries = [await fleet.start(), await fleet.start('hu/b'), await fleet.start('hu/c')];
    change('/b');
    await waitAll(entries, 2);
  });

  it('reaches a daemon that cannot reach the platform', async () => {
    const link = new PlatformLink();
    const entries = [
      await fleet.start(),
      await fleet.start(),
      await fleet.start('hu/b', link.wrap),
    ];
    link.cut = true;
    change('/b');
    await waitAll(entries, 2);
  });

  it('reaches a daemon that cannot reach its peers', async () => {
    const entries = [await fleet.start(), await fleet.start(), await fleet.start()];
    const alone = `127.0.1.3:1`;
    fleet.transports.isLinkCut = (from, to) => from === alone || to === alone;
    change('/b');
    await waitAll(entries, 2);
  });

  it('reaches every daemon when a watch misses changes', async () => {
    const entries = [await fleet.start(), await fleet.start()];
    fleet.store.setFault({ kind: 'skip-watches' });
    change('/b');
    await waitAll(entries, 2);
  });

  it('reaches a daemon from its peers when it starts without the platform', async () => {
    await fleet.start();
    const link = new PlatformLink();
    link.cut = true;
    const fresh = await fleet.start('hu/b', link.wrap);
    // The new daemon cannot read the list of VMs, so another daemon has to discover it.
    await waitUntil(() => fresh.follower.configuration.revision === 1, 'fetched from peer');
  }).timeout(20_000);

  it('does not go back when the platform returns an older revision', async () => {
    const [first] = [await fleet.start(), await fleet.start()];
    const older = fleet.store.read('config/head');
    change('/b');
    await waitUntil(() => first?.follower.configuration.revision === 2, 'revision 2');
    const now = fleet.store.read('config/head');
    if (older.kind !== 'found' || now.kind !== 'found') throw new Error('no head');
    fleet.store.swap({ key: 'config/head', value: older.item.value, expect: now.item.version });
    await first?.follower.readPlatform();
    expect(first?.follower.configuration.revision).to.equal(2);
  });

  it('reports that no configuration is known while the platform is down', async () => {
    fleet.store.setFault({ kind: 'down' });
    const entry = await fleet.start();
    expect(entry.follower.hasConfiguration).to.equal(false);
  });

  it('keeps the configuration in force during an outage, with a growing proof age', async () => {
    const entry = await fleet.start();
    fleet.store.setFault({ kind: 'down' });
    const before = entry.follower.proofAge;
    await pause(50);
    expect(entry.follower.configuration.revision).to.equal(1);
    expect(entry.follower.proofAge).to.be.above(before);
  });
});

describe('several daemons in one process', () => {
  it('run with a simulated clock, network and platform', async () => {
    const clock = new ManualClock(1_000_000);
    const fleet = new Fleet({ clock, network: createMemoryNetwork() });
    putDocuments(fleet.store, { 'service/a': writeService([TARGET]) });
    const starting = Promise.all([fleet.start(), fleet.start('hu/b'), fleet.start('hu/c')]);
    let started = false;
    const markStarted = starting.then(() => {
      started = true;
    });
    while (!started) await clock.advance(50);
    await markStarted;
    await clock.advance(10_000);
    expect(listRevisions(fleet.entries)).to.deep.equal([1, 1, 1]);
    for (const entry of fleet.entries) {
      expect(entry.membership.listCandidates()).to.have.length(3);
    }
    putDocuments(fleet.store, { 'service/a': writeService([TARGET], 'path_prefix = /b') });
    await clock.advance(5_000);
    expect(listRevisions(fleet.entries)).to.deep.equal([2, 2, 2]);
    fleet.close();
  });
});

describe('when the readers cannot reach the platform', () => {
  it('other daemons replace them, so that a later change arrives within 2.5 seconds', async () => {
    const clock = new ManualClock(1_000_000);
    const fleet = new Fleet({ clock, network: createMemoryNetwork() });
    putDocuments(fleet.store, { 'service/a': writeService([TARGET]) });
    const links = Array.from({ length: 6 }, () => new PlatformLink());
    const starting = Promise.all(links.map((link, i) => fleet.start(`hu/${i % 3}`, link.wrap)));
    let started = false;
    const markStarted = starting.then(() => {
      started = true;
    });
    while (!started) await clock.advance(50);
    await markStarted;
    await clock.advance(10_000);
    const [first] = fleet.entries as [Entry];
    const ranked = rankCandidates('config-readers', first.membership.listCandidates());
    const readers = ranked.slice(0, CONFIG_READERS).map(({ id }) => id);
    for (const [index, entry] of fleet.entries.entries()) {
      if (readers.includes(entry.membership.self.id)) links[index].cut = true;
    }
    await clock.advance(9000);
    putDocuments(fleet.store, { 'service/a': writeService([TARGET], 'path_prefix = /b') });
    await clock.advance(2500);
    expect(listRevisions(fleet.entries)).to.deep.equal([2, 2, 2, 2, 2, 2]);
    fleet.close();
  });
});

describe('the list of VMs', () => {
  const createVm = (port: number, state: Vm['state'] = 'live'): Vm => ({
    ...{ address: { host: '10.0.0.1', port }, role: 'ledger', domain: 'hu/a', state },
  });
  const lists = fc
    .array(fc.tuple(fc.integer({ min: 1, max: 8 }), fc.boolean()))
    .map((items) =>
      createVmList(items.map(([port, live]) => createVm(port, live ? 'live' : 'leaving'))),
    );

  it('is the same when built from merged changes as when sent whole', () => {
    fc.assert(
      fc.property(lists, lists, lists, (a, b, c) => {
        const changes = [diffVmLists(a, b), diffVmLists(b, c)];
        const joined = applyVmChange(a, mergeVmChanges(changes));
        expect(Object.fromEntries(joined)).to.deep.equal(Object.fromEntries(c));
      }),
      { seed: 3 },
    );
  });

  it("reaches a service's home, whole at first and then as changes", async () => {
    const fleet = new Fleet();
    for (let port = 1; port <= 50; port += 1) fleet.store.putVm(createVm(port));
    const role = '[service]\nhosts = test.example\n[pool]\nrole = ledger\nslots = 2\n';
    putDocuments(fleet.store, { 'service/a': role });
    const entries = [await fleet.start(), await fleet.start('hu/b'), await fleet.start('hu/c')];
    const home = () => entries.find((entry) => entry.table.findByName('a')?.placement.isHome);
    const countTargets = () => home()?.table.findByName('a')?.listPools()[0]?.pool.targets.length;
    await waitUntil(() => countTargets() === 50, 'all targets are known');
    fleet.store.removeVm('10.0.0.1:7');
    fleet.store.putVm(createVm(60));
    fleet.store.putVm(createVm(61));
    await waitUntil(() => countTargets() === 51, 'the change is known');
    fleet.close();
  });
});
