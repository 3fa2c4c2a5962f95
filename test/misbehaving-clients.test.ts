/**
 * Clients that don't behave, played against the system's own processes beside ordinary callers:
 * no process ends or uses more memory than the smallest machine has, and ordinary callers are
 * served.
 */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import {
  HOST,
  KvServer,
  RecordingTarget,
  writeConfiguration,
  writeTarget,
} from '../src/standin/index.js';
import { KEYS } from '../src/platform/index.js';
import { waitUntil } from './helpers/fleet.js';
import { type RogueCrowd, type RogueKind, runRogueClients } from './helpers/rogue-clients.js';
import { OrdinaryCallers } from './helpers/ordinary-callers.js';
import { composeGatewaySettings, waitUntilReady } from './helpers/gateway-process.js';
import { MemoryWatch, endProcess, startDeployedGateway } from './helpers/watched-process.js';

/** The smallest machine of the users' deployments. */
const MEMORY_MB = 250;
const DESCRIPTORS = 4100;
const CPU_SHARE = 0.27;

const IP = '127.0.19.1';
const PORTS = {
  ...{ callers: 18_344, readiness: 18_340, directory: 18_343, metrics: 18_349, peers: 18_360 },
  carrying: 18_361,
};

/** The limits of the users' pages. */
const LIMITS = {
  ...{ max_header_bytes: 16_384, max_body_bytes: 67_108_864 },
  ...{ header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
};

const RULES = [
  { prefix: '/read/', timeout: 4000 },
  { prefix: '/big/', timeout: 4000, service: 'beta' },
  // The service of the ordinary callers' requests.
  { prefix: '/load/', kind: 'upload', timeout: 4000 },
  { prefix: '/up/', kind: 'upload', timeout: 4000, service: 'beta' },
] as const;

const CROWD_TIME_MS = 3000;

/** Share of the ordinary callers' requests that has to be served. */
const MIN_SERVED = 0.95;

const BIG_ANSWER = 'a'.repeat(200_000);

/** A store, targets, and one gateway daemon as a process. */
class WatchedSite {
  readonly store = new KvServer();

  readonly targets: RecordingTarget[] = [];

  readonly #directory = mkdtempSync(join(tmpdir(), 'orchidbeam-'));

  watch: MemoryWatch | undefined;

  #child: ChildProcess | undefined;

  async start(): Promise<this> {
    const { host, port } = await this.store.start();
    this.store.put(KEYS.configuration, writeConfiguration(3, RULES, { limits: LIMITS }));
    for (const service of ['alpha', 'alpha', 'beta', 'beta']) {
      const target = await new RecordingTarget(`i-${this.targets.length + 1}`).start();
      this.targets.push(target);
      target.behaviour = (request, response) => {
        request.resume();
        request.on('end', () => {
          const body = request.url?.startsWith('/big/') === true ? BIG_ANSWER : 'ok';
          setTimeout(() => target.answer(request, response, body), 5);
        });
      };
      this.store.put(KEYS.targets + target.incarnation, writeTarget(target.address, { service }));
    }
    const file = join(this.#directory, 'gateway.ini');
    const machine = { cpuShare: CPU_SHARE, memory: MEMORY_MB, descriptors: DESCRIPTORS };
    writeFileSync(
      file,
      composeGatewaySettings({ ip: IP, ports: PORTS, store: `${host}:${port}`, machine }),
    );
    this.#child = startDeployedGateway(file);
    this.watch = new MemoryWatch(this.#child, MEMORY_MB);
    await waitUntilReady(IP, PORTS.readiness);
    return this;
  }

  async stop(): Promise<void> {
    this.watch?.stop();
    if (this.#child !== undefined) await endProcess(this.#child);
    for (const target of this.targets) target.stop();
    this.store.stop();
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

type Client = Pick<RogueCrowd, 'kind' | 'path' | 'connections'>;

function describeClient({ kind, path, connections }: Client): string {
  return `${connections} connections, ${kind} to ${path}`;
}

/** What is sent to the listener for callers, one crowd at a time. */
const CALLER_CROWDS: readonly Client[] = [
  { kind: 'whole bodies', path: '/up/1', connections: 300 },
  { kind: 'whole bodies', path: '/nowhere/1', connections: 300 },
  { kind: 'bodies in small pieces', path: '/up/1', connections: 100 },
  { kind: 'bodies in small chunks', path: '/up/1', connections: 100 },
  { kind: 'bodies in small chunks', path: '/nowhere/1', connections: 100 },
  { kind: 'long bodies', path: '/up/1', connections: 100 },
  { kind: 'bodies over the limit', path: '/up/1', connections: 50 },
  { kind: 'chunks without end', path: '/up/1', connections: 50 },
  { kind: 'chunks without end', path: '/nowhere/1', connections: 50 },
  { kind: 'many fields', path: '/read/1', connections: 200 },
  { kind: 'many fields', path: '/nowhere/1', connections: 200 },
  { kind: 'many fields, unfinished', path: '/read/1', connections: 1000 },
  { kind: 'requests sent ahead', path: '/read/1', connections: 50 },
  { kind: 'requests sent ahead', path: '/nowhere/1', connections: 50 },
  { kind: 'slow heads', path: '/read/1', connections: 1000 },
  { kind: 'slow bodies', path: '/up/1', connections: 500 },
  { kind: 'half bodies', path: '/up/1', connections: 500 },
  { kind: 'long bodies that stop', path: '/load/1', connections: 100 },
  { kind: 'unread answers', path: '/big/1', connections: 200 },
  { kind: 'answers read slowly', path: '/big/1', connections: 200 },
  { kind: 'silent connections', path: '/', connections: 4000 },
];

/** What is sent to each of the other listeners, all at once. */
const MIXED_KINDS: readonly RogueKind[] = [
  ...(['whole bodies', 'bodies in small chunks', 'bodies over the limit'] as const),
  ...(['chunks without end', 'many fields', 'many fields, unfinished'] as const),
  ...(['requests sent ahead', 'slow heads', 'slow bodies', 'half bodies'] as const),
  ...(['answers read slowly', 'silent connections'] as const),
];

const OTHER_LISTENERS = [
  ['readiness', '/ready'],
  ['directory', `/resolve?name=${HOST}&region=r1&zone=d1`],
  ['metrics', '/metrics'],
  ['peers', '/feed?targets=0&configuration=0&evacuations=0&members=0'],
  ['carrying', '/read/1'],
] as const;

const MIXED_CONNECTIONS = 40;

/** Sends bytes on one connection and returns the statuses of the answers, until `count` have come. */
async function readStatuses(pieces: Iterable<Buffer>, count: number): Promise<readonly string[]> {
  const socket = net.connect(PORTS.callers, IP);
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (data: Buffer) => {
    text += data.toString('latin1');
  });
  const listStatuses = () =>
    [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = '']) => status);
  for (const piece of pieces) {
    if (!socket.write(piece)) await once(socket, 'drain');
  }
  await waitUntil(() => listStatuses().length >= count || socket.destroyed, `${count} answers`);
  socket.destroy();
  return listStatuses();
}

const HEAD = [...[`Host: ${HOST}`, 'Attempt-Id: calm', 'Request-Deadline-Ms: 10000']].join('\r\n');

function composeFullHead(): Buffer {
  const head = `GET /read/1 HTTP/1.1\r\n${HEAD}\r\n`;
  const count = Math.floor((LIMITS.max_header_bytes - head.length - 2) / 'a:b\r\n'.length);
  return Buffer.from(`${head}${'a:b\r\n'.repeat(count)}\r\n`);
}

function* composeBody(bytes: number, chunkBytes: number): Generator<Buffer> {
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`);
  yield Buffer.from(`POST /up/1 HTTP/1.1\r\n${HEAD}\r\nTransfer-Encoding: chunked\r\n\r\n`);
  for (let sent = 0; sent < bytes; sent += chunkBytes) yield chunk;
  yield Buffer.from('0\r\n\r\n');
}

function* composeLongestBody(): Generator<Buffer> {
  const length = LIMITS.max_body_bytes;
  yield Buffer.from(`POST /up/1 HTTP/1.1\r\n${HEAD}\r\nContent-Length: ${length}\r\n\r\n`);
  const piece = Buffer.alloc(1_048_576, 'x');
  for (let sent = 0; sent < length; sent += piece.length) yield piece;
}

/** Requests inside the limits, however unusual: what is sent, and how many answers come. */
const LEGAL_INPUTS: readonly (readonly [string, () => Iterable<Buffer>, number])[] = [
  ['a head of very many short fields', () => [composeFullHead()], 1],
  [
    'a long path',
    () => [Buffer.from(`GET /read/${'p'.repeat(16_000)} HTTP/1.1\r\n${HEAD}\r\n\r\n`)],
    1,
  ],
  ['the longest body', composeLongestBody, 1],
  ['the longest body in chunks', () => composeBody(LIMITS.max_body_bytes, 65_536), 1],
  ['a body in chunks of one byte', () => composeBody(300_000, 1), 1],
  ['a long body in chunks of 16 bytes', () => composeBody(3_000_000, 16), 1],
  [
    'many requests sent ahead',
    () => [Buffer.from(`GET /read/1 HTTP/1.1\r\n${HEAD}\r\n\r\n`.repeat(100))],
    100,
  ],
];

describe('a gateway daemon in calm', function run() {
  this.timeout(30_000);
  let site: WatchedSite;
  beforeEach(async () => {
    site = await new WatchedSite().start();
  });
  afterEach(() => site.stop());

  for (const [what, compose, count] of LEGAL_INPUTS) {
    it(`serves ${what}`, async () => {
      const statuses = await readStatuses(compose(), count);
      expect(statuses).to.deep.equal(Array.from({ length: count }, () => '200'));
      expect(site.watch?.fault).to.equal(undefined);
    });
  }
});

describe('a gateway daemon, attacked by clients that do not behave', function run() {
  this.timeout(60_000);
  let site: WatchedSite;
  beforeEach(async () => {
    site = await new WatchedSite().start();
  });
  afterEach(() => site.stop());

  const play = async (crowds: readonly RogueCrowd[]) => {
    const callers = new OrdinaryCallers({ host: IP, port: PORTS.callers });
    const running = callers.run();
    await pause(300);
    await runRogueClients(crowds);
    await pause(300);
    callers.stop();
    await running;
    const memory = Math.round(site.watch?.peak ?? 0);
    process.stdout.write(`      ${memory} MB; ordinary requests: ${callers.describe()}\n`);
    expect(site.watch?.fault).to.equal(undefined);
    expect(callers.served, callers.describe()).to.be.at.least(MIN_SERVED);
  };

  describe('of the listener for callers', () => {
    for (const client of CALLER_CROWDS) {
      it(`withstands ${describeClient(client)}`, () =>
        play([{ ...client, ip: IP, port: PORTS.callers, forMs: CROWD_TIME_MS }]));
    }
  });
  describe('of another listener', () => {
    for (const [listener, path] of OTHER_LISTENERS) {
      it(`withstands all kinds of them at its port for ${listener}`, () =>
        play(
          MIXED_KINDS.map((kind) => ({
            ...{ kind, path, ip: IP, port: PORTS[listener] },
            ...{ connections: MIXED_CONNECTIONS, forMs: CROWD_TIME_MS },
          })),
        ));
    }
  });
});
