import { expect } from 'chai';
import { ManualClock, createSeededRandom, createSilentLog } from '../src/kernel/index.js';
import { KEYS, type KvReader, type StoreEvent, type WatchAnswer } from '../src/platform/index.js';
import { ReaderRole } from '../src/peering/index.js';
import { FleetView, StoreReader, planPropagation } from '../src/view/index.js';
import { HOST, writeConfiguration, writeTarget } from '../src/standin/index.js';
import { createView } from './helpers/targets.js';

const readTimes = () => planPropagation(3000);

const ADDRESS = { host: '10.0.0.1', port: 80 };

/** A store in memory whose answers the test sets through its fields. */
class ScriptedStore implements KvReader {
  targets: Record<string, { readonly text: string; readonly revision: number }> = {};

  configuration = { text: writeConfiguration(1, [{ prefix: '/a/' }]), revision: 2 };

  revision = 10;

  events: StoreEvent[] = [];

  isDown = false;

  hasHistory = true;

  calls = 0;

  /** The timeouts of the watches so far. */
  readonly waits: number[] = [];

  async readItem() {
    this.calls += 1;
    if (this.isDown) return { kind: 'unknown' as const, reason: 'down' };
    const item = { key: KEYS.configuration, ...this.configuration };
    return { kind: 'item' as const, item, storeRevision: this.revision };
  }

  async readItems(prefix: string) {
    this.calls += 1;
    if (this.isDown) return { kind: 'unknown' as const, reason: 'down' };
    const all = [
      { key: KEYS.configuration, ...this.configuration },
      ...Object.entries(this.targets).map(([id, value]) => ({ key: KEYS.targets + id, ...value })),
    ];
    const items = all.filter(({ key }) => key.startsWith(prefix));
    return { kind: 'items' as const, items, storeRevision: this.revision, hasMore: false };
  }

  async watch(prefix: string, after: number, wait: number): Promise<WatchAnswer> {
    this.calls += 1;
    this.waits.push(wait);
    if (this.isDown) return { kind: 'unknown', reason: 'down' };
    if (!this.hasHistory) return { kind: 'history-gone' };
    const revisionOf = (event: StoreEvent) =>
      event.kind === 'written' ? event.item.revision : event.revision;
    const keyOf = (event: StoreEvent) => (event.kind === 'written' ? event.item.key : event.key);
    const events = this.events.filter(
      (event) => revisionOf(event) > after && keyOf(event).startsWith(prefix),
    );
    return { kind: 'events', events, storeRevision: this.revision };
  }

  /** Writes or removes a target's entry, as seen by reads and by watches. */
  change(id: string, text: string | undefined): void {
    this.revision += 1;
    const { revision } = this;
    const key = KEYS.targets + id;
    if (text === undefined) {
      delete this.targets[id];
      this.events.push({ kind: 'removed', key, revision });
      return;
    }
    this.targets[id] = { text, revision };
    this.events.push({ kind: 'written', item: { key, text, revision } });
  }
}

