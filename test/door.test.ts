/**
 * Malformed and hostile requests, sent as raw bytes: each gets an error response or a closed
 * connection, and none reaches a target unless its body breaks only after its head was accepted.
 */
import net from 'node:net';
import { expect } from 'chai';
import type { Entry } from '../src/entry/index.js';
import type { TargetServer } from '../src/standin/index.js';
import { Fleet, putDocuments, send, writeService } from './helpers/fleet.js';

const HEAD = 'Host: test.example\r\n';
const LONG = 'x'.repeat(9000);

interface RequestCase {
  readonly what: string;
  readonly bytes: string;
  /** Statuses of all responses in order; empty if the connection closes without one. */
  readonly statuses: readonly number[];
  /** Maximum number of calls that reach the target. */
  readonly calls: number;
}

const REFUSED_REQUESTS: readonly RequestCase[] = [
  {
    what: 'both Content-Length and Transfer-Encoding',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n${HEAD}\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'two different Content-Lengths',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'a negative Content-Length',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Content-Length: -1\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'a Content-Length with a plus sign',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Content-Length: +3\r\n\r\nabc`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'another transfer coding before chunked',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    statuses: [501],
    calls: 0,
  },
  {
    what: 'chunked before another transfer coding',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'a folded header',
    bytes: `GET / HTTP/1.1\r\n${HEAD}X-A: 1\r\n 2\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'bare LF in the head',
    bytes: 'GET / HTTP/1.1\nHost: test.example\n\n',
    statuses: [400],
    calls: 0,
  },
  {
    what: 'a space before the colon',
    bytes: `GET / HTTP/1.1\r\n${HEAD}Content-Length : 0\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'two Host headers',
    bytes: `GET / HTTP/1.1\r\n${HEAD}Host: other.example\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  { what: 'no Host header', bytes: 'GET / HTTP/1.1\r\n\r\n', statuses: [400], calls: 0 },
  {
    what: 'an invalid Host',
    bytes: 'GET / HTTP/1.1\r\nHost: a b\r\n\r\n',
    statuses: [400],
    calls: 0,
  },
  {
    what: 'an unknown Host',
    bytes: 'GET / HTTP/1.1\r\nHost: other.example\r\nConnection: close\r\n\r\n',
    statuses: [404],
    calls: 0,
  },
  {
    what: 'more short headers than the limit has bytes for',
    bytes: `GET / HTTP/1.1\r\n${HEAD}${'Abcdefgh:1\r\n'.repeat(2000)}\r\n`,
    statuses: [431],
    calls: 0,
  },
  {
    what: 'headers that are too large',
    bytes: `GET / HTTP/1.1\r\n${HEAD}X-A: ${LONG}${LONG}\r\n\r\n`,
    statuses: [431],
    calls: 0,
  },
  {
    what: 'an oversized URL',
    bytes: `GET /${LONG}${LONG} HTTP/1.1\r\n${HEAD}\r\n`,
    statuses: [431],
    calls: 0,
  },
  { what: 'dot segments', bytes: `GET /a/../b HTTP/1.1\r\n${HEAD}\r\n`, statuses: [400], calls: 0 },
  {
    what: 'encoded dot segments',
    bytes: `GET /a/%2e%2E/b HTTP/1.1\r\n${HEAD}\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'CONNECT',
    bytes: `CONNECT test.example:443 HTTP/1.1\r\n${HEAD}\r\n`,
    statuses: [501],
    calls: 0,
  },
  {
    what: 'an unknown expectation',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Expect: magic\r\nContent-Length: 0\r\n\r\n`,
    statuses: [417],
    calls: 0,
  },
  { what: 'bytes that are not HTTP', bytes: 'hello\r\n\r\n', statuses: [400], calls: 0 },
  {
    what: 'a NUL in a header',
    bytes: `GET / HTTP/1.1\r\n${HEAD}X-A: a\0b\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'an Orchidbeam-Deadline that is not a number',
    bytes: `GET / HTTP/1.1\r\n${HEAD}Orchidbeam-Deadline: soon\r\nConnection: close\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
  {
    what: 'an invalid Orchidbeam-Repeatable',
    bytes: `GET / HTTP/1.1\r\n${HEAD}Orchidbeam-Repeatable: maybe\r\nConnection: close\r\n\r\n`,
    statuses: [400],
    calls: 0,
  },
];

const ACCEPTED_REQUESTS: readonly RequestCase[] = [
  {
    what: 'many headers within the limit',
    bytes: `GET / HTTP/1.1\r\n${HEAD}${'X-A: 1\r\n'.repeat(1500)}Connection: close\r\n\r\n`,
    statuses: [200],
    calls: 1,
  },
  {
    what: 'a long URL within the limit',
    bytes: `GET /${LONG} HTTP/1.1\r\n${HEAD}Connection: close\r\n\r\n`,
    statuses: [200],
    calls: 1,
  },
  {
    what: 'two pipelined calls, answered in order',
    bytes: `GET /1 HTTP/1.1\r\n${HEAD}\r\nGET /2 HTTP/1.1\r\n${HEAD}Connection: close\r\n\r\n`,
    statuses: [200, 200],
    calls: 2,
  },
  {
    what: 'a request target in absolute form',
    bytes: `GET http://test.example/1 HTTP/1.1\r\nHost: ignored.example\r\nConnection: close\r\n\r\n`,
    statuses: [200],
    calls: 1,
  },
  {
    what: 'an Upgrade request, handled as an ordinary call',
    bytes: `GET /1 HTTP/1.1\r\n${HEAD}Connection: close, Upgrade\r\nUpgrade: websocket\r\n\r\n`,
    statuses: [200],
    calls: 1,
  },
  {
    what: 'a body longer than declared, whose excess bytes are not a call',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Content-Length: 1\r\n\r\naGARBAGE\r\n\r\n`,
    statuses: [201],
    calls: 1,
  },
  {
    what: 'Expect: 100-continue',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab`,
    statuses: [100, 201],
    calls: 1,
  },
];

const BROKEN_BODIES: readonly RequestCase[] = [
  {
    what: 'an invalid chunk size',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`,
    statuses: [400],
    calls: 1,
  },
  {
    what: 'a chunk longer than its size',
    bytes: `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n`,
    statuses: [400],
    calls: 1,
  },
];

describe('validation of requests', () => {
  const fleet = new Fleet({ settings: '[limits]\nheader_timeout = 300ms\nbody_timeout = 300ms\n' });
  let entry: Entry;
  let target: TargetServer;

  before(async () => {
    target = await fleet.startTarget();
    putDocuments(fleet.store, { 'service/test': writeService([target.address]) });
    entry = await fleet.start();
  });

  after(() => fleet.close());

  /** Sends bytes and returns what is received until the connection closes. */
  const exchange = (bytes: string, end = false): Promise<string> =>
    new Promise((resolve) => {
      const socket = net.connect(entry.callersAddress.port, entry.callersAddress.host);
      const chunks: Buffer[] = [];
      socket.on('data', (chunk) => chunks.push(chunk));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
      socket.write(bytes);
      if (end) socket.end();
    });

  const readStatuses = (text: string) =>
    [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));

  const testRequest = ({ what, bytes, statuses, calls }: RequestCase) =>
    it(what, async () => {
      const before = target.counts.calls;
      const text = await exchange(bytes);
      expect(readStatuses(text)).to.deep.equal(statuses);
      expect(target.counts.calls - before).to.be.at.most(calls);
      if (calls === 0) expect(text).to.include('orchidbeam-outcome: not-run');
    });

  describe('rejects', () => {
    for (const row of REFUSED_REQUESTS) testRequest(row);
  });

  describe('accepts', () => {
    for (const row of ACCEPTED_REQUESTS) testRequest(row);
  });

  describe('closes the connection without a response for', () => {
    for (const { what, bytes } of BROKEN_BODIES) {
      it(what, async () => {
        const text = await exchange(bytes);
        expect(readStatuses(text)).to.deep.equal([]);
      });
    }

    it('a body shorter than declared', async () => {
      const before = target.counts.calls;
      const text = await exchange(`POST / HTTP/1.1\r\n${HEAD}Content-Length: 9\r\n\r\nab`, true);
      expect(readStatuses(text)).to.deep.equal([]);
      expect(target.counts.calls).to.equal(before);
    });
  });

  describe('does not wait forever', () => {
    it('for slow headers', async () => {
      const text = await exchange(`GET / HTTP/1.1\r\n${HEAD}`);
      expect(readStatuses(text)).to.deep.equal([408]);
    });

    it('for a slow body', async () => {
      const text = await exchange(`POST / HTTP/1.1\r\n${HEAD}Content-Length: 9\r\n\r\nab`);
      expect(readStatuses(text)).to.deep.equal([]);
    });

    it('for a caller that half-closed its connection, which counts as gone', async () => {
      const text = await exchange(`GET /1 HTTP/1.1\r\n${HEAD}\r\n`, true);
      expect(readStatuses(text)).to.deep.equal([]);
    });
  });

  describe('does not forward', () => {
    it('internal Orchidbeam headers that a caller sends', async () => {
      const headers = {
        'orchidbeam-relay': 'x',
        'orchidbeam-report': 'not-run',
        'orchidbeam-outcome': 'not-run',
        connection: 'x-secret',
        'x-secret': '1',
      };
      const reply = await send(entry.callersAddress, { headers });
      expect(reply.status).to.equal(200);
      expect(reply.headers['orchidbeam-outcome']).to.equal(undefined);
    });
  });
});
