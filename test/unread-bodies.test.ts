/** Uploads that are answered before they have been read, and what comes behind them. */
import type { IncomingMessage } from 'node:http';
import net, { type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { type Behaviour, HOST } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { Site, callersPort, sendRaw, sendTo } from './helpers/gateways.js';

const ROUTES = [
  { prefix: '/up/', kind: 'upload', timeout: 700 },
  { prefix: '/once/', kind: 'unsafe', timeout: 2000 },
  { prefix: '/empty/', kind: 'upload', service: 'beta' },
] as const;

/** How long the fleet takes to settle, and a partition to be found. */
const SETTLE_MS = 2600;
const FOUND_MS = 1500;

const HALF = 600_000;
/** More than twice what is buffered, so that a target gets the first half. */
const LONG = 2_600_000;

type Framing = 'length' | 'chunked';

interface Answer {
  readonly status: number;
  readonly isClosing: boolean;
}

/** A caller that keeps one connection and sees the bytes that arrive on it. */
class RawCaller {
  readonly answers: Answer[] = [];

  isClosed = false;

  #bytes = Buffer.alloc(0);

  readonly socket: Socket;

  constructor(ip: string) {
    this.socket = net.connect(callersPort, ip);
    this.socket.on('error', () => undefined);
    this.socket.on('data', (data: Buffer) => {
      this.#bytes = Buffer.concat([this.#bytes, data]);
      while (this.#takeAnswer());
    });
    this.socket.on('close', () => {
      this.isClosed = true;
    });
  }

  #takeAnswer(): boolean {
    const end = this.#bytes.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const head = this.#bytes.subarray(0, end).toString('latin1');
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
    if (this.#bytes.length < end + 4 + length) return false;
    this.#bytes = this.#bytes.subarray(end + 4 + length);
    this.answers.push({
      status: Number(head.split(' ')[1]),
      isClosing: /^connection: close$/im.test(head),
    });
    return true;
  }

  /** Sends a request and the first half of its body; returns the second half. */
  begin(path: string, bytes: number, framing: Framing, method = 'POST'): Buffer {
    const body = Buffer.alloc(bytes, 'x');
    const isChunked = framing === 'chunked';
    const header = isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${bytes}`;
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, 'Attempt-Id: t1', header];
    const content = isChunked
      ? Buffer.concat([
          Buffer.from(`${bytes.toString(16)}\r\n`),
          body,
          Buffer.from('\r\n0\r\n\r\n'),
        ])
      : body;
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    this.socket.write(content.subarray(0, bytes / 2));
    return content.subarray(bytes / 2);
  }

  async waitForAnswer(count: number): Promise<Answer | undefined> {
    await waitUntil(() => this.answers.length >= count || this.isClosed, `answer ${count}`);
    return this.answers[count - 1];
  }
}

/** Ways in which a target answers an upload, or fails, before it has read the body. */
const EARLY_ENDS: readonly (readonly [string, Behaviour, ...number[]])[] = [
  ['crashes', ({ socket }) => socket.resetAndDestroy(), 502],
  ['closes the connection', ({ socket }) => socket.destroy(), 502],
  [
    'rejects it and closes the connection',
    (_, response) => response.writeHead(503, { 'Not-Executed': '1', Connection: 'close' }).end(),
    // The target resets the connection, and its answer may be lost.
    ...[503, 502],
  ],
  [
    'rejects it and keeps the connection',
    (request) =>
      request.socket.write('HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'),
    503,
  ],
  [
    'answers it and keeps the connection',
    (request) =>
      request.socket.write('HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok'),
    200,
  ],
  [
    'fails it',
    (request) =>
      request.socket.write(
        'HTTP/1.1 500 Ill\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok',
      ),
    500,
  ],
  [
    'answers another request',
    (request) =>
      request.socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n'),
    502,
  ],
  ['sends what is no answer', (request) => sendRaw(request, 'HTTP/1.1 000 OK\r\n\r\n'), 502],
  ['does not answer in time', () => undefined, 504],
];

const REFUSED_BODIES = [
  [2000, 'length', '/nowhere/1', 404],
  [HALF, 'length', '/nowhere/1', 404],
  [HALF, 'chunked', '/nowhere/1', 404],
  [LONG, 'length', '/nowhere/1', 404],
  // Shorter bodies are read before it is found that the service has no target.
  [LONG, 'length', '/empty/1', 503],
  [LONG, 'chunked', '/empty/1', 503],
] as const;

describe('an upload that is answered before it was read', () => {
  let site: Site;
  let ip: string;
  const callers: RawCaller[] = [];
  const connect = () => {
    const caller = new RawCaller(ip);
    callers.push(caller);
    return caller;
  };
  beforeEach(async () => {
    site = await new Site().start(ROUTES);
    await site.addTarget();
    ip = await site.addGateway();
  });
  afterEach(() => {
    for (const { socket } of callers.splice(0)) socket.destroy();
    site.stop();
  });

  /**
   * Sends the rest of an upload that has been answered, and a posting behind it. Either the posting
   * is answered, or the answer to the upload announced that the connection closes, and it does.
   */
  const checkPostingBehind = async (caller: RawCaller, rest: Buffer) => {
    const [{ isClosing }] = caller.answers;
    caller.socket.write(rest);
    for (const target of site.targets) target.behaviour = undefined;
    const ran = site.targets.flatMap((target) => target.ran).length;
    caller.begin('/once/1', 2, 'length');
    caller.socket.write('x');
    const answer = await caller.waitForAnswer(2);
    if (isClosing) {
      expect(answer).to.equal(undefined);
      expect(site.targets.flatMap((target) => target.ran)).to.have.length(ran);
    } else {
      expect(answer).to.include({ status: 200 });
    }
    return isClosing;
  };

  // Guards against a connection that is never read again after a long upload has ended early.
  for (const [what, behaviour, ...statuses] of EARLY_ENDS) {
    for (const framing of ['length', 'chunked'] as const) {
      it(`as its target ${what} leaves no posting behind it unread (${framing})`, async () => {
        site.targets[0].behaviour = (request, response) => {
          request.once('data', () => {
            request.pause();
            behaviour(request, response);
          });
        };
        const caller = connect();
        const rest = caller.begin('/up/1', LONG, framing);
        expect((await caller.waitForAnswer(1))?.status).to.be.oneOf(statuses);
        await checkPostingBehind(caller, rest);
      });
    }
  }

  describe('as it is refused', () => {
    for (const [bytes, framing, path, status] of REFUSED_BODIES) {
      it(`with ${status} leaves no posting behind ${bytes} bytes (${framing}) unread`, async () => {
        const caller = connect();
        const rest = caller.begin(path, bytes, framing);
        expect(await caller.waitForAnswer(1)).to.include({ status });
        const isClosing = await checkPostingBehind(caller, rest);
        if (bytes < LONG) expect(isClosing).to.equal(false);
      });
    }
    it('reaches a caller that reads only after it has sent the whole body', async () => {
      const caller = connect();
      caller.socket.pause();
      caller.socket.write(caller.begin('/empty/1', 3 * HALF, 'length'));
      await pause(300);
      caller.socket.resume();
      expect(await caller.waitForAnswer(1)).to.deep.equal({ status: 503, isClosing: true });
    });
    for (const method of ['PUT', 'DELETE', 'GET']) {
      it(`is the same with ${method}`, async () => {
        const caller = connect();
        const rest = caller.begin('/nowhere/1', HALF, 'chunked', method);
        expect(await caller.waitForAnswer(1)).to.include({ status: 404 });
        expect(await checkPostingBehind(caller, rest)).to.equal(false);
      });
    }
  });

  describe('and is never completed', () => {
    // Guards against a caller that has the gateway read without end.
    it('is closed when more than the longest rest has been discarded', async () => {
      const caller = connect();
      caller.begin('/nowhere/1', 60_000_000, 'chunked');
      expect(await caller.waitForAnswer(1)).to.include({ status: 404 });
      await waitUntil(() => caller.isClosed, 'the connection is closed');
    });
    it('is closed after some seconds, however slowly it is sent', async () => {
      const caller = connect();
      const rest = caller.begin('/nowhere/1', HALF, 'length');
      expect(await caller.waitForAnswer(1)).to.include({ status: 404 });
      const startedAt = performance.now();
      for (let at = 0; !caller.isClosed && performance.now() - startedAt < 8000; at += 1) {
        caller.socket.write(rest.subarray(at, at + 1));
        await pause(100);
      }
      expect(caller.isClosed).to.equal(true);
      expect(performance.now() - startedAt).to.be.within(4500, 6000);
    });
  });

  it('as its carrier loses the target leaves no posting behind it unread', async () => {
    site.isPartitionable = true;
    ip = await site.addGateway();
    await site.addGateway([ip]);
    await pause(SETTLE_MS);
    site.partition(ip, 'silent');
    await Promise.all([sendTo(ip, { path: '/once/1' }), sendTo(ip, { path: '/once/1' })]);
    await pause(FOUND_MS);
    site.targets[0].behaviour = (request) =>
      request.once('data', () => request.socket.resetAndDestroy());
    const caller = connect();
    const rest = caller.begin('/up/1', LONG, 'length');
    expect(await caller.waitForAnswer(1)).to.include({ status: 502 });
    expect(site.events.some(({ event }) => event === 'call.carried')).to.equal(true);
    await checkPostingBehind(caller, rest);
  });

  // Guards against a connection to a target that stays open when nobody sends or reads on it.
  it('leaves no connection to its target open when the caller leaves after the answer', async () => {
    let received: IncomingMessage | undefined;
    site.targets[0].behaviour = (request) => {
      received = request;
      request.once('data', () => {
        request.pause();
        request.socket.write(
          'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok',
        );
      });
    };
    const caller = connect();
    caller.begin('/up/1', LONG, 'length');
    expect(await caller.waitForAnswer(1)).to.include({ status: 200 });
    caller.socket.destroy();
    received?.on('error', () => undefined);
    received?.resume();
    await waitUntil(() => received?.socket.destroyed === true, 'the connection is closed');
  });
});
