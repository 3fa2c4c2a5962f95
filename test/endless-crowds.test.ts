/**
 * Crowds of calls to targets that send without end, as fast as they can, beside ordinary callers of
 * another service, played against the system's own process: it does not end or use more memory than
 * its machine has, ordinary callers are served, and the connections to the targets are closed.
 */
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { KEYS } from '../src/platform/index.js';
import {
  KvServer,
  RecordingTarget,
  writeConfiguration,
  writeTarget,
} from '../src/standin/index.js';
import { type EndlessForm, EndlessTargetProcess, runCallerCrowd } from './helpers/endless-crowd.js';
import { composeGatewaySettings, waitUntilReady } from './helpers/gateway-process.js';
import { OrdinaryCallers } from './helpers/ordinary-callers.js';
import { MemoryWatch, endProcess, startDeployedGateway } from './helpers/watched-process.js';

const MACHINE = { cpuShare: 0.54, memory: 250, descriptors: 4100 };
const IP = '127.0.19.4';
const PORTS = {
  ...{ callers: 18_544, readiness: 18_540, directory: 18_543, metrics: 18_549, peers: 18_560 },
};

const TIMEOUT_MS = 1500;
const RULES = [
  { prefix: '/read/', timeout: 4000 },
  { prefix: '/endless-read/', timeout: TIMEOUT_MS, service: 'beta' },
  { prefix: '/endless-post/', kind: 'unsafe', timeout: TIMEOUT_MS, service: 'beta' },
  { prefix: '/endless-up/', kind: 'upload', timeout: TIMEOUT_MS, service: 'beta' },
] as const;

const ENDLESS_TARGETS = 6;
const ORDINARY_PER_SECOND = 55;
const CROWD = { ip: IP, port: PORTS.callers, calls: 120, spreadMs: 1000, patienceMs: 2500 };

/** Share of the ordinary calls that has to be answered with 200. */
const MIN_SERVED = 0.95;

/** How long connections to the targets may stay open when all calls have ended. */
const CLOSE_MS = 2000;

/** How long a connection may stay open after the request of a probe. */
const PROBE_CLOSE_MS = 2000;

const SIGNED = 'Attempt-Id: %id\r\nServer-Signature: s\r\n';
const TO_CLOSE = `HTTP/1.1 200 OK\r\n${SIGNED}\r\n`;
const CHUNKED = `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n`;
const SMALL_CHUNK = '1\r\nx\r\n';

/** What calls are answered with, and whether their callers read it. */
const ANSWERS_TO_CALLS: readonly (readonly [string, string, string, 'read' | 'unread'])[] = [
  ['chunks of one byte', CHUNKED, SMALL_CHUNK, 'read'],
  ['chunks of one byte', CHUNKED, SMALL_CHUNK, 'unread'],
  ['a body of lines like a status line', TO_CLOSE, 'HTTP/1.1 200 OK\r\n', 'read'],
  ['chunks of 16 KB', CHUNKED, `4000\r\n${'x'.repeat(16_384)}\r\n`, 'read'],
  ['chunks with long extensions', CHUNKED, `1;${'e'.repeat(8000)}\r\nx\r\n`, 'read'],
  [
    'a body that quotes half a head',
    TO_CLOSE,
    `HTTP/1.1 200 OK\r\nContent-Type: te${'x'.repeat(2000)}\r\n`,
    'read',
  ],
  ['a plain body to the close', TO_CLOSE, 'x'.repeat(1000), 'read'],
  [
    'a body with a length of 9 GB',
    `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 9000000000\r\n\r\n`,
    'x'.repeat(1000),
    'read',
  ],
  ['a failure without a length', `HTTP/1.1 500 Ill\r\n${SIGNED}\r\n`, 'x'.repeat(1000), 'read'],
  ['blank lines before a head', '', '\r\n', 'read'],
];

