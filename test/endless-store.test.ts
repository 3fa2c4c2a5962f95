/** A store that lists, reports and repeats without end. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import v8 from 'node:v8';
import vm from 'node:vm';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { type LogFields, createSeededRandom, createSystemClock } from '../src/kernel/index.js';
import {
  KEYS,
  type KvStore,
  createKvPlatform,
  createKvStore,
  decodeTarget,
} from '../src/platform/index.js';
import { type FleetView, StoreReader } from '../src/view/index.js';
import { writeConfiguration, writeTarget } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { createView } from './helpers/targets.js';

const BYTES_PER_MB = 1_048_576;
const TIMEOUT_MS = 1000;
/** What may still be held once a list is given up. */
const MAX_GROWTH_MB = 32;
/** The most calls a second of a reader whose store answers each one at once. */
const MAX_CALLS_PER_SECOND = 20;
const PAGE_ITEMS = 500;
const ADDRESS = { host: '127.0.0.1', port: 9 };

/** An answer of the store: the body, or its text. */
type Answer = object | string;

function encodeItem(key: string, text: string, revision: number): object {
  return { key_file: key, value: Buffer.from(text).toString('base64'), revision };
}

function listItems(prefix: string, from: number, text = writeTarget(ADDRESS)): readonly object[] {
  return Array.from({ length: PAGE_ITEMS }, (_, index) =>
    encodeItem(`${prefix}k${String(from + index).padStart(12, '0')}`, text, from + index + 1),
  );
}

/** A store whose answers the test sets. */
class ScriptedServer {
  ranges: (prefix: string, call: number) => Answer = () => ({
    ...{ items: [], truncated: false, store_revision: 10 },
  });

  watches: (call: number) => Answer = () => ({ events: [], store_revision: 10 });

  rangeCalls = 0;

  watchCalls = 0;

  readonly #server = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const answer = url.pathname === '/kv-watch' ? this.#watch() : this.#list(url);
    response.end(typeof answer === 'string' ? answer : JSON.stringify(answer));
  });

  #watch(): Answer {
    this.watchCalls += 1;
    return this.watches(this.watchCalls);
  }

  #list(url: URL): Answer {
    this.rangeCalls += 1;
    return this.ranges(url.searchParams.get('path_prefix') ?? '', this.rangeCalls);
  }

  async start(): Promise<KvStore> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return createKvStore({ host: '127.0.0.1', port }, TIMEOUT_MS);
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/** Reads the memory in use, in MB. */
function readMemory(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / BYTES_PER_MB;
}

const configuration = encodeItem(KEYS.configuration, writeConfiguration(1, [{ prefix: '/a/' }]), 1);

/** Lists a sound configuration and two targets. */
function listSound(prefix: string): Answer {
  const items =
    prefix === KEYS.operators
      ? [configuration]
      : ['a', 'b'].map((id) => encodeItem(KEYS.targets + id, writeTarget(ADDRESS), 5));
  return { items, truncated: false, store_revision: 10 };
}

