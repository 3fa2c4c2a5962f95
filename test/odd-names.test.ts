/** Names that other systems choose, and that mean something to the language. */
import { expect } from 'chai';
import { createChange, applyEdits, hashText } from '../src/config/index.js';
import { formatLearnedState, parseLearnedState } from '../src/gateway/learned-state.js';
import { decodeConfiguration, decodeTarget, KEYS } from '../src/platform/index.js';
import { writeConfiguration, writeTarget } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { Site, readPage, sendTo } from './helpers/gateways.js';

const ODD_NAMES = [
  ...['__proto__', 'constructor', 'toString', 'hasOwnProperty', 'valueOf', 'prototype'],
  ...['a"b', 'a\nb', 'a\\', '', ' ', '\u0000', '\ud800', 'x'.repeat(2000)],
] as const;

const ADDRESS = { host: '127.0.0.1', port: 9 };

const METRIC_LINE = /^\w+(?:\{(?:\w+="(?:[^"\\\n]|\\.)*",?)+\})? -?[\d.e+-]+$/;

function composeNested(depth: number): string {
  return `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`;
}

/** Entries that no target of ours writes, by their keys. */
function listOddEntries(): ReadonlyMap<string, string> {
  const sound = writeTarget(ADDRESS);
  const entries = new Map<string, string>();
  for (const [index, name] of ODD_NAMES.entries()) {
    entries.set(`i-service-${index}`, writeTarget(ADDRESS, { service: name }));
    entries.set(`i-domain-${index}`, writeTarget(ADDRESS, { domain: name }));
    entries.set(`i-version-${index}`, writeTarget(ADDRESS, { version: name }));
    entries.set(`i-state-${index}`, writeTarget(ADDRESS, { state: name }));
    entries.set(name, writeTarget(ADDRESS, { service: 'beta' }));
  }
  const texts = [
    ...['', 'null', '7', '[]', '{', '{"info":null}', composeNested(5000), composeNested(100_000)],
    sound.replace('"slots":4', `"slots":1${'0'.repeat(400)}`),
    sound.replace('"warmup_left_ms":0', `"warmup_left_ms":1${'0'.repeat(400)}`),
    sound.replace('127.0.0.1:9', '127.0.0.1:70000'),
    sound.replace('"info":{', `"__proto__":{"service":"x"},"info":{"more":${composeNested(5000)},`),
  ];
  for (const [index, text] of texts.entries()) entries.set(`i-text-${index}`, text);
  return entries;
}

describe('names that other systems choose', () => {
  // Guards against an entry of another writer that ends every daemon, again after each restart.
  it('in the list of targets leave the daemon and sound targets alone', async () => {
    const site = new Site();
    site.hasMetrics = true;
    try {
      await site.start([{ prefix: '/a/' }]);
      await site.addTarget();
      for (const [key, text] of listOddEntries()) site.store.put(KEYS.targets + key, text);
      const ip = await site.addGateway();
      const countStatuses = () =>
        site.events.filter(({ event }) => event === 'gateway.status').length;
      await waitUntil(() => countStatuses() >= 1, 'a status is logged');
      expect(await sendTo(ip)).to.include({ status: 200, whole: true });
      const added = await site.addTarget('alpha');
      await waitUntil(() => {
        sendTo(ip).catch(() => undefined);
        return added.ran.length > 0;
      }, 'a new target is used');
      for (const line of (await readPage(ip, 'metrics', '/metrics')).split('\n')) {
        if (line !== '' && !line.startsWith('#')) expect(line).to.match(METRIC_LINE);
      }
    } finally {
      site.stop();
    }
  }).timeout(20_000);

  for (const name of ODD_NAMES) {
    describe(JSON.stringify(name.slice(0, 20)), () => {
      const estimate = { mean: 2, slow: 5, life: 150, knee: 1.7, samples: 400, at: 7000 };
      const route = { work: 220, spread: 1.35, samples: 50, at: 7000 };

      it('keeps its learned state, and has none before', () => {
        const state = {
          ...{ services: new Map([[name, estimate]]), routes: new Map([[name, route]]) },
          ...{ homes: 1, poison: [] },
        };
        expect(parseLearnedState(formatLearnedState(state))).to.deep.equal(state);
        const empty = parseLearnedState('{"services":{},"routes":{}}');
        expect(empty.services.get(name)).to.equal(undefined);
      });

      it('is no state of a target and no kind of a request', () => {
        const target = decodeTarget('i-1', writeTarget(ADDRESS, { state: name }));
        expect(target).to.include({ kind: 'fault', what: 'state' });
        const text = writeConfiguration(3, [{ prefix: '/a/' }]);
        const kind = text.replace('"kind":"safe"', `"kind":${JSON.stringify(name)}`);
        expect(decodeConfiguration(kind)).to.include({ kind: 'fault', what: 'r/a/: kind' });
      });

      it('of a document is changed like any other', () => {
        const header = { id: 'c1', author: 'a', message: 'm' };
        const change = createChange(header, {}, new Map([[name, 'text']]));
        expect(change.edits).to.have.length(1);
        const hashes = applyEdits(change.edits, {});
        expect(Object.entries(hashes)).to.deep.equal([[name, hashText('text')]]);
        expect(createChange(header, {}, new Map([[name, undefined]])).edits).to.have.length(0);
      });
    });
  }
});
