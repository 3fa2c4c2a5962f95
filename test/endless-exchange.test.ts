/** What the store and other daemons answer: without end, or far more than was asked for. */
import net, { type AddressInfo, type Socket } from 'node:net';
import http from 'node:http';
import { gzipSync } from 'node:zlib';
import { expect } from 'chai';
import {
  type Address,
  type HttpFailure,
  type HttpReply,
  exchangeHttp,
} from '../src/kernel/index.js';
import { waitUntil } from './helpers/fleet.js';

const BYTES_PER_MB = 1_048_576;
const TIMEOUT_MS = 2500;
/** Time by which an answer that is too long is given up. */
const GIVE_UP_MS = 1500;
const MAX_BODY_BYTES = 262_144;
/** What the sockets of both sides may hold besides. */
const SOCKET_BYTES = 8 * BYTES_PER_MB;
/** What one answer may occupy. */
const MAX_GROWTH_MB = 32;

const PIECE = Buffer.alloc(65_536, '1');
const CHUNK = Buffer.concat([Buffer.from('10000\r\n'), PIECE, Buffer.from('\r\n')]);
const TINY_CHUNKS = Buffer.from('1\r\n1\r\n'.repeat(10_000));
const NOTHING = Buffer.alloc(0);
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

function composeHead(length: number, encoding = ''): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n${encoding}\r\n`;
}

/** Composes an answer whose unpacked body is much longer than what is sent. */
function composePacked(text: string): Buffer {
  const body = gzipSync(text);
  return Buffer.concat([Buffer.from(composeHead(body.length, 'Content-Encoding: gzip\r\n')), body]);
}

/** What comes first, and what is then repeated. */
const LONG_ANSWERS: readonly (readonly [string, () => Buffer, Buffer])[] = [
  ['a length far beyond the limit', () => Buffer.from(composeHead(2 ** 40)), NOTHING],
  ['a length far beyond the limit, with the body', () => Buffer.from(composeHead(2 ** 40)), PIECE],
  ['a body without a length', () => Buffer.from('HTTP/1.1 200 OK\r\n\r\n'), PIECE],
  ['a chunked body', () => Buffer.from(CHUNKED), CHUNK],
  ['chunks of one byte', () => Buffer.from(CHUNKED), TINY_CHUNKS],
  ['a body that unpacks to 60 MB', () => composePacked(`"${'x'.repeat(60_000_000)}"`), NOTHING],
  [
    'a body that unpacks to many values',
    () => composePacked(`[${'{},'.repeat(2_000_000)}0]`),
    NOTHING,
  ],
  ['a refusal with a body without end', () => Buffer.from('HTTP/1.1 503 Ill\r\n\r\n'), PIECE],
];

/** Sends what it is told, as fast as it is read, to whoever connects. */
class EndlessServer {
  sentBytes = 0;

  readonly sockets = new Set<Socket>();

  first: Buffer = NOTHING;

  repeated: Buffer = NOTHING;

  readonly #server = net.createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.once('data', () => this.#send(socket));
  });

  async start(): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return { host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port };
  }

  #send(socket: Socket): void {
    socket.write(this.first);
    const sendMore = () => {
      if (socket.destroyed || this.repeated.length === 0) return;
      this.sentBytes += this.repeated.length;
      if (socket.write(this.repeated)) setImmediate(sendMore);
      else socket.once('drain', sendMore);
    };
    sendMore();
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** Records how far the memory of this process grows. */
async function measureGrowth<T>(act: () => Promise<T>): Promise<readonly [T, number]> {
  const read = () => {
    const { heapUsed, external } = process.memoryUsage();
    return (heapUsed + external) / BYTES_PER_MB;
  };
  const before = read();
  let peak = before;
  const check = () => {
    peak = Math.max(peak, read());
  };
  const timer = setInterval(check, 10);
  const result = await act().finally(() => clearInterval(timer));
  check();
  return [result, peak - before];
}

describe('an exchange with a machine that sends without end', () => {
  let server: EndlessServer;
  let address: Address;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const ask = (maxBodyBytes = MAX_BODY_BYTES): Promise<HttpReply | HttpFailure> =>
    exchangeHttp({
      ...{ agent, address, method: 'GET', path: '/page?after=1', timeout: TIMEOUT_MS },
      maxBodyBytes,
    });
  beforeEach(async () => {
    server = new EndlessServer();
    address = await server.start();
  });
  afterEach(() => server.stop());

  // Guards against an answer that is kept whole, however long it is.
  for (const [what, composeFirst, repeated] of LONG_ANSWERS) {
    it(`${what}: gives up early, says why, and closes the connection`, async () => {
      server.first = composeFirst();
      server.repeated = repeated;
      const startedAt = performance.now();
      const [outcome, growth] = await measureGrowth(() => ask());
      const took = performance.now() - startedAt;
      const seen = `${Math.round(took)} ms, ${Math.round(growth)} MB, sent ${server.sentBytes}`;
      expect(outcome, seen).to.include({ kind: 'failure', sent: true, cause: 'too-long' });
      expect(outcome, seen).to.have.property('reason').that.includes(`${address.port}/page: `);
      expect(took, seen).to.be.lessThan(GIVE_UP_MS);
      expect(growth, seen).to.be.lessThan(MAX_GROWTH_MB);
      expect(server.sentBytes, seen).to.be.lessThan(SOCKET_BYTES);
      if (repeated === NOTHING) return;
      await waitUntil(() => server.sockets.size === 0, 'the connection is closed');
    });
  }

  // Guards against an answer whose objects occupy many times the length of its text.
  it('refuses millions of objects within the limit', async () => {
    const text = `[${'{},'.repeat(1_300_000)}0]`;
    server.first = Buffer.from(composeHead(text.length) + text);
    const [outcome, growth] = await measureGrowth(() => ask(4 * BYTES_PER_MB));
    expect(outcome, `${Math.round(growth)} MB`).to.include({ cause: 'too-long' });
    expect(growth).to.be.lessThan(MAX_GROWTH_MB);
  });

  it('takes an answer of the greatest length, packed or not', async () => {
    const text = `"${'x'.repeat(MAX_BODY_BYTES - 2)}"`;
    server.first = Buffer.from(composeHead(text.length) + text);
    expect(await ask()).to.include({ kind: 'reply', status: 200 });
    agent.destroy();
    server.first = composePacked(text);
    expect(await ask()).to.include({ kind: 'reply', status: 200 });
    agent.destroy();
  });
});