describe('a store that does not come to an end', () => {
  let server: ScriptedServer;
  let store: KvStore;
  let view: FleetView;
  let reader: StoreReader;
  let stop: AbortController;
  let events: { readonly event: string; readonly fields: LogFields }[];
  beforeEach(async () => {
    server = new ScriptedServer();
    store = await server.start();
    view = createView();
    events = [];
    stop = new AbortController();
    const write = (event: string, fields: LogFields = {}) => events.push({ event, fields });
    reader = new StoreReader({
      ...{ store, view, clock: createSystemClock(), random: createSeededRandom(1) },
      ...{ isReader: () => true, getMaxBackoff: () => 1000 },
      ...{ getReadDelay: () => Infinity, getWatchTimeout: () => 900 },
      log: { debug: () => undefined, info: write, warn: write, error: write },
    });
    server.ranges = listSound;
    await reader.readStale();
    expect(view.listTargets()).to.have.length(2);
  });
  afterEach(() => {
    stop.abort();
    store.close();
    server.stop();
  });

  describe('in its lists', () => {
    const lists: readonly (readonly [string, (prefix: string, call: number) => Answer, string])[] =
      [
        [
          'the same page again and again',
          (prefix) => ({ items: listItems(prefix, 0), truncated: true, store_revision: 10 }),
          'the same page again',
        ],
        [
          'further items for ever',
          (prefix, call) => ({
            ...{ items: listItems(prefix, call * PAGE_ITEMS), truncated: true, store_revision: 10 },
          }),
          'expected at most',
        ],
        [
          'one further item in each page',
          (prefix, call) => ({
            items: listItems(prefix, call).slice(0, 1),
            ...{ truncated: true, store_revision: 10 },
          }),
          'more than 400 pages',
        ],
        [
          'long values for ever',
          (prefix, call) => ({
            items: listItems(prefix, call, 'x'.repeat(1_000_000)).slice(0, 3),
            ...{ truncated: true, store_revision: 10 },
          }),
          'expected at most',
        ],
        [
          'empty pages before more',
          () => ({ items: [], truncated: true, store_revision: 10 }),
          'an empty page',
        ],
        [
          'keys of others for ever',
          (_prefix, call) => ({
            ...{
              items: listItems('other/', call * PAGE_ITEMS),
              truncated: true,
              store_revision: 10,
            },
          }),
          'expected at most',
        ],
      ];
    // Guards against a reader that collects pages until its memory is full, and one that takes a
    // list without its end as whole and removes the targets that it lacks.
    for (const [what, ranges, reason] of lists) {
      it(`${what}: gives up, says why, and keeps what it knows`, async () => {
        server.ranges = ranges;
        server.watches = () => ({ events: [], store_revision: 10 });
        const before = readMemory();
        const read = await Promise.race([
          createKvPlatform(store).range(KEYS.targets),
          pause(20_000).then(() => ({ kind: 'still reading', calls: server.rangeCalls })),
        ]);
        const growth = readMemory() - before;
        const seen = `${Math.round(growth)} MB after ${server.rangeCalls} calls`;
        expect(read, seen).to.have.property('kind', 'unavailable');
        expect(growth, seen).to.be.lessThan(MAX_GROWTH_MB);
        await Promise.race([reader.readStale(), pause(20_000)]);
        const unanswered = events.filter(({ event }) => event === 'store.unanswered');
        const reasons = unanswered.map(({ fields }) => String(fields.reason));
        expect(
          reasons.some((it) => it.includes(reason)),
          reasons.join('; '),
        ).to.equal(true);
        expect(view.listTargets()).to.have.length(2);
      });
    }
  });

  describe('in its watches', () => {
    // Guards against a reader that asks again and again for changes too many for one answer.
    it('reads everything, at a bounded rate, when the changes are too many', async () => {
      server.watches = () => `{"events":[${' '.repeat(5_000_000)}],"store_revision":20}`;
      reader.run(stop.signal).catch(() => undefined);
      await waitUntil(() => events.some(({ event }) => event === 'store.too-long'), 'it is noted');
      const calls = server.rangeCalls + server.watchCalls;
      await pause(2000);
      const added = server.rangeCalls + server.watchCalls - calls;
      expect(added).to.be.lessThan(2 * MAX_CALLS_PER_SECOND);
      expect(view.listTargets()).to.have.length(2);
    });
    it('asks at a bounded rate when each watch is answered at once', async () => {
      server.watches = (call) => ({ events: [], store_revision: 10 + call });
      reader.run(stop.signal).catch(() => undefined);
      await pause(2000);
      expect(server.watchCalls).to.be.within(1, 2 * MAX_CALLS_PER_SECOND);
    });
    // Guards against a daemon that keeps every name that it is told of.
    it('keeps the targets that it knows, and as many further ones as it has room for', async () => {
      let full = 0;
      view = createView({
        onFull: () => {
          full += 1;
        },
      });
      const record = decodeTarget('known', writeTarget(ADDRESS));
      if ('kind' in record) throw new Error(record.what);
      view.putTarget(record, 1, 0);
      const before = readMemory();
      for (let index = 2; index < 60_000; index += 1) {
        const incarnation = Buffer.from(`i-${index}-${'x'.repeat(4000)}`).toString();
        view.putTarget({ ...record, incarnation }, index, 0);
        if (index % 2 === 0) view.removeTarget(Buffer.from(`j${incarnation}`).toString(), index);
      }
      expect(readMemory() - before).to.be.lessThan(2 * MAX_GROWTH_MB);
      expect(full).to.equal(1);
      expect(view.listTargets()[0]?.record.incarnation).to.equal('known');
      view.putTarget({ ...record, state: 'draining' }, 60_001, 0);
      expect(view.listTargets()[0]?.record.state).to.equal('draining');
    });
    it('takes no record or name that is too long', () => {
      const long = 'x'.repeat(5000);
      for (const [key, text] of [
        ['i', writeTarget(ADDRESS, { service: long })],
        ['i', writeTarget(ADDRESS, { version: long })],
        [long, writeTarget(ADDRESS)],
        ['i', writeTarget(ADDRESS) + ' '.repeat(70_000)],
      ] as const) {
        expect(decodeTarget(key, text)).to.have.property('expected').that.includes('at most');
      }
    });
  });
});
