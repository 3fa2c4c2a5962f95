/** Accepting a change: two operators, lost replies, outages; and the audit trail. */
import { expect } from 'chai';
import {
  type AcceptResult,
  type Change,
  ConfigStore,
  type DraftResult,
  KEPT_RECORDS,
} from '../src/config/index.js';
import { createSeededRandom, createSystemClock } from '../src/kernel/index.js';
import { type Platform, type WriteResult, createMeteredPlatform } from '../src/platform/index.js';
import { Store, createStorePlatform } from '../src/standin/index.js';

const SERVICE = (prefix: string) =>
  `[service]\npath_prefix = ${prefix}\n[pool]\ntargets = 127.0.0.1:9\n`;

const clock = createSystemClock();

/** A platform whose writes of the manifest go wrong in the given ways, one after the other. */
function breakSwaps(inner: Platform, ways: readonly ('lost' | 'lost-before' | 'fine')[]): Platform {
  let turn = 0;
  return {
    ...inner,
    async swap(swap): Promise<WriteResult> {
      if (swap.key !== 'config/head') return inner.swap(swap);
      const way = ways[turn] ?? 'fine';
      turn += 1;
      if (way === 'lost-before') return { kind: 'unknown', reason: 'lost before it arrived' };
      const result = await inner.swap(swap);
      return way === 'lost' ? { kind: 'unknown', reason: 'reply lost' } : result;
    },
  };
}

function open(store: Store, wrap: (inner: Platform) => Platform = (inner) => inner): ConfigStore {
  return new ConfigStore(wrap(createStorePlatform(store, clock)), clock, createSeededRandom(1));
}

let ids = 0;

function createHeader(author: string) {
  ids += 1;
  return { id: `change-${ids}`, author, message: 'test' };
}

function takeChange(result: DraftResult): Change {
  if (result.kind !== 'drafted') throw new Error(`not drafted: ${JSON.stringify(result)}`);
  return result.change;
}

async function draft(config: ConfigStore, author: string, name: string, text: string) {
  return takeChange(await config.draft(createHeader(author), new Map([[name, text]])));
}

function readRevision(result: AcceptResult): number | string {
  return result.kind === 'accepted' ? result.record.revision : result.kind;
}

