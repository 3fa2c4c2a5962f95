/**
 * Clients that don't behave, as a process of their own: a crowd of connections that send, or fail
 * to read, in one of several ways until their time is over.
 */
import { type ChildProcess, fork } from 'node:child_process';
import net, { type Socket } from 'node:net';
import { setImmediate as yieldLoop, setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HOST } from '../../src/standin/index.js';

/** What the clients of a crowd do. */
export type RogueKind =
  /** Bodies of legal size: in one piece, in many small writes, in chunks of one byte. */
  | 'whole bodies'
  | 'bodies in small pieces'
  | 'bodies in small chunks'
  /** Bodies of legal size that are too long to be buffered, in one piece. */
  | 'long bodies'
  /** Bodies far over the limit. */
  | 'bodies over the limit'
  | 'chunks without end'
  /** Heads of legal size that are made of very many short fields; the second kind is never ended. */
  | 'many fields'
  | 'many fields, unfinished'
  /** Requests sent ahead without reading the answers. */
  | 'requests sent ahead'
  /** One byte at a time. */
  | 'slow heads'
  | 'slow bodies'
  /** Half of a body, and then nothing. */
  | 'half bodies'
  | 'long bodies that stop'
  /** Answers that are asked for and not read, or read one piece at a time. */
  | 'unread answers'
  | 'answers read slowly'
  /** Connections that send nothing. */
  | 'silent connections';

/** One crowd of clients. */
export interface RogueCrowd {
  readonly kind: RogueKind;
  readonly ip: string;
  readonly port: number;
  readonly path: string;
  /** The host that they name; by default the one of the stand-in configuration. */
  readonly host?: string;
  /** Their own address; that of the machine by default. */
  readonly from?: string;
  readonly connections: number;
  readonly forMs: number;
}

/** Bodies up to this size are buffered by the daemons. */
const BUFFERED_BYTES = 1_000_000;
const LONG_BYTES = 8_000_000;

/** Just under the limit of the pages for the head of a request. */
const HEAD_BYTES = 16_000;

/** How much longer their process may take than the crowds. */
const MAX_START_MS = 2000;

const RECONNECT_DELAY_MS = 50;
const SLOW_PACE_MS = 20;

type Target = Pick<RogueCrowd, 'path' | 'host'>;

function composeHead(
  method: string,
  { path, host = HOST }: Target,
  lines: readonly string[] = [],
): Buffer {
  const fields = [`Host: ${host}`, 'Attempt-Id: r', 'Request-Deadline-Ms: 5000', ...lines];
  return Buffer.from(`${[`${method} ${path} HTTP/1.1`, ...fields].join('\r\n')}\r\n\r\n`);
}

function composeManyFields(to: Target): Buffer {
  const lines: string[] = [];
  for (let bytes = 200; bytes < HEAD_BYTES; bytes += 6) lines.push('ab:c');
  return composeHead('GET', to, lines);
}

function* spreadBytes(bytes: Buffer, size: number): Generator<Buffer> {
  for (let start = 0; start < bytes.length; start += size)
    yield bytes.subarray(start, start + size);
}

function composePost(to: Target, length: number): Buffer {
  return composeHead('POST', to, [`Content-Length: ${length}`]);
}

function composeChunkedPost(to: Target): Buffer {
  return composeHead('POST', to, ['Transfer-Encoding: chunked']);
}