describe('the view of a daemon', () => {
  describe('with updates in any order', () => {
    it('never adopts a configuration of an older revision or version', () => {
      const view = createView();
      view.setConfiguration(writeConfiguration(9, [{ prefix: '/new/' }]), 50);
      view.setConfiguration(writeConfiguration(7, [{ prefix: '/old/' }]), 40);
      view.setConfiguration(writeConfiguration(7, [{ prefix: '/old/' }]), 60);
      expect(view.table?.version).to.equal(9);
      expect(view.table?.findRoute(HOST, '/old/')).to.equal(undefined);
    });
    it('keeps the configuration in force when a newer one cannot be decoded', () => {
      const view = createView();
      view.setConfiguration(writeConfiguration(1, [{ prefix: '/a/' }]), 5);
      view.setConfiguration('{', 6);
      expect(view.table?.version).to.equal(1);
    });
    it('a late removal does not undo a newer entry, nor a late entry a newer removal', () => {
      const view = createView();
      const record = { incarnation: 'i', service: 'alpha', address: ADDRESS, domain: 'd' };
      const full = { ...record, slots: 1, state: 'ready' as const, coldLeft: 0, born: 0 };
      view.putTarget(full, 10, 0);
      view.removeTarget('i', 8);
      expect(view.listTargets()).to.have.length(1);
      view.removeTarget('i', 12);
      view.putTarget(full, 11, 0);
      expect(view.listTargets()).to.have.length(0);
      view.putTarget(full, 13, 0);
      expect(view.listTargets()).to.have.length(1);
    });
    it('a heartbeat without changes moves no revision', () => {
      const view = createView();
      const record = { incarnation: 'i', service: 'alpha', address: ADDRESS, domain: 'd' };
      view.putTarget({ ...record, slots: 1, state: 'ready', coldLeft: 5, born: 0 }, 10, 0);
      view.putTarget({ ...record, slots: 1, state: 'ready', coldLeft: 0, born: 0 }, 20, 0);
      expect(view.position.targets).to.equal(10);
      view.putTarget({ ...record, slots: 1, state: 'draining', coldLeft: 0, born: 0 }, 21, 0);
      expect(view.position.targets).to.equal(21);
    });
  });

  describe('sent from daemon to daemon', () => {
    it('a whole and a partial delta both bring the receiver to the same view', () => {
      const [one, other] = [createView(), createView()];
      const base = {
        service: 'alpha',
        address: ADDRESS,
        domain: 'd',
        slots: 1,
        coldLeft: 0,
        born: 0,
      };
      one.setConfiguration(writeConfiguration(4, [{ prefix: '/a/' }]), 3);
      for (let index = 0; index < 5; index += 1) {
        one.putTarget({ ...base, incarnation: `i${index}`, state: 'ready' }, 10 + index, 0);
      }
      other.applyDelta(one.diffSince({ targets: 0, configuration: 0, evacuations: 0 }, 0), 0);
      one.removeTarget('i1', 30);
      one.putTarget({ ...base, incarnation: 'i2', state: 'draining' }, 31, 0);
      const delta = one.diffSince(other.position, 0);
      expect(delta.targets).to.have.length(1);
      expect(delta.configuration).to.equal(undefined);
      other.applyDelta(delta, 0);
      expect(other.listTargets()).to.have.deep.members(one.listTargets());
      expect(other.table?.version).to.equal(4);
      expect(other.position).to.deep.equal(one.position);
    });
  });
});

describe('changes that arrive in another order than the store made them', () => {
  // Guards against lost changes: a target drains at revision 61, and the change of the
  // configuration at 62 arrives first. Daemons that know 62 must still fetch 61.
  it('passes on a change of a target after a later change of the configuration', () => {
    const [one, other] = [createView(), createView()];
    const base = {
      service: 'alpha',
      address: ADDRESS,
      domain: 'd',
      slots: 1,
      coldLeft: 0,
      born: 0,
    };
    const record = { ...base, incarnation: 'i' };
    one.putTarget({ ...record, state: 'ready' }, 10, 0);
    other.applyDelta(one.diffSince({ targets: 0, configuration: 0, evacuations: 0 }, 0), 0);
    one.setConfiguration(writeConfiguration(2, [{ prefix: '/a/' }]), 62);
    other.applyDelta(one.diffSince(other.position, 0), 0);
    one.putTarget({ ...record, state: 'draining' }, 61, 0);
    expect(one.position.targets).to.be.greaterThan(other.position.targets);
    other.applyDelta(one.diffSince(other.position, 0), 0);
    expect(other.listTargets()[0].record.state).to.equal('draining');
  });
});

describe('the role of reader', () => {
  it('falls to designated homes, and to a daemon that learns of no recent read', async () => {
    const clock = new ManualClock();
    let isAppointed = false;
    const eligibility = { isDesignated: () => isAppointed, isNearHomes: () => true };
    const role = new ReaderRole(clock, eligibility, readTimes);
    role.recordServing();
    expect(role.isReader()).to.equal(true);
    role.recordRemoteRead('10.0.0.2', clock.now());
    expect(role.isReader()).to.equal(false);
    await clock.advance(1600);
    expect(role.isReader()).to.equal(true);
    role.recordRemoteRead('10.0.0.2', clock.now() - 1550);
    expect(role.isReader()).to.equal(true);
    role.recordRemoteRead('10.0.0.2', clock.now() - 300);
    expect(role.isReader()).to.equal(false);
    isAppointed = true;
    expect(role.isReader()).to.equal(true);
  });
  // Guards against all daemons reading at once: when all watches broke together, each of 121
  // daemons read all targets.
  it('falls to the homes and their successors before the daemons that poll them', async () => {
    const clock = new ManualClock();
    const createRole = (isNear: boolean) => {
      const role = new ReaderRole(
        clock,
        { isDesignated: () => false, isNearHomes: () => isNear },
        readTimes,
      );
      role.recordServing();
      role.recordRemoteRead('10.0.0.2', clock.now());
      return role;
    };
    const [near, remote, alone] = [createRole(true), createRole(false), createRole(false)];
    for (let round = 0; round < 16; round += 1) {
      remote.recordAnswer();
      await clock.advance(100);
    }
    expect([near, remote, alone].map((role) => role.isReader())).to.deep.equal([true, false, true]);
    expect(remote.getMaxBackoff()).to.be.greaterThan(near.getMaxBackoff());
    // A removed target has to be known within 2.5 s of the last read.
    for (let round = 0; round < 7; round += 1) {
      remote.recordAnswer();
      await clock.advance(100);
    }
    expect(remote.isReader()).to.equal(true);
  });
  it('is not taken by a starting daemon for a short while', async () => {
    const clock = new ManualClock();
    const role = new ReaderRole(
      clock,
      { isDesignated: () => false, isNearHomes: () => false },
      readTimes,
      60,
    );
    expect(role.isReader()).to.equal(false);
    await clock.advance(60);
    expect(role.isReader()).to.equal(true);
  });
});

