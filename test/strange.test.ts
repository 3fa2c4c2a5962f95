/**
 * Input from other processes may be anything. It must affect only its sender, or the one entry, and
 * nothing else.
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { serveDirectory } from '../src/gateway/directory.js';
import { type LogFields, ManualClock, createSeededRandom } from '../src/kernel/index.js';
import { decodeDatagram, encodeDatagram, parseFeedResponse } from '../src/peering/index.js';
import {
  KEYS,
  type StoredItem,
  type WatchAnswer,
  createKvStore,
  decodeTarget,
} from '../src/platform/index.js';
import { writeTarget } from '../src/standin/index.js';
import { StoreReader } from '../src/view/index.js';
import { createTargets, createView } from './helpers/targets.js';
import { protection } from './helpers/protection.js';

/** A watch that never reports a change. */
const pendingWatch = new Promise<WatchAnswer>(() => {});

const RUNS = { numRuns: 400, seed: 11 };
const ADDRESS = { host: '10.0.0.1', port: 80 };
const VALID_RECORD = JSON.parse(writeTarget(ADDRESS)) as Readonly<Record<string, unknown>>;

/** Replaces one field or nested field of a document by an arbitrary value. */
const arbitraryRecord = fc
  .tuple(fc.constantFrom('address', 'info', 'status', 'born', 'x'), fc.anything(), fc.nat(3))
  .map(([field, value, inner]) => {
    const branch = VALID_RECORD[field];
    if (inner === 0 || typeof branch !== 'object' || branch === null) {
      return { ...VALID_RECORD, [field]: value };
    }
    const names = Object.keys(branch);
    return { ...VALID_RECORD, [field]: { ...branch, [names[inner % names.length] ?? 'y']: value } };
  });

describe('the record of a target with arbitrary content', () => {
  it('decodes to a valid target or to a fault, whatever the bytes', () => {
    const check = (text: string) => {
      const record = decodeTarget('i-1', text);
      if ('kind' in record) return;
      expect(record.state).to.be.oneOf(['ready', 'draining']);
      expect(Number.isSafeInteger(record.slots) && record.slots > 0).to.equal(true);
      expect(Number.isSafeInteger(record.born) && record.born >= 0).to.equal(true);
      expect(record.coldLeft).to.be.at.least(0);
      expect(record.address.port).to.be.within(0, 65_535);
    };
    fc.assert(fc.property(fc.string(), check), RUNS);
    fc.assert(fc.property(fc.json(), check), RUNS);
    fc.assert(
      fc.property(arbitraryRecord, (document) => {
        try {
          check(JSON.stringify(document));
        } catch (error) {
          // A value that can't be written as JSON can't be in the store either.
          if (!(error instanceof TypeError)) throw error;
        }
      }),
      RUNS,
    );
  });
  for (const [what, change] of Object.entries({
    'an unknown state': { status: { state: 'odd', seq: 1 } },
    'no status': { status: undefined },
    'slots as a text': { info: { service: 'alpha', zone: 'd1', slots: '4' } },
    'no slots': { info: { service: 'alpha', zone: 'd1', slots: 0 } },
    'a start that is no whole number': { born: 1.5 },
    'a start as a text': { born: '1771688619032' },
    'no address': { address: 7 },
  })) {
    it(`decodes to a fault with ${what}`, () => {
      expect(decodeTarget('i-1', JSON.stringify({ ...VALID_RECORD, ...change }))).to.have.property(
        'kind',
        'fault',
      );
    });
  }
});