describe('configuration store', () => {
  let store: Store;
  let config: ConfigStore;

  beforeEach(() => {
    store = new Store(clock, { reads: 100_000, writes: 100_000 });
    config = open(store);
  });

  describe('accepting', () => {
    it('takes effect with its audit record in one write', async () => {
      const change = await draft(config, 'anna', 'service/a', SERVICE('/a'));
      expect(readRevision(await config.accept(change, 'bela'))).to.equal(1);
      const history = await config.readHistory(undefined, 10);
      const [record] = history.kind === 'history' ? history.records : [];
      expect(record).to.include({ author: 'anna', acceptedBy: 'bela', change: change.id });
    });

    it('accepts the same draft only once', async () => {
      const change = await draft(config, 'anna', 'service/a', SERVICE('/a'));
      await config.accept(change, 'anna');
      expect(readRevision(await config.accept(change, 'anna'))).to.equal(1);
      const head = await config.readHead();
      expect(head.kind === 'head' && head.manifest.revision).to.equal(1);
    });

    it('tells the second of two operators who was first', async () => {
      const first = await draft(config, 'anna', 'service/a', SERVICE('/a'));
      const second = await draft(config, 'bela', 'service/a', SERVICE('/b'));
      await config.accept(first, 'anna');
      const result = await config.accept(second, 'bela');
      expect(result).to.deep.include({ kind: 'conflict', document: 'service/a' });
      expect(result.kind === 'conflict' && result.by).to.include({
        author: 'anna',
        change: first.id,
      });
    });

    it('lets two operators change different documents', async () => {
      const first = await draft(config, 'anna', 'service/a', SERVICE('/a'));
      const second = await draft(config, 'bela', 'service/b', SERVICE('/b'));
      const results = await Promise.all([
        config.accept(first, 'anna'),
        open(store).accept(second, 'bela'),
      ]);
      expect(results.map(readRevision).sort()).to.deep.equal([1, 2]);
    });

    it('refuses two services that together have one route', async () => {
      const first = await draft(config, 'anna', 'service/a', SERVICE('/same'));
      const second = await draft(config, 'bela', 'service/b', SERVICE('/same'));
      await config.accept(first, 'anna');
      expect((await config.accept(second, 'bela')).kind).to.equal('invalid');
    });
  });

  describe('a reply that is lost', () => {
    const ROWS = [
      { what: 'after the write', ways: ['lost'] as const },
      { what: 'before the write', ways: ['lost-before'] as const },
      { what: 'again and again', ways: ['lost-before', 'lost-before', 'lost'] as const },
    ];
    for (const { what, ways } of ROWS) {
      it(`${what}: the change is in force once`, async () => {
        const broken = open(store, (inner) => breakSwaps(inner, ways));
        const change = await draft(broken, 'anna', 'service/a', SERVICE('/a'));
        expect(readRevision(await broken.accept(change, 'anna'))).to.equal(1);
        const head = await config.readHead();
        expect(head.kind === 'head' && head.manifest.records).to.have.length(1);
      });
    }

    it('is settled when other changes have come on top since, however many', async () => {
      const change = await draft(config, 'anna', 'service/a', SERVICE('/a'));
      await config.accept(change, 'anna');
      for (let turn = 0; turn < KEPT_RECORDS + 8; turn += 1) {
        const later = await draft(config, 'bela', 'service/a', SERVICE(`/a${turn}`));
        await config.accept(later, 'bela');
      }
      const result = await config.accept(change, 'anna');
      expect(readRevision(result)).to.equal(1);
    });

    it('is called unknown, not failed, when the store stays silent', async () => {
      const silent = open(store, (inner) => ({
        ...inner,
        async swap(swap): Promise<WriteResult> {
          if (swap.key !== 'config/head') return inner.swap(swap);
          await inner.swap(swap);
          store.setFault({ kind: 'down' });
          return { kind: 'unknown', reason: 'reply lost' };
        },
      }));
      const change = await draft(silent, 'anna', 'service/a', SERVICE('/a'));
      expect((await silent.accept(change, 'anna')).kind).to.equal('unknown');
      store.setFault({ kind: 'none' });
      expect(readRevision(await config.accept(change, 'anna'))).to.equal(1);
    }).timeout(20_000);
  });

  describe('undo', () => {
    it('brings the earlier text back as a new change', async () => {
      await config.accept(await draft(config, 'anna', 'service/a', SERVICE('/a')), 'anna');
      await config.accept(await draft(config, 'anna', 'service/a', SERVICE('/b')), 'anna');
      const undo = takeChange(await config.draftUndo(createHeader('bela'), 2));
      expect(readRevision(await config.accept(undo, 'bela'))).to.equal(3);
      const head = await config.readHead();
      const texts = head.kind === 'head' ? await config.readDocuments(head.manifest) : undefined;
      const documents = texts?.kind === 'texts' ? texts.documents : undefined;
      expect(documents?.get('service/a')).to.equal(SERVICE('/a'));
    });

    it('conflicts when the document was changed again since', async () => {
      await config.accept(await draft(config, 'anna', 'service/a', SERVICE('/a')), 'anna');
      await config.accept(await draft(config, 'anna', 'service/a', SERVICE('/b')), 'anna');
      const undo = takeChange(await config.draftUndo(createHeader('bela'), 1));
      expect((await config.accept(undo, 'bela')).kind).to.equal('conflict');
    });
  });

  describe('the audit trail', () => {
    it('has one record for each of many changes, also those that left the manifest', async () => {
      const count = KEPT_RECORDS + 20;
      for (let turn = 0; turn < count; turn += 1) {
        await config.accept(await draft(config, 'anna', 'service/a', SERVICE(`/${turn}`)), 'anna');
      }
      const revisions: number[] = [];
      let before: number | undefined;
      do {
        const page = await config.readHistory(before, 10);
        if (page.kind !== 'history') throw new Error(page.reason);
        revisions.push(...page.records.map(({ revision }) => revision));
        before = page.next;
      } while (before !== undefined);
      expect(revisions).to.deep.equal(Array.from({ length: count }, (_, index) => count - index));
    });
  });

  describe('size', () => {
    it('110 services are accepted at once within the call budget of one daemon', async () => {
      const slow = open(store, (inner) => createMeteredPlatform(inner, 50, clock));
      const wishes = new Map(
        Array.from({ length: 110 }, (_, i) => [`service/s${i}`, SERVICE(`/${i}`)] as const),
      );
      const change = takeChange(await slow.draft(createHeader('anna'), wishes));
      expect(readRevision(await slow.accept(change, 'anna'))).to.equal(1);
    }).timeout(20_000);

    it('a manifest of 110 services and its records fits a value many times', async () => {
      const wishes = new Map(
        Array.from(
          { length: 110 },
          (_, index) => [`service/s${index}`, SERVICE(`/${index}`)] as const,
        ),
      );
      await config.accept(takeChange(await config.draft(createHeader('anna'), wishes)), 'anna');
      const found = store.read('config/head');
      const size = found.kind === 'found' ? Buffer.byteLength(found.item.value) : Infinity;
      expect(size).to.be.below(100_000);
    });
  });
});