describe('a daemon that has just begun to serve', () => {
  it('does not read before it can know which other daemons rank before it as homes', async () => {
    const clock = new ManualClock();
    let knowsOthers = false;
    const role = new ReaderRole(
      clock,
      { isDesignated: () => !knowsOthers, isNearHomes: () => true },
      readTimes,
      3000,
    );
    role.recordRemoteRead('10.0.0.2', clock.now());
    expect(role.isReader()).to.equal(false);
    role.recordServing();
    for (let round = 0; round < 10; round += 1) {
      expect(role.isReader()).to.equal(false);
      await clock.advance(100);
      role.recordRemoteRead('10.0.0.2', clock.now());
      knowsOthers = round >= 2;
    }
  });
  it('reads soon when it is designated, and at once when it learns of no read', async () => {
    const clock = new ManualClock();
    const role = new ReaderRole(
      clock,
      { isDesignated: () => true, isNearHomes: () => true },
      readTimes,
    );
    expect(role.isReader()).to.equal(true);
    role.recordServing();
    role.recordRemoteRead('10.0.0.2', clock.now());
    expect(role.isReader()).to.equal(false);
    await clock.advance(400);
    expect(role.isReader()).to.equal(true);
  });
});

describe('reading the store', () => {
  let clock: ManualClock;
  let store: ScriptedStore;
  let view: FleetView;
  let isReader = true;
  let running: AbortController;

  function startReader(): StoreReader {
    const reader = new StoreReader({
      ...{ store, view, clock, random: createSeededRandom(1), log: createSilentLog() },
      isReader: () => isReader,
      getMaxBackoff: () => 1000,
      ...{ getReadDelay: () => Infinity, getWatchTimeout: () => 900 },
    });
    reader.run(running.signal).catch(() => undefined);
    return reader;
  }

  beforeEach(() => {
    clock = new ManualClock();
    store = new ScriptedStore();
    view = createView();
    isReader = true;
    running = new AbortController();
    for (const id of ['i1', 'i2', 'i3']) store.change(id, writeTarget(ADDRESS));
  });
  afterEach(() => running.abort());

  const listIds = () => view.listTargets().map(({ record }) => record.incarnation);

  it('learns configuration and targets, and changes within a second', async () => {
    startReader();
    await clock.advance(500);
    expect(listIds()).to.have.members(['i1', 'i2', 'i3']);
    expect(view.table?.version).to.equal(1);
    store.change('i2', writeTarget(ADDRESS, { state: 'draining' }));
    store.change('i3', undefined);
    await clock.advance(1000);
    expect(listIds()).to.have.members(['i1', 'i2']);
    expect(
      view.listTargets().find(({ record }) => record.incarnation === 'i2')?.record.state,
    ).to.equal('draining');
  });
  // Guards against a late start: after a stale read the first confirmation came with the end of a
  // long watch.
  it('confirms a stale read by a watch that does not wait', async () => {
    isReader = false;
    const reader = startReader();
    await reader.readStale();
    isReader = true;
    await clock.advance(40);
    expect(store.waits[0]).to.be.below(20);
    expect(view.provenAt).to.be.at.least(0);
  });
  it('makes no call while another daemon reads', async () => {
    isReader = false;
    startReader();
    await clock.advance(10_000);
    expect(store.calls).to.equal(0);
  });
  it('limits its calls when there are many changes', async () => {
    startReader();
    for (let count = 0; count < 200; count += 1) {
      store.change('i1', writeTarget(ADDRESS, { seq: count }));
      await clock.advance(50);
    }
    // In ten seconds: at most 50 reads of the targets, and 67 of the configuration, whose watches
    // this store answers at once.
    expect(store.calls).to.be.lessThan(52 + 70);
  });
  it('reads everything again when the history is gone, and notices targets removed meanwhile', async () => {
    startReader();
    await clock.advance(500);
    store.hasHistory = false;
    store.change('i1', undefined);
    store.configuration = { text: writeConfiguration(5, [{ prefix: '/b/' }]), revision: 99 };
    await clock.advance(1500);
    expect(listIds()).to.have.members(['i2', 'i3']);
    expect(view.table?.version).to.equal(5);
  });

  // The pages of a list are no snapshot. A change on an earlier page while a later page is read has
  // an older revision than the entries of that later page; daemons that know the later revision
  // must still fetch it.
  it('passes on changes made on an earlier page while a later one was read', async () => {
    const write = (id: string, revision: number, state: string) => ({
      ...{ key: KEYS.targets + id, text: writeTarget(ADDRESS, { state }), revision },
    });
    const events: StoreEvent[] = [
      { kind: 'written', item: write('i1', 105, 'draining') },
      { kind: 'written', item: write('i2', 108, 'ready') },
    ];
    const paged: KvReader = {
      readItem: () => Promise.resolve({ kind: 'absent' }),
      readItems: (_prefix, after) =>
        Promise.resolve(
          after === ''
            ? {
                kind: 'items',
                items: [write('i1', 10, 'ready')],
                storeRevision: 100,
                hasMore: true,
              }
            : {
                kind: 'items',
                items: [write('i2', 108, 'ready')],
                storeRevision: 108,
                hasMore: false,
              },
        ),
      watch: async (_prefix, after) => {
        await clock.sleep(50);
        const isLater = (event: StoreEvent) =>
          event.kind === 'written' && event.item.revision > after;
        return { kind: 'events', events: events.filter(isLater), storeRevision: 108 };
      },
    };
    const reader = new StoreReader({
      ...{ store: paged, view, clock, random: createSeededRandom(1), log: createSilentLog() },
      ...{ isReader: () => true, getMaxBackoff: () => 1000 },
      ...{ getReadDelay: () => Infinity, getWatchTimeout: () => 900 },
    });
    reader.run(running.signal).catch(() => undefined);
    await clock.advance(20);
    const other = createView();
    other.applyDelta(view.diffSince(other.position, clock.now()), clock.now());
    await clock.advance(1000);
    other.applyDelta(view.diffSince(other.position, clock.now()), clock.now());
    const states = other.listTargets().map(({ record }) => [record.incarnation, record.state]);
    expect(states).to.have.deep.members([
      ['i1', 'draining'],
      ['i2', 'ready'],
    ]);
  });

  describe('through an outage', () => {
    it('keeps lapsed entries until two seconds after it, then drops those not written again', async () => {
      startReader();
      await clock.advance(500);
      store.isDown = true;
      await clock.advance(3000);
      store.change('i1', undefined);
      store.change('i2', undefined);
      store.isDown = false;
      await clock.advance(1200);
      expect(listIds()).to.have.members(['i1', 'i2', 'i3']);
      store.change('i1', writeTarget(ADDRESS));
      await clock.advance(2000);
      expect(listIds()).to.have.members(['i1', 'i3']);
    });
    // Guards against an outage that never ends for a daemon while others read for it: a target
    // removed long after the outage was taken for a lapsed entry and stayed in use for two seconds.
    it('drops an entry at once that was removed after others had read meanwhile', async () => {
      startReader();
      await clock.advance(500);
      store.isDown = true;
      await clock.advance(3000);
      isReader = false;
      store.isDown = false;
      await clock.advance(10_000);
      isReader = true;
      await clock.advance(100);
      store.change('i1', undefined);
      await clock.advance(500);
      expect(listIds()).to.have.members(['i2', 'i3']);
    });
    it('drops an entry at once that was removed long after the outage', async () => {
      startReader();
      await clock.advance(500);
      store.isDown = true;
      await clock.advance(3000);
      store.isDown = false;
      await clock.advance(5000);
      store.change('i1', undefined);
      await clock.advance(800);
      expect(listIds()).to.have.members(['i2', 'i3']);
    });
    it('does not confirm the view during the outage', async () => {
      startReader();
      await clock.advance(1000);
      const { provenAt } = view;
      store.isDown = true;
      await clock.advance(4000);
      expect(view.provenAt - provenAt).to.be.lessThan(800);
    });
  });
});
