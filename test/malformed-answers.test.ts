/** Targets whose answers are no answers in the protocol. */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { NO_BODY, sendRequest } from '../src/gateway/requests/outgoing-request.js';
import { TargetConnections } from '../src/gateway/targets/connections.js';
import { type Address, createSystemClock, openTcpSocket } from '../src/kernel/index.js';
import { createKvStore } from '../src/platform/index.js';
import { listPairs } from '../src/proxy/headers.js';
import type { RecordingTarget } from '../src/standin/index.js';
import { Fleet, putDocuments, send, waitUntil, writeService } from './helpers/fleet.js';
import { Site, breakFirst, readPage, sendRaw, sendTo } from './helpers/gateways.js';

const SIGNED = 'Server-Signature: s\r\nContent-Length: 2\r\n';

const ANOTHER_VERSION = 'another version of HTTP';

const MALFORMED_ANSWERS: readonly (readonly [string, string])[] = [
  ['status 000', `HTTP/1.1 000 OK\r\n${SIGNED}\r\nok`],
  ['status 099', `HTTP/1.1 099 OK\r\n${SIGNED}\r\nok`],
  ['status 101', `HTTP/1.1 101 OK\r\n${SIGNED}\r\nok`],
  [
    'a switch of protocols',
    'HTTP/1.1 101 OK\r\nServer-Signature: s\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok',
  ],
  ['status 600', `HTTP/1.1 600 OK\r\n${SIGNED}\r\nok`],
  ['a space in a header name', `HTTP/1.1 200 OK\r\n${SIGNED}A B: 1\r\n\r\nok`],
  ['a space behind a header name', `HTTP/1.1 200 OK\r\n${SIGNED}A : 1\r\n\r\nok`],
  ['an empty header name', `HTTP/1.1 200 OK\r\n${SIGNED}: 1\r\n\r\nok`],
  [ANOTHER_VERSION, `HTTP/2.0 200 OK\r\n${SIGNED}\r\nok`],
  [
    'a transfer coding before chunked',
    'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
  ],
  [
    'a transfer coding without an end',
    'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: gzip\r\n\r\nok',
  ],
  ['interim answers without end', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1000)],
  ['a head without end', `HTTP/1.1 200 OK\r\nServer-Signature: s\r\nA: ${'a'.repeat(300_000)}`],
];

