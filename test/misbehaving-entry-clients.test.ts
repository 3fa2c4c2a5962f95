/**
 * Clients that don't behave, played against an entry daemon of the product's own platform, as a
 * process, beside ordinary callers.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { type LaunchedEntry, System, findExample } from '../src/demo/index.js';
import type { Address } from '../src/kernel/index.js';
import { OrdinaryCallers } from './helpers/ordinary-callers.js';
import { type RogueCrowd, type RogueKind, runRogueClients } from './helpers/rogue-clients.js';
import { MemoryWatch } from './helpers/watched-process.js';

/** The smallest machine of the users' deployments. */
const MEMORY_MB = 250;

const LEDGER = 'ledger.konyvhaz.example';
/** An entry shares its slots fairly among callers, by their addresses. */
const CROWD_ADDRESS = '127.0.0.66';

const CROWD_TIME_MS = 3000;

/** Share of the ordinary callers' requests that has to be served. */
const MIN_SERVED = 0.95;

type Client = Pick<RogueCrowd, 'kind' | 'path' | 'connections'>;

const CALLER_CROWDS: readonly Client[] = [
  { kind: 'whole bodies', path: '/postings', connections: 200 },
  { kind: 'bodies in small chunks', path: '/postings', connections: 100 },
  { kind: 'chunks without end', path: '/postings', connections: 50 },
  { kind: 'many fields', path: '/balance', connections: 200 },
  { kind: 'many fields, unfinished', path: '/balance', connections: 1000 },
  { kind: 'requests sent ahead', path: '/balance', connections: 50 },
  { kind: 'slow heads', path: '/balance', connections: 500 },
  { kind: 'half bodies', path: '/postings', connections: 300 },
  { kind: 'answers read slowly', path: '/balance', connections: 100 },
];

const MIXED_KINDS: readonly RogueKind[] = [
  ...(['whole bodies', 'bodies in small chunks', 'chunks without end', 'many fields'] as const),
  ...(['many fields, unfinished', 'requests sent ahead', 'slow heads', 'half bodies'] as const),
  ...(['answers read slowly', 'silent connections'] as const),
];
const MIXED_CONNECTIONS = 40;

describe('an entry daemon, attacked by clients that do not behave', function run() {
  this.timeout(60_000);
  let system: System;
  let entry: LaunchedEntry;
  let watch: MemoryWatch;

  beforeEach(async () => {
    system = await System.create();
    await system.startTargets({ role: 'ledger', count: 3, slots: 6, serviceTime: 5 }, ['hu/bud1']);
    entry = await system.startEntry({ name: 'e0', domain: 'hu/bud1' });
    watch = new MemoryWatch(entry.child, MEMORY_MB);
    await system.configure([findExample('konyvhaz/service/ledger.ini')], 'test');
  });
  afterEach(async () => {
    watch.stop();
    await system.close();
  });

  const play = async (crowds: readonly Client[], { host: ip, port }: Address) => {
    const callers = new OrdinaryCallers(entry.callers, LEDGER);
    const running = callers.run();
    await pause(300);
    await runRogueClients(
      crowds.map((crowd) => ({
        ...{ ...crowd, ip, port, host: LEDGER, from: CROWD_ADDRESS },
        forMs: CROWD_TIME_MS,
      })),
    );
    await pause(300);
    callers.stop();
    await running;
    const memory = Math.round(watch.peak);
    process.stdout.write(`      ${memory} MB; ordinary requests: ${callers.describe()}\n`);
    expect(watch.fault).to.equal(undefined);
    expect(callers.served, callers.describe()).to.be.at.least(MIN_SERVED);
  };

  describe('of the listener for callers', () => {
    for (const crowd of CALLER_CROWDS) {
      it(`withstands ${crowd.connections} connections, ${crowd.kind} to ${crowd.path}`, () =>
        play([crowd], entry.callers));
    }
  });
  describe('of another listener', () => {
    for (const listener of ['peers', 'relay', 'admin'] as const) {
      it(`withstands all kinds of them at its port for ${listener}`, () =>
        play(
          MIXED_KINDS.map((kind) => ({ kind, path: '/balance', connections: MIXED_CONNECTIONS })),
          entry[listener],
        ));
    }
  });
});
