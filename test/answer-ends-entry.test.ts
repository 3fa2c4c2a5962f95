/** How answers end on the connections of the product's own daemon, and what their callers get. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import type { Address } from '../src/kernel/index.js';
import { Fleet, putDocuments, writeService } from './helpers/fleet.js';
import { sendRaw } from './helpers/raw-caller.js';

type End = (socket: Socket, bytes: string) => void;

const ENDS: readonly (readonly [string, End])[] = [
  ['an orderly close', (socket, bytes) => socket.end(bytes)],
  ['a reset at once', (socket, bytes) => socket.write(bytes, () => socket.resetAndDestroy())],
  [
    'a reset later',
    (socket, bytes) => {
      socket.write(bytes);
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
  ],
];

const BODY = 'x'.repeat(100_000);
const HALF = BODY.slice(0, 50_000);
const CHUNK_HEAD = `${BODY.length.toString(16)}\r\n`;

/** Answers that end too early, by what they lack. */
const SHORT_ANSWERS: readonly (readonly [string, string])[] = [
  ['the rest of a length', `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${HALF}`],
  [
    'the rest of a length, on a connection that closes',
    `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${HALF}`,
  ],
  [
    'the rest of a chunk',
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK_HEAD}${HALF}`,
  ],
  [
    'the rest of a chunk, on a connection that closes',
    `HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK_HEAD}${HALF}`,
  ],
  [
    'the last chunk, on a connection that closes',
    `HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK_HEAD}${BODY}\r\n`,
  ],
  [
    'the rest of a chunk, by HTTP/1.0',
    `HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK_HEAD}${HALF}`,
  ],
  ['a length', `HTTP/1.1 200 OK\r\n\r\n${BODY}`],
];

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n';

describe('the end of an answer to the own daemon', () => {
  const fleet = new Fleet({});
  const sockets = new Set<Socket>();
  let entry: Address;
  let answer: (socket: Socket) => void = () => undefined;
  const target = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket));
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
  const call = (version: '1.0' | '1.1') =>
    sendRaw({ ip: entry.host, port: entry.port, path: '/1', method: 'POST', version });

  for (const version of ['1.0', '1.1'] as const) {
    it(`that is whole reaches a caller of HTTP/${version}`, async () => {
      const chunks = `${CHUNK_HEAD}${BODY}\r\n0\r\n\r\n`;
      answer = (socket) =>
        socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`);
      const reply = await call(version);
      expect(reply).to.include({ status: 200, looksWhole: true });
      expect(reply?.body.toString()).to.equal(BODY);
    });
  }

  for (const [what, bytes] of SHORT_ANSWERS) {
    for (const [how, end] of ENDS) {
      // Guards against an answer that is cut off and looks whole.
      it(`that lacks ${what}, by ${how}: its caller can tell`, async () => {
        answer = (socket) => end(socket, bytes);
        for (const version of ['1.0', '1.1'] as const) {
          const reply = await call(version);
          if (reply?.looksWhole === true) expect(reply.status).to.be.oneOf([502, 504]);
        }
      });
    }
  }

  for (const [how, end] of ENDS) {
    // Guards against a head that is cut off and makes an empty answer.
    it(`within its head, by ${how}: it is no answer`, async () => {
      for (let length = 1; length < HEAD.length; length += 1) {
        answer = (socket) => end(socket, HEAD.slice(0, length));
        const reply = await call('1.1');
        expect(reply?.status, `${length} bytes`).to.be.oneOf([502, 503, 504]);
      }
    }).timeout(15_000);
  }
});