/** Yields what one connection sends, piece by piece. */
function* composeInput(kind: RogueKind, to: Target): Generator<Buffer> {
  const body = Buffer.alloc(BUFFERED_BYTES, 'x');
  switch (kind) {
    case 'whole bodies':
      for (;;) yield Buffer.concat([composePost(to, body.length), body]);
    case 'bodies in small pieces':
      for (;;) {
        yield composePost(to, body.length);
        yield* spreadBytes(body, 64);
      }
    case 'bodies in small chunks':
      for (;;) {
        yield composeChunkedPost(to);
        for (let sent = 0; sent < BUFFERED_BYTES; sent += 1000) {
          yield Buffer.from('1\r\nx\r\n'.repeat(1000));
        }
        yield Buffer.from('0\r\n\r\n');
      }
    case 'long bodies':
      for (;;) {
        yield composePost(to, LONG_BYTES);
        for (let sent = 0; sent < LONG_BYTES; sent += BUFFERED_BYTES) yield body;
      }
    case 'bodies over the limit':
      yield composePost(to, 1e12);
      for (;;) yield body;
    case 'chunks without end':
      yield composeChunkedPost(to);
      for (;;) yield Buffer.concat([Buffer.from('f4240\r\n'), body, Buffer.from('\r\n')]);
    case 'many fields':
      for (;;) yield composeManyFields(to);
    case 'many fields, unfinished':
      yield composeManyFields(to).subarray(0, -2);
      return;
    case 'requests sent ahead':
    case 'unread answers':
    case 'answers read slowly':
      for (;;) yield Buffer.from(composeHead('GET', to).toString().repeat(100));
    case 'slow heads':
      yield* spreadBytes(composeManyFields(to), 1);
      return;
    case 'slow bodies':
      yield composePost(to, BUFFERED_BYTES);
      yield* spreadBytes(body.subarray(0, BUFFERED_BYTES / 2), BUFFERED_BYTES / 4);
      yield* spreadBytes(body, 1);
      return;
    case 'half bodies':
      yield composePost(to, BUFFERED_BYTES);
      yield body.subarray(0, BUFFERED_BYTES / 2);
      return;
    case 'long bodies that stop':
      yield composePost(to, LONG_BYTES);
      yield body;
      return;
    case 'silent connections':
      return;
    default:
      kind satisfies never;
  }
}

const SLOW_KINDS: ReadonlySet<RogueKind> = new Set(['slow heads', 'slow bodies']);

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('drain', resolve);
  });
}

function startReading(kind: RogueKind, socket: Socket): void {
  if (kind === 'unread answers' || kind === 'requests sent ahead') return;
  if (kind !== 'answers read slowly') {
    socket.resume();
    return;
  }
  const read = () => {
    if (socket.destroyed) return;
    socket.read(1);
    setTimeout(read, SLOW_PACE_MS);
  };
  read();
}

async function runConnection(crowd: RogueCrowd, until: number): Promise<void> {
  const { kind, ip, port, from } = crowd;
  const socket = net.connect({ port, host: ip, localAddress: from, noDelay: true });
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  const isOver = pause(Math.max(0, until - performance.now()));
  socket.on('end', () => socket.destroy());
  startReading(kind, socket);
  for (const piece of composeInput(kind, crowd)) {
    if (performance.now() > until || socket.destroyed) break;
    if (!socket.write(piece)) await Promise.race([waitForDrain(socket), closed, isOver]);
    if (SLOW_KINDS.has(kind)) await pause(SLOW_PACE_MS);
    else await yieldLoop();
  }
  await Promise.race([closed, isOver]);
  socket.destroy();
}

async function runCrowd(crowd: RogueCrowd): Promise<void> {
  const until = performance.now() + crowd.forMs;
  const runClient = async () => {
    while (performance.now() < until) {
      await runConnection(crowd, until);
      await pause(RECONNECT_DELAY_MS);
    }
  };
  await Promise.all(Array.from({ length: crowd.connections }, runClient));
}

const FILE = fileURLToPath(import.meta.url);

/** Runs crowds in a process of their own; resolves when their time is over. */
export function runRogueClients(crowds: readonly RogueCrowd[]): Promise<void> {
  const child: ChildProcess = fork(FILE, [JSON.stringify(crowds)], { stdio: 'inherit' });
  const longest = Math.max(...crowds.map(({ forMs }) => forMs));
  const timer = setTimeout(() => child.kill('SIGKILL'), longest + MAX_START_MS);
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

if (process.argv[1] === FILE) {
  const crowds = JSON.parse(process.argv[2] ?? '[]') as readonly RogueCrowd[];
  await Promise.all(crowds.map(runCrowd));
  process.disconnect();
}