describe('a target whose answer is malformed', () => {
  let site: Site;
  let ip: string;
  beforeEach(async () => {
    site = new Site();
    site.hasMetrics = true;
    await site.start([{ prefix: '/a/' }, { prefix: '/once/', kind: 'unsafe' }]);
    await site.addTarget();
    await site.addTarget();
    ip = await site.addGateway();
  });
  afterEach(() => site.stop());

  // Guards against an answer that Node's client accepts and Node's server refuses to write: the
  // exception ended the gateway process, and with it all requests that it held.
  for (const [what, bytes] of MALFORMED_ANSWERS) {
    it(`with ${what}: the caller gets another target's answer, or 502 if the request may not be repeated`, async () => {
      const behaviour = (request: IncomingMessage) => sendRaw(request, bytes);
      breakFirst(site.targets, behaviour);
      const safe = await sendTo(ip, { deadline: 2000 });
      expect(safe).to.include({ status: 200, whole: true });
      breakFirst(site.targets, behaviour);
      const unsafe = await sendTo(ip, { path: '/once/1', method: 'POST', body: 'x' });
      expect(unsafe).to.include({ status: 502, whole: true });
      expect(unsafe.headers).to.not.have.property('server-signature');
      expect(unsafe.took).to.be.lessThan(1000);
    });
  }

  it('leaves nothing of its head in force: no report, and no word that the request has not run', async () => {
    breakFirst(site.targets, (request) =>
      sendRaw(
        request,
        `HTTP/1.1 000 OK\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n${SIGNED}\r\nok`,
      ),
    );
    const reply = await sendTo(ip, { path: '/once/1', method: 'POST', body: 'x' });
    expect(reply.status).to.equal(502);
    expect(site.events.filter(({ event }) => event === 'target.draining')).to.have.length(0);
  });

  // Guards against a probe that never ends, after which its target was not probed any more.
  it('to a probe is probed again', async () => {
    const sockets = new Set<Socket>();
    let probes = 0;
    const server = net.createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => {
        probes += 1;
        socket.write('HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n');
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const impostor = { incarnation: 'i-odd', address: { host: '127.0.0.1', port } };
    site.putTarget(impostor as RecordingTarget);
    await waitUntil(() => {
      sendTo(ip).catch(() => undefined);
      return probes > 20;
    }, 'the target is probed again and again');
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  // Guards against one request whose handling throws ending the process, and so the others.
  it('and makes the gateway throw ends this request only', async () => {
    const { writeHead } = http.ServerResponse.prototype;
    http.ServerResponse.prototype.writeHead = function writeOrThrow(
      this: ServerResponse,
      ...args: [number, ...unknown[]]
    ) {
      if (JSON.stringify(args).includes('x-unwritable')) throw new Error('unexpected');
      return writeHead.apply(this, args as Parameters<typeof writeHead>);
    } as typeof writeHead;
    try {
      let finishOther = () => {};
      breakFirst(site.targets, (request, response) => {
        finishOther = () => site.targets[0].answer(request, response);
      });
      const other = sendTo(ip, { path: '/once/1', method: 'POST', body: 'x' });
      await waitUntil(() => site.targets.some(({ ran }) => ran.length > 0), 'one request runs');
      breakFirst(site.targets, (request) =>
        sendRaw(request, `HTTP/1.1 200 OK\r\nx-unwritable: 1\r\n${SIGNED}\r\nok`),
      );
      expect(await sendTo(ip)).to.include({ status: 502, whole: true });
      finishOther();
      expect((await other).status).to.equal(200);
      expect(await readPage(ip, 'metrics', '/metrics')).to.match(/requests_broken\S* 1\b/);
      expect(site.events.map(({ event }) => event)).to.include('request.broken');
    } finally {
      http.ServerResponse.prototype.writeHead = writeHead;
    }
  });
});

describe("a malformed answer to the product's own daemon", () => {
  const fleet = new Fleet({});
  const sockets = new Set<Socket>();
  let bytes = '';
  let entry: Address;
  const target = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(Buffer.from(bytes, 'latin1')));
  });
  before(async () => {
    target.listen(0, '127.0.0.1');
    await once(target, 'listening');
    const { port } = target.address() as AddressInfo;
    putDocuments(fleet.store, { 'service/test': writeService([{ host: '127.0.0.1', port }]) });
    entry = (await fleet.start()).callersAddress;
  });
  after(() => {
    for (const socket of sockets) socket.destroy();
    target.close();
    fleet.close();
  });
  for (const [what, text] of MALFORMED_ANSWERS) {
    // `undici` does not report the version.
    if (what === ANOTHER_VERSION) continue;
    it(`with ${what} is not forwarded, and the daemon goes on`, async () => {
      bytes = text;
      const headers = { 'orchidbeam-deadline': '400' };
      const reply = await send(entry, { headers }).catch(() => undefined);
      expect(reply?.status ?? 502).to.be.oneOf([502, 503, 504]);
    });
  }
});