const ANSWERS_TO_PROBES: readonly (readonly [string, string, string])[] = [
  ['interim answers', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
  [
    'chunks of one byte',
    'HTTP/1.1 200 OK\r\nInstance-Id: %id\r\nTransfer-Encoding: chunked\r\n\r\n',
    SMALL_CHUNK,
  ],
  ['blank lines', '', '\r\n'],
];

/** A store, the targets of both services, and one gateway daemon as a process. */
class CrowdedSite {
  readonly #store = new KvServer();

  readonly #ordinary: RecordingTarget[] = [];

  readonly #directory = mkdtempSync(join(tmpdir(), 'orchidbeam-'));

  readonly endless: EndlessTargetProcess;

  watch: MemoryWatch | undefined;

  #child: ChildProcess | undefined;

  constructor(form: EndlessForm) {
    this.endless = new EndlessTargetProcess(form, ENDLESS_TARGETS);
  }

  async start(): Promise<this> {
    const { host, port } = await this.#store.start();
    this.#store.put(KEYS.configuration, writeConfiguration(3, RULES));
    for (const incarnation of ['o-1', 'o-2']) {
      const target = await new RecordingTarget(incarnation).start();
      this.#ordinary.push(target);
      this.#store.put(KEYS.targets + incarnation, writeTarget(target.address));
    }
    for (const target of await this.endless.start()) {
      this.#store.put(KEYS.targets + target.id, writeTarget(target, { service: 'beta' }));
    }
    const file = join(this.#directory, 'gateway.ini');
    const store = `${host}:${port}`;
    writeFileSync(file, composeGatewaySettings({ ip: IP, ports: PORTS, store, machine: MACHINE }));
    this.#child = startDeployedGateway(file);
    this.watch = new MemoryWatch(this.#child, MACHINE.memory);
    await waitUntilReady(IP, PORTS.readiness);
    return this;
  }

  /** Waits until no connection is sent to without end, for at most {@link CLOSE_MS}. */
  async waitUntilClosed(): Promise<void> {
    const until = performance.now() + CLOSE_MS;
    while (performance.now() < until && (await this.endless.count()).open > 0) await pause(50);
  }

  async stop(): Promise<void> {
    this.watch?.stop();
    this.endless.stop();
    if (this.#child !== undefined) await endProcess(this.#child);
    for (const target of this.#ordinary) target.stop();
    this.#store.stop();
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

describe('a gateway daemon, beside a crowd of calls whose targets send without end', function run() {
  this.timeout(20_000);
  let site: CrowdedSite | undefined;
  afterEach(() => site?.stop());

  const play = async (form: EndlessForm, readsAnswers: boolean) => {
    site = await new CrowdedSite(form).start();
    const callers = new OrdinaryCallers({ host: IP, port: PORTS.callers }, undefined, {
      ...{ perSecond: ORDINARY_PER_SECOND, isReadOnly: true },
    });
    const running = callers.run();
    await pause(300);
    await runCallerCrowd({ ...CROWD, readsAnswers });
    await site.waitUntilClosed();
    callers.stop();
    await running;
    const connections = await site.endless.count();
    const memory = Math.round(site.watch?.peak ?? 0);
    const seen = `${connections.opened} connections, ${connections.open} open, at most ${connections.longestMs} ms`;
    process.stdout.write(`      ${memory} MB; ${seen}; ordinary calls: ${callers.describe()}\n`);
    expect(site.watch?.fault).to.equal(undefined);
    expect(callers.served, callers.describe()).to.be.at.least(MIN_SERVED);
    if (form.to !== 'nothing') expect(connections.opened, seen).to.be.greaterThan(0);
    return connections;
  };

  it('serves everyone while none of them does', async () => {
    const { opened } = await play({ to: 'nothing', first: '', repeated: '\r\n' }, true);
    expect(opened).to.equal(0);
  });

  // Guards against answers without end that take the process's memory or time from other callers.
  describe('in answers to calls', () => {
    for (const [what, first, repeated, reading] of ANSWERS_TO_CALLS) {
      it(`withstands ${what}, ${reading}`, async () => {
        const { open } = await play({ to: 'calls', first, repeated }, reading === 'read');
        expect(open).to.equal(0);
      });
    }
  });

  // Guards against probes whose answer is received for as long as it is sent.
  describe('in answers to health probes', () => {
    for (const [what, first, repeated] of ANSWERS_TO_PROBES) {
      it(`withstands ${what}`, async () => {
        const { longestMs } = await play({ to: 'probes', first, repeated }, true);
        expect(longestMs).to.be.at.most(PROBE_CLOSE_MS);
      });
    }
  });
});
