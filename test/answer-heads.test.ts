/** Answers whose ends depend on their head, or on the request. */
import type { IncomingMessage } from 'node:http';
import net from 'node:net';
import { expect } from 'chai';
import { HOST } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { Site, breakFirst, callersPort } from './helpers/gateways.js';
import { sendRaw } from './helpers/raw-caller.js';

const ROUTES = [
  { prefix: '/safe/', kind: 'safe' },
  { prefix: '/once/', kind: 'unsafe' },
] as const;

const LONG_BODY = 'x'.repeat(600_000);

describe('the head of an answer', () => {
  let site: Site;
  let ip: string;
  before(async () => {
    site = await new Site().start(ROUTES);
    await site.addTarget();
    await site.addTarget();
    ip = await site.addGateway();
  });
  after(() => site.stop());

  /** Sends an answer without a length, signed and with the request's identifier. */
  const sendUndelimited = (request: IncomingMessage, body: string) => {
    request.resume();
    const id = String(request.headers['attempt-id']);
    request.socket.end(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n\r\n${body}`,
    );
  };

  const ENDS: readonly (readonly [string, (socket: net.Socket, bytes: string) => void])[] = [
    ['an orderly close', (socket, bytes) => socket.end(bytes)],
    ['a reset', (socket, bytes) => socket.write(bytes, () => socket.resetAndDestroy())],
  ];
  const HEAD = 'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\n';
  for (const [how, end] of ENDS) {
    // Guards against a head that is cut off and makes an empty answer.
    it(`that is cut off anywhere, by ${how}, makes no answer`, async () => {
      for (let length = 1; length < HEAD.length; length += 1) {
        breakFirst(site.targets, (request) => end(request.socket, HEAD.slice(0, length)));
        const posted = await sendRaw({
          ip,
          path: '/once/1',
          method: 'POST',
          body: Buffer.from('x'),
        });
        expect(posted?.status, `${length} bytes`).to.equal(502);
      }
      breakFirst(site.targets, (request) => end(request.socket, HEAD.slice(0, 50)));
      expect(await sendRaw({ ip, path: '/safe/1' })).to.include({ status: 200, looksWhole: true });
    }).timeout(15_000);
  }

  // Guards against an answer without a body that waits for the end of its connection.
  for (const [method, status] of [
    ...[['HEAD', 200] as const, ['GET', 204] as const, ['GET', 304] as const],
  ]) {
    it(`of ${method} with status ${status} is the whole answer`, async () => {
      breakFirst(site.targets, (request) => {
        const id = String(request.headers['attempt-id']);
        const length = method === 'HEAD' ? 'Content-Length: 4321\r\n' : '';
        request.socket.write(
          `HTTP/1.1 ${status} OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${length}\r\n`,
        );
      });
      const answer = await sendRaw({ ip, path: '/safe/1', method });
      expect(answer).to.include({ status, end: 'framed', looksWhole: true });
      expect(answer?.headers.get('content-length')).to.equal(
        method === 'HEAD' ? '4321' : undefined,
      );
    });
  }

  // Guards against requests that are lost behind an answer that ends its caller's connection.
  it('without a length does not end the connection of requests behind it', async () => {
    breakFirst(site.targets, (request) => sendUndelimited(request, 'first'));
    const socket = net.connect({ host: ip, port: callersPort });
    let text = '';
    socket.on('data', (data: Buffer) => {
      text += data.toString();
    });
    const requests = [1, 2, 3].map(
      (index) =>
        `GET /safe/${index} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: kept-${index}\r\nRequest-Deadline-Ms: 4000\r\n\r\n`,
    );
    socket.write(requests.join(''));
    const countAnswers = () => text.match(/HTTP\/1\.1 200 /g)?.length;
    await waitUntil(() => countAnswers() === requests.length, 'all are answered');
    socket.destroy();
  });

  it('without a length may come before a body that quotes another head', async () => {
    const body = 'to: HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquote';
    breakFirst(site.targets, (request) => sendUndelimited(request, body));
    const answer = await sendRaw({ ip, path: '/once/1', method: 'POST', body: Buffer.from('x') });
    expect(answer).to.include({ status: 200, looksWhole: true });
    expect(answer?.body.toString()).to.equal(body);
  });

  describe('without a length, to a caller of HTTP/1.0', () => {
    it('is forwarded, and ends in an orderly close', async () => {
      for (const body of ['short', LONG_BODY]) {
        breakFirst(site.targets, (request) => sendUndelimited(request, body));
        const answer = await sendRaw({ ip, path: '/safe/1', version: '1.0' });
        expect(answer).to.include({ status: 200, looksWhole: true });
        expect(answer?.body.toString()).to.equal(body);
      }
    });

    // Guards against a listener that closes and so seems to end the answers being streamed.
    it('ends in a reset when the daemon closes its connections', async () => {
      const other = await site.addGateway();
      let isBegun = false;
      breakFirst(site.targets, (request) => {
        isBegun = true;
        const id = String(request.headers['attempt-id']);
        request.socket.write(
          `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n\r\n${LONG_BODY}`,
        );
      });
      const sent = sendRaw({ ip: other, path: '/safe/1', version: '1.0', readPause: 50 });
      await waitUntil(() => isBegun, 'the answer has begun');
      await new Promise((resolve) => {
        setTimeout(resolve, 30);
      });
      site.gateways.at(-1)?.gateway.destroy();
      expect((await sent)?.looksWhole ?? false).to.equal(false);
    });
  });
});