describe('an answer of any bytes', () => {
  let bytes = '';
  const sockets = new Set<Socket>();
  const target = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(Buffer.from(bytes, 'latin1')));
  });
  /** Writes the head that was received last to its own caller. */
  let writeLastHead: (response: ServerResponse) => void = () => undefined;
  const server = http.createServer((_, response) => writeLastHead(response));
  const connect = () => {
    const { port } = target.address() as AddressInfo;
    return new TargetConnections(
      { host: '127.0.0.1', port },
      {
        ...{ clock: createSystemClock(), openSocket: openTcpSocket },
        ...{ onOpened: () => undefined, onFailed: () => undefined },
      },
    ).take(Infinity);
  };
  before(async () => {
    target.listen(0, '127.0.0.1');
    server.listen(0, '127.0.0.1');
    await Promise.all([once(target, 'listening'), once(server, 'listening')]);
  });
  after(() => {
    for (const socket of sockets) socket.destroy();
    target.close();
    server.close();
  });

  /** Sends a request; resolves with the answer that can be forwarded, or undefined. */
  const exchange = async (): Promise<IncomingMessage | undefined> => {
    const result = await connect();
    if (result.kind === 'not-connected') throw new Error(result.reason);
    return new Promise((resolve) => {
      const outgoing = { requestId: '1', method: 'GET', path: '/', body: NO_BODY };
      sendRequest(
        result.connection,
        { ...outgoing, headers: ['Host', 'h'] },
        {
          onResponse: (response) => {
            response.resume();
            resolve(response);
          },
          onFailure: () => resolve(undefined),
        },
      );
    });
  };

  const token = fc.string({ unit: 'binary-ascii', maxLength: 6 });
  const line = fc.oneof(
    fc.tuple(token, token).map(([name, value]) => `${name}: ${value}`),
    fc.constantFrom('Content-Length: 2', 'Transfer-Encoding: chunked', 'Connection: upgrade'),
    fc.constantFrom(
      'Upgrade: h2c',
      'Transfer-Encoding: gzip',
      'Trailer: a',
      'Keep-Alive: timeout=-1',
    ),
  );
  const answer = fc
    .record({
      version: fc.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/0.9', 'ICY'),
      status: fc.oneof(fc.nat(999), fc.constantFrom(0, 99, 100, 101, 199, 200, 204, 304, 600)),
      reason: token,
      lines: fc.array(line, { maxLength: 4 }),
      body: token,
    })
    .map(({ version, status, reason, lines, body }) =>
      [`${version} ${String(status).padStart(3, '0')} ${reason}`, ...[...lines, '', body]].join(
        '\r\n',
      ),
    );

  it('gives a head that can be written to a caller, or a failure', async () => {
    await fc.assert(
      fc.asyncProperty(answer, async (text) => {
        bytes = text;
        const response = await exchange();
        if (response === undefined) return;
        const { statusCode = 0, rawHeaders } = response;
        const framing = ['content-length', 'transfer-encoding', 'connection', 'trailer'];
        const headers = [...listPairs(rawHeaders)]
          .filter(([name]) => !framing.includes(name.toLowerCase()))
          .flat();
        let error: unknown;
        writeLastHead = (written) => {
          try {
            written.writeHead(statusCode, headers).end();
          } catch (thrown) {
            error = thrown;
            written.destroy();
          }
        };
        const { port } = server.address() as AddressInfo;
        const status = await new Promise<number>((resolve) => {
          http
            .get({ host: '127.0.0.1', port, agent: false }, (written) => {
              written.resume();
              resolve(written.statusCode ?? 0);
            })
            .on('error', () => resolve(0));
        });
        expect(error).to.equal(undefined);
        expect(status).to.equal(statusCode).and.to.be.within(200, 599);
      }),
      { numRuns: 300, seed: 5 },
    );
  });

  // Guards against a write that counts as done because its answer was cut off behind the head.
  it('is no answer of the store when it is empty and has no length', async () => {
    bytes = 'HTTP/1.1 200 OK\r\n\r\n';
    const { port } = target.address() as AddressInfo;
    const store = createKvStore({ host: '127.0.0.1', port }, 500);
    const outcome = await store.write({ key: 'a', text: 'b', expected: 0 });
    expect(outcome.kind).to.equal('unknown');
    store.close();
  });

  it('is no answer of the store when it switches protocols', async () => {
    bytes = 'HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n';
    const { port } = target.address() as AddressInfo;
    const store = createKvStore({ host: '127.0.0.1', port }, 500);
    expect((await store.readItem('a', false)).kind).to.not.be.oneOf(['item', 'absent']);
    store.close();
  });
});
