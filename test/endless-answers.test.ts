/** Targets that send without end, until their connection is closed. */
import type { IncomingMessage } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { waitUntil } from './helpers/fleet.js';
import { Site, sendTo } from './helpers/gateways.js';

const TIMEOUT_MS = 600;
/** Time after the route's time-out by which a request has its final answer. */
const GRACE_MS = 500;
/** Time by which a connection is closed whose bytes nobody uses. */
const CLOSE_MS = 1500;

const ROUTES = [
  { prefix: '/safe/', timeout: TIMEOUT_MS },
  { prefix: '/once/', kind: 'unsafe', timeout: TIMEOUT_MS },
] as const;

const PIECE_BYTES = 16_000;
const MAX_UNSENT_BYTES = 200_000;
const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${'x'.repeat(PIECE_BYTES)}\r\n`;
const PIECE = 'x'.repeat(PIECE_BYTES);

/** What comes first, what is then repeated without end, and the statuses for a posting. */
const ENDLESS_ANSWERS: readonly (readonly [string, string, string, ...number[]])[] = [
  ['a head', 'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nA: ', PIECE, 502],
  ['header lines', 'HTTP/1.1 200 OK\r\nServer-Signature: s\r\n', 'A: b\r\n'.repeat(1000), 502],
  ['interim answers', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(10), 502],
  ['empty lines', '', '\r\n'.repeat(1000), 502, 504],
  ['bytes that are no answer', '', PIECE, 502],
  ['the body of an answer without a signature', 'HTTP/1.1 200 OK\r\n\r\n', PIECE, 502],
  [
    'chunks of an answer without a signature',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    CHUNK,
    502,
  ],
  [
    'the body of a rejection',
    'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    CHUNK,
    503,
  ],
  [
    'the body of a 503 that proves nothing',
    'HTTP/1.1 503 Full\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n',
    CHUNK,
    502,
  ],
  [
    'a chunk size',
    'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1',
    '0'.repeat(100),
    502,
  ],
  [
    'a chunk extension',
    'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=',
    PIECE,
    502,
  ],
  [
    'trailers',
    'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    'A: b\r\n'.repeat(1000),
    502,
  ],
];

/** Answers that are streamed to the caller before it is known that they don't end. */
const ENDLESS_STREAMS: readonly (readonly [string, string, string])[] = [
  [
    'nothing, after the first part of a body',
    `HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 900000\r\n\r\n${'x'.repeat(300_000)}`,
    '',
  ],
  ['a body without a length', 'HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\n', PIECE],
  [
    'a chunked body',
    'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n',
    CHUNK,
  ],
  [
    'the body of a failure',
    'HTTP/1.1 500 Ill\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n',
    CHUNK,
  ],
];

/** Sends a piece every few milliseconds, as fast as it is read, until the connection is closed. */
function sendEndlessly(request: IncomingMessage, first: string, repeated: string): void {
  const { socket } = request;
  request.resume();
  socket.on('error', () => undefined);
  socket.write(first);
  const timer = setInterval(() => {
    if (socket.writableLength < MAX_UNSENT_BYTES) socket.write(repeated);
  }, 2);
  socket.on('close', () => clearInterval(timer));
}

describe('a target that sends without end', () => {
  let site: Site;
  let ip: string;
  let opened: IncomingMessage[] = [];
  const setEndless = (first: string, repeated: string) => {
    for (const target of site.targets) {
      target.behaviour = (request) => {
        opened.push(request);
        sendEndlessly(request, first, repeated);
      };
    }
  };
  const checkClosed = async () => {
    const startedAt = performance.now();
    const isClosed = () => opened.every(({ socket }) => socket.destroyed);
    await waitUntil(isClosed, 'its connections are closed');
    expect(performance.now() - startedAt).to.be.lessThan(CLOSE_MS);
  };
  beforeEach(async () => {
    opened = [];
    site = await new Site().start(ROUTES);
    await site.addTarget();
    await site.addTarget();
    ip = await site.addGateway();
  });
  afterEach(() => {
    for (const { socket } of opened) socket.destroy();
    site.stop();
  });

  // Guards against connections to targets that go on receiving what nobody reads.
  for (const [what, first, repeated, ...statuses] of ENDLESS_ANSWERS) {
    it(`${what}: the caller is answered in time, and the connection is closed`, async () => {
      setEndless(first, repeated);
      const reply = await sendTo(ip, { path: '/once/1', method: 'POST', body: 'x' });
      expect(reply.status).to.be.oneOf(statuses);
      expect(reply.whole).to.equal(true);
      expect(reply.took).to.be.lessThan(TIMEOUT_MS + GRACE_MS);
      await checkClosed();
    });
  }

  // Guards against a streamed answer that is held open for as long as its target sends.
  for (const [what, first, repeated] of ENDLESS_STREAMS) {
    it(`${what}: the answer is cut off at the route's time-out`, async () => {
      setEndless(first, repeated);
      const startedAt = performance.now();
      const sent = sendTo(ip, { path: '/once/1', method: 'POST', body: 'x' });
      // A connection that is reset gives no answer at all here.
      const reply = await sent.catch(() => ({ whole: false }));
      const took = performance.now() - startedAt;
      expect(took).to.be.within(TIMEOUT_MS - 100, TIMEOUT_MS + GRACE_MS);
      expect(reply.whole).to.equal(false);
      await checkClosed();
      expect(site.events.map(({ event }) => event)).to.include('answer.cut');
    });
  }

  it('is used again once it answers', async () => {
    const [, first, repeated] = ENDLESS_ANSWERS[7];
    setEndless(first, repeated);
    await sendTo(ip, { path: '/safe/1' });
    for (const target of site.targets) target.behaviour = undefined;
    await pause(100);
    expect((await sendTo(ip, { path: '/safe/1' })).status).to.equal(200);
  });
});