describe('one undecodable entry among valid ones', () => {
  it('is logged once, gives no target, and gives one again when it is valid', async () => {
    const clock = new ManualClock();
    const view = createView();
    const lines: LogFields[] = [];
    const write = (_event: string, fields: LogFields = {}) => lines.push(fields);
    const texts = ['{"status":7}', 'no json', writeTarget(ADDRESS)];
    let revision = 10;
    const items: readonly StoredItem[] = [
      { key: `${KEYS.targets}i-1`, text: writeTarget(ADDRESS), revision: 1 },
      { key: `${KEYS.targets}i-2`, text: writeTarget(ADDRESS), revision: 2 },
    ];
    const answers: WatchAnswer[] = texts.map((text) => {
      revision += 1;
      const item = { key: `${KEYS.targets}i-2`, text, revision };
      return { kind: 'events', events: [{ kind: 'written', item }], storeRevision: revision };
    });
    const targetCounts: number[] = [];
    const reader = new StoreReader({
      ...{
        view,
        clock,
        random: createSeededRandom(1),
        isReader: () => true,
        getMaxBackoff: () => 1000,
        ...{ getReadDelay: () => Infinity, getWatchTimeout: () => 900 },
      },
      log: { debug: () => undefined, info: write, warn: write, error: write },
      store: {
        readItem: () => Promise.resolve({ kind: 'absent' }),
        readItems: () =>
          Promise.resolve({ kind: 'items', items, storeRevision: 10, hasMore: false }),
        watch: (prefix) => {
          targetCounts.push(view.listTargets().length);
          const next = prefix === KEYS.all ? answers.shift() : undefined;
          return next === undefined ? pendingWatch : Promise.resolve(next);
        },
      },
    });
    const abort = new AbortController();
    reader.run(abort.signal).catch(() => undefined);
    for (let round = 0; round < 10; round += 1) await clock.advance(250);
    abort.abort();
    expect(targetCounts).to.deep.equal([2, 1, 1, 2]);
    expect(lines.filter(({ incarnation }) => incarnation === 'i-2')).to.have.length(1);
    expect(reader.unreadableCount).to.equal(0);
  });
});

describe('a target that restarted under the same identifier', () => {
  const record = {
    ...{ incarnation: 'i-1', service: 'alpha', address: ADDRESS, domain: 'd1', slots: 4 },
    ...{ state: 'ready' as const, coldLeft: 0, born: 1000 },
  };
  it('counts as the later run, in whatever order its changes arrive', () => {
    const view = createView();
    view.putTarget({ ...record, born: 2000 }, 5, 0);
    // A late update by the earlier run, with a later revision.
    view.putTarget({ ...record, state: 'draining' }, 6, 0);
    expect(view.listTargets()[0].record).to.include({ born: 2000, state: 'ready' });
    view.putTarget({ ...record, born: 3000 }, 7, 0);
    expect(view.listTargets()[0].record.born).to.equal(3000);
  });
  it('has no calls, slowdown, failures or connections of the earlier run', () => {
    const view = createView();
    const clock = new ManualClock();
    const targets = createTargets(clock);
    view.putTarget(record, 5, 0);
    targets.update(view);
    const before = targets.getService('alpha').targets.get('i-1');
    before?.load.start(0);
    before?.recordLoad({ running: 4, waiting: 2, slots: 4, slowdown: 7 }, 0);
    before?.recordFailure(true);
    before?.recordMisdirected();
    view.putTarget({ ...record, born: 2000 }, 6, 0);
    targets.update(view);
    const after = targets.getService('alpha').targets.get('i-1');
    expect(after?.load.countCalls(0, 1)).to.equal(0);
    expect(after?.load.lastSlowdown).to.equal(1);
    expect(after?.failureRate.read(0)).to.equal(0);
    expect(after?.isUsable).to.equal(true);
    // Reports of other daemons about the earlier run are not taken for the later one.
    expect(targets.findByHash(before?.hash ?? 0)).to.equal(undefined);
    expect(targets.findByHash(after?.hash ?? 0)).to.equal(after);
  });
  it('is passed on as a change, and not undone by a daemon that knows the earlier run', () => {
    const [one, other] = [createView(), createView()];
    one.putTarget(record, 5, 0);
    other.applyDelta(one.diffSince(other.position, 0), 0);
    one.putTarget({ ...record, born: 2000 }, 9, 0);
    const stale = other.diffSince({ targets: 0, configuration: 0, evacuations: 0 }, 0);
    other.applyDelta(one.diffSince(other.position, 0), 0);
    expect(other.listTargets()[0].record.born).to.equal(2000);
    other.applyDelta(stale, 0);
    expect(other.listTargets()[0].record.born).to.equal(2000);
  });
});

