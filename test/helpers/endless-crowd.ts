/**
 * Targets that send as fast as they can without end, and their callers, each as a process of their
 * own.
 */
import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { Address } from '../../src/kernel/index.js';
import { HOST } from '../../src/standin/index.js';

/** What targets answer: the lines of a head, and what is then repeated without end. */
export interface EndlessForm {
  /** The requests that are answered in this form; others are answered in full. */
  readonly to: 'calls' | 'probes' | 'nothing';
  /** Sent first, with `%id` replaced by the identifier of the request. */
  readonly first: string;
  readonly repeated: string;
}

/** What is known of the connections that are sent to without end. */
export interface EndlessConnections {
  readonly opened: number;
  readonly open: number;
  /** The longest time from a request to the close of its connection, or until now. */
  readonly longestMs: number;
}

/** The calls to such targets. */
export interface CallerCrowd {
  readonly ip: string;
  readonly port: number;
  readonly calls: number;
  /** Over how long they begin. */
  readonly spreadMs: number;
  /** How long each waits for its answer. */
  readonly patienceMs: number;
  readonly readsAnswers: boolean;
}

const PIECE_BYTES = 262_144;
const UPLOAD_BYTES = 100_000;
const HEALTHY = 'HTTP/1.1 200 OK\r\nInstance-Id: %id\r\nServer-Load: 0,0,4,100\r\n';
const WHOLE = 'HTTP/1.1 200 OK\r\nAttempt-Id: %id\r\nServer-Signature: s\r\nContent-Length: 2';

interface Connection {
  readonly startedAt: number;
  closedAt: number | undefined;
}

/** One process's targets. */
class EndlessTargets {
  readonly #connections: Connection[] = [];

  readonly #piece: Buffer;

  constructor(private readonly form: EndlessForm) {
    const count = Math.ceil(PIECE_BYTES / form.repeated.length);
    this.#piece = Buffer.from(form.repeated.repeat(count));
  }

  async listen(instance: string): Promise<number> {
    const server: Server = net.createServer((socket) => this.#serve(socket, instance));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return (server.address() as AddressInfo).port;
  }

  count(): EndlessConnections {
    const now = performance.now();
    const times = this.#connections.map(({ startedAt, closedAt = now }) => closedAt - startedAt);
    return {
      opened: this.#connections.length,
      open: this.#connections.filter(({ closedAt }) => closedAt === undefined).length,
      longestMs: Math.round(Math.max(0, ...times)),
    };
  }

  #serve(socket: Socket, instance: string): void {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      text += data.toString('latin1');
      const headEnd = text.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text)?.[1] ?? 0);
      if (text.length < headEnd + 4 + length) return;
      const head = text.slice(0, headEnd);
      text = text.slice(headEnd + 4 + length);
      this.#answer(socket, head, instance);
    });
  }

  #answer(socket: Socket, head: string, instance: string): void {
    const isProbe = head.startsWith('GET /health ');
    const id = isProbe ? instance : (/\r\nattempt-id: *(\S+)/i.exec(head)?.[1] ?? '');
    if (this.form.to === (isProbe ? 'probes' : 'calls')) {
      socket.write(this.form.first.replace('%id', id));
      this.#sendEndlessly(socket);
      return;
    }
    const whole = isProbe ? `${HEALTHY}Content-Length: 0\r\n\r\n` : `${WHOLE}\r\n\r\nok`;
    socket.write(whole.replace('%id', id));
  }

  #sendEndlessly(socket: Socket): void {
    const connection: Connection = { startedAt: performance.now(), closedAt: undefined };
    this.#connections.push(connection);
    socket.once('close', () => {
      connection.closedAt = performance.now();
    });
    socket.on('end', () => socket.destroy());
    const send = () => {
      if (!socket.destroyed && socket.write(this.#piece)) setImmediate(send);
    };
    socket.on('drain', send);
    send();
  }
}

async function runTargets(form: EndlessForm, count: number): Promise<void> {
  const targets = new EndlessTargets(form);
  const ids = Array.from({ length: count }, (_, index) => `endless-${index}`);
  const ports = await Promise.all(ids.map((id) => targets.listen(id)));
  process.on('message', () => process.send?.(targets.count()));
  process.on('disconnect', () => process.kill(process.pid));
  process.send?.(ids.map((id, index) => ({ id, port: ports[index] })));
}

/** The kinds of calls, one after the other. */
const METHODS = [
  ['GET', '/endless-read/1', 0],
  ['POST', '/endless-post/1', 1000],
  ['POST', '/endless-up/1', UPLOAD_BYTES],
] as const;

async function sendCall(crowd: CallerCrowd, index: number): Promise<void> {
  await pause((index * crowd.spreadMs) / crowd.calls);
  const [method, path, length] = METHODS[index % METHODS.length];
  const socket = net.connect(crowd.port, crowd.ip);
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  socket.on('error', () => undefined);
  socket.on('end', () => socket.destroy());
  if (crowd.readsAnswers) socket.resume();
  const fields = [`Host: ${HOST}`, `Attempt-Id: crowd-${index}`, 'Request-Deadline-Ms: 4000'];
  const head = [
    `${method} ${path} HTTP/1.1`,
    ...fields,
    `Content-Length: ${length}`,
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${'u'.repeat(length)}`);
  const timer = setTimeout(() => socket.destroy(), crowd.patienceMs);
  await closed;
  clearTimeout(timer);
}

const FILE = fileURLToPath(import.meta.url);

/** Targets in a process of their own. */
export class EndlessTargetProcess {
  readonly #child: ChildProcess;

  constructor(form: EndlessForm, size: number) {
    this.#child = fork(FILE, ['targets', JSON.stringify(form), String(size)]);
  }

  /** Starts them; returns their identifiers and addresses. */
  async start(): Promise<readonly (Address & { readonly id: string })[]> {
    const [targets] = await once(this.#child, 'message');
    return (targets as { readonly id: string; readonly port: number }[]).map((target) => ({
      ...target,
      host: '127.0.0.1',
    }));
  }

  async count(): Promise<EndlessConnections> {
    const answered = once(this.#child, 'message');
    this.#child.send('count');
    const [counts] = await answered;
    return counts as EndlessConnections;
  }

  stop(): void {
    this.#child.kill('SIGKILL');
  }
}

/** Runs the callers in a process of their own; resolves when all their calls have ended. */
export async function runCallerCrowd(crowd: CallerCrowd): Promise<void> {
  await once(fork(FILE, ['callers', JSON.stringify(crowd)]), 'exit');
}

if (process.argv[1] === FILE) {
  const [, , role, options = '', count] = process.argv;
  if (role === 'targets') {
    await runTargets(JSON.parse(options) as EndlessForm, Number(count));
  } else {
    const crowd = JSON.parse(options) as CallerCrowd;
    await Promise.all(Array.from({ length: crowd.calls }, (_, index) => sendCall(crowd, index)));
    process.disconnect();
  }
}