describe('answers of the store that are not in its protocol', () => {
  let server: http.Server;
  let body = '';

  before((done) => {
    server = http.createServer((_request, response) => response.end(body));
    server.listen(0, '127.0.0.1', done);
  });
  after(() => server.close());

  it('are returned as outcomes and never throw', async () => {
    const { port } = server.address() as AddressInfo;
    const store = createKvStore({ host: '127.0.0.1', port }, 500);
    await fc.assert(
      fc.asyncProperty(fc.json(), async (text) => {
        body = text;
        await store.watch(KEYS.targets, 1, 1);
        await store.readItems(KEYS.targets, '', false);
        await store.readItem(KEYS.configuration, false);
        await store.write({ key: 'a', text: '', expected: 0 });
        await store.grantLease(1000);
      }),
      { numRuns: 60, seed: 3 },
    );
    const item = { key_file: `${KEYS.targets}i-1`, value: 'e30=', revision: 4 };
    body = JSON.stringify({ events: [7, null, { ...item, value: 3 }, item], store_revision: 9 });
    const answer = await store.watch(KEYS.targets, 1, 1);
    const texts =
      answer.kind === 'events'
        ? answer.events.map((event) => (event.kind === 'written' ? event.item.text : 'removed'))
        : [];
    expect(texts).to.deep.equal(['', '{}']);
    store.close();
  });
});

describe('messages of other daemons', () => {
  it('are applied as a whole or not at all when they are a feed', () => {
    const view = createView();
    const record = decodeTarget('i-1', writeTarget(ADDRESS));
    if ('kind' in record) throw new Error('expected a record');
    view.putTarget(record, 5, 0);
    const delta = view.diffSince({ targets: 0, configuration: 0, evacuations: 0 }, 0);
    const validAnswer = JSON.parse(JSON.stringify({ delta, members: [] })) as {
      readonly delta: Readonly<Record<string, unknown>>;
    };
    expect(parseFeedResponse(validAnswer)).to.deep.equal(validAnswer);
    const fields = [...Object.keys(validAnswer.delta), 'configuration'];
    fc.assert(
      fc.property(fc.constantFrom(...fields), fc.jsonValue(), (field, value) => {
        const answer = parseFeedResponse({
          ...validAnswer,
          delta: { ...validAnswer.delta, [field]: value },
        });
        if (answer !== undefined) createView().applyDelta(answer.delta, 0);
      }),
      RUNS,
    );
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(parseFeedResponse({ ...validAnswer, members: [value] })).to.equal(undefined);
        expect(parseFeedResponse(value)).to.equal(undefined);
      }),
      RUNS,
    );
  });
  it('are dropped without an error when any byte of a datagram is wrong', () => {
    const self = { domain: 'd1', capacity: 1, isSenior: true, state: 'ready' as const };
    const bytes = encodeDatagram({
      ...{ kind: 'tell', self: { ...self, utilisation: 0.1, pollers: 3 } },
      knowledge: {
        position: { targets: 5, configuration: 3, evacuations: 2 },
        ...{ proofAge: 10, known: { targets: 5, operators: 6 } },
        ...{ membersFingerprint: 7, desiredHomes: 3, lastRead: { reader: '10.0.0.1', age: 5 } },
        presences: [{ ip: '10.0.0.2', state: 'ready', age: 5 }],
        poisonReports: [{ request: 'q', ended: [7], releases: ['v1'], age: 5 }],
      },
    });
    fc.assert(
      fc.property(fc.nat(bytes.length - 1), fc.nat(255), (at, value) => {
        const corrupted = Uint8Array.from(bytes);
        corrupted[at] = value;
        expect(() => decodeDatagram(corrupted)).to.not.throw();
      }),
      RUNS,
    );
  });
});

describe('lookups of addresses', () => {
  it('get an answer, whatever the path', async () => {
    const server = await serveDirectory(
      { address: { host: '127.0.0.1', port: 0 }, protection },
      () => ['10.0.0.1:1'],
      () => 1000,
    );
    const { port } = server.address() as AddressInfo;
    const request = (path: string) =>
      new Promise<number>((resolve, reject) => {
        http
          .get({ host: '127.0.0.1', port, path, agent: false }, (response) => {
            response.resume();
            resolve(response.statusCode ?? 0);
          })
          .on('error', reject);
      });
    const paths = fc.string({ unit: fc.constantFrom(...'/?%&=:@[]#a1') }).map((text) => `/${text}`);
    await fc.assert(
      fc.asyncProperty(paths, async (path) => {
        expect(await request(path)).to.be.oneOf([400, 404]);
      }),
      { numRuns: 150, seed: 7 },
    );
    expect(await request('/resolve?name=%ff&zone=%zz')).to.equal(200);
    server.close();
  });
});
