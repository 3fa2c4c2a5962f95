import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import { KEYS } from '../src/platform/index.js';
import { waitUntil } from './helpers/fleet.js';
import {
  Site,
  askReady,
  callersPort,
  askAddresses,
  askDirectory,
  beginLongAnswer,
  breakFirst,
  sendTo,
} from './helpers/gateways.js';
import { type Behaviour, HOST, writeTarget } from '../src/standin/index.js';

const RULES = [
  { prefix: '/a/' },
  { prefix: '/once/', kind: 'unsafe' },
  { prefix: '/up/', kind: 'upload' },
  { prefix: '/short/', timeout: 300 },
  { prefix: '/empty/', service: 'beta' },
] as const;

describe('the gateway daemon', () => {
  let site: Site;
  let ip: string;
  beforeEach(async () => {
    site = await new Site().start(RULES);
    await site.addTarget();
    await site.addTarget();
    ip = await site.addGateway();
  });
  afterEach(() => site.stop());

  const countRuns = () => site.targets.reduce((sum, target) => sum + target.ran.length, 0);

  describe('serving a request', () => {
    it('forwards the answer unchanged and sends the target its headers', async () => {
      const reply = await sendTo(ip, { id: 'try-x', deadline: 900, path: '/a/q?x=%20y' });
      expect(reply).to.include({ status: 200, whole: true });
      expect(reply.headers).to.include({ 'attempt-id': 'try-x', 'server-signature': 'sig.1' });
      const [target] = site.targets.filter(({ ran }) => ran.length > 0);
      const [headers] = target.seenHeaders;
      expect(reply.text).to.equal(target.incarnation);
      expect(headers['attempt-id']).to.equal('try-x');
      expect(headers['expect-instance']).to.equal(target.incarnation);
      expect(Number(headers['request-deadline-ms'])).to.be.within(700, 900);
    });
    it('forwards bodies of different lengths, buffered or streamed', async () => {
      for (const length of [10, 70_000, 2_500_000]) {
        const body = Buffer.alloc(length, 'é');
        const reply = await sendTo(ip, { path: '/up/1', method: 'POST', body });
        expect(reply.status).to.equal(200);
      }
      const bodies = site.targets.flatMap((target) => target.bodies);
      expect(bodies.map(({ length }) => length)).to.have.members([10, 70_000, 2_500_000]);
    });
    it('forwards a long chunked body within the limit unchanged', async () => {
      const body = Buffer.alloc(2_500_000, 'é');
      const headers = { 'transfer-encoding': 'chunked' };
      const reply = await sendTo(ip, { path: '/up/1', method: 'POST', body, headers });
      expect(reply.status).to.equal(200);
      const [passed] = site.targets.flatMap((target) => target.bodies);
      expect(passed.equals(body)).to.equal(true);
    });
    it('aborts a chunked body that exceeds the limit', async () => {
      const body = Buffer.alloc(4_100_000);
      const headers = { 'transfer-encoding': 'chunked' };
      const sending = { path: '/up/1', method: 'POST', body, headers };
      const reply = await sendTo(ip, sending).catch(() => undefined);
      expect(reply?.status).to.not.equal(200);
      expect(site.targets.flatMap((target) => target.bodies)).to.have.length(0);
    });
    for (const [what, sending, status] of [
      ['a path without a route', { path: '/nowhere/' }, 404],
      ['a service without targets', { path: '/empty/1' }, 503],
      ['a head over the limit', { headers: { x: 'y'.repeat(9000) } }, 431],
      [
        'a body over the limit',
        { path: '/up/', method: 'POST', body: Buffer.alloc(4_100_000) },
        413,
      ],
    ] as const) {
      it(`answers ${what} with ${status}`, async () => {
        const reply = await sendTo(ip, sending);
        expect(reply.status).to.equal(status);
        expect(countRuns()).to.equal(0);
        if (status === 503) expect(Number(reply.headers['retry-after'])).to.be.greaterThan(0);
      });
    }
  });

  // Guards against long Retry-After times where targets reject requests while others have free
  // slots: callers were told to wait for the time of a call, until their answers were late. In one
  // case two thirds of a service's targets rejected half of their requests.
  it('answers a request that targets rejected with a short Retry-After while no call is queued', async () => {
    for (const target of site.targets) {
      target.behaviour = (_, response) =>
        response.writeHead(503, { 'Server-Load': '1,0,4,100', 'Not-Executed': '1' }).end();
    }
    const reply = await sendTo(ip);
    expect(reply.status).to.equal(503);
    expect(Number(reply.headers['retry-after'])).to.be.within(0.001, 0.05);
  });

  describe('when a target', () => {
    const load = { 'Server-Load': '4,9,4,100' };
    const signed = { 'Server-Signature': 'sig.2' };
    const cases: readonly (readonly [string, Behaviour, number, number])[] = [
      [
        'sheds the request',
        (_, r) => r.writeHead(503, { ...load, 'Not-Executed': '1' }).end(),
        200,
        200,
      ],
      // Each target in turn is found to be another incarnation, so none is left for the second
      // request.
      [
        'is another incarnation',
        (_, r) => r.writeHead(421, { 'Instance-Id': 'i' }).end(),
        200,
        503,
      ],
      ['resets the connection', (q) => q.socket.resetAndDestroy(), 200, 502],
      ['closes the connection', (q) => q.socket.destroy(), 200, 502],
      [
        'truncates an answer with a length',
        (q, r) => {
          r.writeHead(200, { ...signed, 'Content-Length': 100 });
          r.write('part', () => q.socket.destroy());
        },
        ...([200, 502] as const),
      ],
      [
        'truncates a chunked answer',
        (q, r) => {
          r.writeHead(200, signed);
          r.write('part', () => q.socket.end());
        },
        ...([200, 502] as const),
      ],
      [
        'resets an answer without a length',
        (q, r) => {
          const head = 'HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\npart';
          r.detachSocket(q.socket);
          q.socket.write(head, () => setTimeout(() => q.socket.resetAndDestroy(), 20));
        },
        ...([200, 502] as const),
      ],
      ['answers with invalid HTTP', (q) => q.socket.end('garbage\r\n\r\n'), 200, 502],
      [
        "answers with another request's id",
        (_, r) => r.writeHead(200, { ...signed, 'Attempt-Id': 'other' }).end('x'),
        ...([200, 502] as const),
      ],
      ['fails with a signed answer', (_, r) => r.writeHead(500, signed).end('ill'), 200, 500],
      ['says 503 without proof', (_, r) => r.writeHead(503, signed).end(), 200, 502],
      ['says 429 without proof', (_, r) => r.writeHead(429, signed).end(), 502, 502],
    ];
    for (const [what, behaviour, safeStatus, onceStatus] of cases) {
      it(`${what}: the caller gets ${safeStatus} if the request may be repeated, else ${onceStatus}`, async () => {
        breakFirst(site.targets, behaviour);
        expect(await sendTo(ip)).to.include({ status: safeStatus, whole: true });
        breakFirst(site.targets, behaviour);
        const before = countRuns();
        const reply = await sendTo(ip, { path: '/once/1', method: 'POST', body: 'pay' });
        expect(reply).to.include({ status: onceStatus, whole: true });
        if (onceStatus !== 200) expect(countRuns() - before).to.be.at.most(1);
      });
    }
    it('resets a long answer: the caller never gets it as complete', async () => {
      for (const target of site.targets) {
        target.behaviour = (request, response) => {
          response.writeHead(200, { ...signed, 'Content-Length': 900_000 });
          response.write(Buffer.alloc(600_000), () => {
            setTimeout(() => request.socket.resetAndDestroy(), 50);
          });
        };
      }
      const reply = await sendTo(ip).catch(() => undefined);
      expect(reply?.whole ?? false).to.equal(false);
    });
    // Guards against a second head for a hedged request whose answer is being streamed already: it
    // can't be written, and cut off the first answer.
    it('answers a hedged request while the answer of another one is streamed: the caller gets one whole answer', async () => {
      for (let count = 0; count < 6; count += 1) await sendTo(ip);
      let attempts = 0;
      const part = Buffer.alloc(300_000, 'x');
      for (const target of site.targets) {
        target.behaviour = async (request, response) => {
          attempts += 1;
          const isFirst = attempts === 1;
          request.resume();
          await pause(isFirst ? 400 : 300);
          response.writeHead(200, { ...signed, 'Content-Length': 2 * part.length });
          response.write(part);
          await pause(isFirst ? 500 : 0);
          response.end(part);
        };
      }
      const reply = await sendTo(ip);
      expect(attempts).to.equal(2);
      expect(reply).to.include({ status: 200, whole: true });
      expect(reply.text.length).to.equal(2 * part.length);
      expect(site.events.map(({ event }) => event)).to.not.include('request.broken');
    });
    it('completes an answer without a length: the caller gets it', async () => {
      for (const target of site.targets) {
        target.behaviour = (request, response) => {
          const id = String(request.headers['attempt-id']);
          response.detachSocket(request.socket);
          request.socket.end(
            `HTTP/1.1 200 OK\r\nServer-Signature: s\r\nAttempt-Id: ${id}\r\n\r\nwhole`,
          );
        };
      }
      const reply = await sendTo(ip);
      expect(reply).to.include({ status: 200, text: 'whole', whole: true });
      // The end of the caller's connection must not be what ends the answer.
      expect(reply.headers['content-length']).to.equal(String('whole'.length));
      expect(reply.headers).to.not.have.any.keys('transfer-encoding');
    });
    it('sends a second answer on a kept-alive connection: no caller gets it', async () => {
      for (const target of site.targets) {
        target.behaviour = (request, response) => {
          target.answer(request, response);
          const { socket } = request;
          setTimeout(() => {
            if (socket.writable) socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray');
          }, 5);
        };
      }
      for (let count = 0; count < 12; count += 1) {
        const reply = await sendTo(ip);
        expect(reply.text).to.not.equal('stray');
        await pause(count);
      }
    });
  });

  describe('time-outs and callers that leave', () => {
    it("answers 504 at the route's time-out and cancels the call at the target", async () => {
      for (const target of site.targets) target.behaviour = () => undefined;
      const reply = await sendTo(ip, { path: '/short/1' });
      expect(reply.status).to.equal(504);
      expect(reply.took).to.be.within(250, 450);
      await pause(50);
      expect(site.targets.flatMap(({ cancelled }) => cancelled)).to.not.have.length(0);
    });
    it("gives up at the caller's own deadline if that is earlier", async () => {
      for (const target of site.targets) target.behaviour = () => undefined;
      expect((await sendTo(ip, { deadline: 200 })).took).to.be.within(150, 350);
    });
    it('cancels the call at the target when the caller leaves', async () => {
      for (const target of site.targets) target.behaviour = () => undefined;
      const leaving = new AbortController();
      const gone = sendTo(ip, { signal: leaving.signal }).catch(() => 'gone');
      await waitUntil(() => countRuns() > 0, 'the request is at a target');
      leaving.abort();
      expect(await gone).to.equal('gone');
      await waitUntil(
        () => site.targets.some(({ cancelled }) => cancelled.length > 0),
        'the target sees its connection close',
      );
    });
    // Guards against a target that goes on sending an answer which nobody receives any more.
    it('closes the connection to the target when the caller leaves during a long answer', async () => {
      for (const target of site.targets) target.behaviour = beginLongAnswer;
      const leaving = new AbortController();
      const gone = sendTo(ip, { signal: leaving.signal }).catch(() => 'gone');
      await waitUntil(() => countRuns() > 0, 'the request is at a target');
      await pause(200);
      leaving.abort();
      await gone;
      await pause(450);
      expect(site.targets.flatMap(({ cancelled }) => cancelled)).to.have.length(1);
    });
    // Guards against a request being written to a new connection before the caller's close, read in
    // the same event-loop iteration, was handled.
    it('sends nothing for a caller that left while the connection to the target was being opened', async () => {
      const caller = net.connect({ host: ip, port: callersPort });
      await once(caller, 'connect');
      const { connect } = net;
      const leaveWhenConnecting = (...args: Parameters<typeof connect>) => {
        net.connect = connect;
        const socket = connect(...args);
        caller.destroy();
        // Blocks until both the connection and the caller's close are pending, so one iteration
        // reads both.
        const until = performance.now() + 30;
        while (performance.now() < until);
        return socket;
      };
      net.connect = leaveWhenConnecting as typeof connect;
      caller.write(`POST /once/1 HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: left\r\n\r\n`);
      await waitUntil(() => net.connect === connect, 'the daemon connects to a target');
      await pause(100);
      expect(site.targets.flatMap(({ ran }) => ran)).to.not.include('left');
    });
    it('tries another target in time when one no longer answers', async () => {
      const [silent, healthy] = site.targets;
      silent.behaviour = () => undefined;
      for (let count = 0; count < 6; count += 1) {
        const reply = await sendTo(ip);
        expect(reply).to.include({ status: 200, text: healthy.incarnation });
        expect(reply.took).to.be.lessThan(600);
      }
    });
  });

  describe('a connection that got a 408', () => {
    // Guards against forwarding a request whose remaining head crossed the 408 on the connection.
    it('carries no further requests, since 408 promises that nothing has run', async () => {
      const socket = net.connect({ host: ip, port: callersPort });
      let text = '';
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString();
        // Completes the head as soon as the refusal arrives, as if the two had crossed.
        if (text.includes('408')) socket.write('Attempt-Id: late\r\n\r\n');
      });
      socket.on('error', () => undefined);
      socket.write('GET /a/1 HTTP/1.1\r\nHost: test.example\r\n');
      await waitUntil(() => text !== '', 'the daemon refuses the head');
      await pause(200);
      socket.destroy();
      expect(text).to.match(/^HTTP\/1.1 408 /);
      expect(countRuns()).to.equal(0);
    }).timeout(10_000);
    it('is closed without an answer if no byte had arrived on it', async () => {
      const socket = net.connect({ host: ip, port: callersPort });
      let text = '';
      let isClosed = false;
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      socket.on('end', () => {
        isClosed = true;
      });
      await waitUntil(() => isClosed, 'the daemon closes the connection');
      expect(text).to.equal('');
      socket.destroy();
    }).timeout(10_000);
  });

  describe('targets whose state changes', () => {
    it('get no calls from a second after they drain or are removed', async () => {
      const [one, other] = site.targets;
      site.store.put(
        KEYS.targets + one.incarnation,
        writeTarget(one.address, { state: 'draining' }),
      );
      await pause(1200);
      for (let count = 0; count < 10; count += 1) await sendTo(ip);
      expect(one.ran).to.have.length(0);
      site.store.remove(KEYS.targets + other.incarnation);
      await pause(1200);
      expect((await sendTo(ip)).status).to.equal(503);
    });
    it('are preferred while they are quick', async () => {
      const [slow, quick] = site.targets;
      slow.slowdown = 700;
      for (let count = 0; count < 5; count += 1) await sendTo(ip);
      await pause(300);
      const before = slow.ran.length;
      for (let count = 0; count < 20; count += 1) await sendTo(ip);
      expect(slow.ran.length - before).to.be.at.most(1);
      expect(quick.ran.length).to.be.at.least(19);
    });
  });

  describe('a planned stop of a daemon', () => {
    it('is visible at once and still answers requests in progress and on open connections', async () => {
      for (const target of site.targets) {
        target.behaviour = (request, response) => {
          setTimeout(() => target.answer(request, response), 400);
        };
      }
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      await sendTo(ip, { agent });
      const running = sendTo(ip, { path: '/once/1', method: 'POST', body: 'pay' });
      await waitUntil(() => countRuns() >= 2, 'the request is at a target');
      const [{ gateway }] = site.gateways;
      const stopped = gateway.stop();
      expect(await askReady(ip)).to.equal(503);
      expect(await askAddresses(ip)).to.deep.equal([]);
      const late = await sendTo(ip, { agent });
      expect(late).to.include({ status: 200, whole: true });
      expect(late.headers.connection).to.equal('close');
      expect(await running).to.include({ status: 200, whole: true });
      await stopped;
    }).timeout(10_000);

    // Callers may pipeline requests. An answer that closes the connection would cut off the answers
    // to requests that were forwarded behind it.
    it('answers all pipelined requests', async () => {
      for (const target of site.targets) {
        target.behaviour = (request, response) => {
          setTimeout(() => target.answer(request, response), 300);
        };
      }
      const [{ gateway }] = site.gateways;
      const socket = net.connect(callersPort, ip);
      const closed = new Promise((resolve) => {
        socket.once('close', resolve);
      });
      let received = '';
      socket.on('data', (data) => {
        received += data.toString();
      });
      const ask = (id: string) =>
        socket.write(
          `GET /a/${id} HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: ${id}\r\nRequest-Deadline-Ms: 3000\r\n\r\n`,
        );
      ask('p1');
      await waitUntil(() => countRuns() >= 1, 'the first request is at a target');
      const stopped = gateway.stop();
      ask('p2');
      ask('p3');
      await closed;
      const ids = [...received.matchAll(/Attempt-Id: (\w+)/gi)].map(([, id]) => id);
      expect(ids).to.deep.equal(['p1', 'p2', 'p3']);
      expect(received.match(/Connection: close/gi)).to.have.length(1);
      await stopped;
    }).timeout(10_000);
  });
});

describe('several gateway daemons', () => {
  let site: Site;
  beforeEach(async () => {
    site = await new Site().start(RULES);
    await site.addTarget();
  });
  afterEach(() => site.stop());

  it('list the same homes to callers and remove one that stops', async () => {
    const first = await site.addGateway([], 'homes = 2\nhome_capacity = 0.5');
    const second = await site.addGateway([first], 'homes = 2\nhome_capacity = 0.5');
    const third = await site.addGateway([first], 'homes = 2\nhome_capacity = 0.5');
    await pause(1500);
    const [homes, ...others] = await Promise.all([first, second, third].map(askAddresses));
    expect(homes).to.have.length(2);
    for (const other of others) expect(other).to.have.members([...homes]);
    const leaving = site.gateways.find(({ ip }) => homes.includes(`${ip}:${callersPort}`));
    const stopped = leaving?.gateway.stop();
    await pause(400);
    const staying = site.gateways.filter(({ ip }) => ip !== leaving?.ip);
    for (const { ip } of staying) {
      const named = await askAddresses(ip);
      expect(named).to.have.length(2).and.not.include(`${leaving?.ip}:${callersPort}`);
    }
    await stopped;
  }).timeout(15_000);

  // Guards against a daemon that lists itself alone for the usual five seconds: after a restart of
  // all daemons, the first one that was ready did so, and held most callers of that time until they
  // were late.
  it('are listed with a short time to live by a daemon that does not know the others yet', async () => {
    const first = await site.addGateway([], 'homes = 2\nhome_capacity = 0.1');
    const early = await askDirectory(first);
    expect(early.addresses).to.deep.equal([`${first}:${callersPort}`]);
    expect(early.ttl).to.equal(1);
    await site.addGateway([first], 'homes = 2\nhome_capacity = 0.1');
    await pause(2500);
    const settled = await askDirectory(first);
    expect(settled.addresses).to.have.length(2);
    expect(settled.ttl).to.equal(5);
  }).timeout(15_000);

  it('discover each other soon after starting one after the other', async () => {
    const late = site.createGateway([], 'homes = 2\nhome_capacity = 0.1');
    const early = await site.addGateway([late.ip], 'homes = 2\nhome_capacity = 0.1');
    await pause(550);
    await late.gateway.start();
    await pause(250);
    expect(await askAddresses(early)).to.have.length(2);
  }).timeout(15_000);

  it('receive changes from those that read the store, and read it themselves when no other daemon does', async () => {
    const first = await site.addGateway([], 'homes = 1\nhome_capacity = 0.5');
    const second = await site.addGateway([first], 'homes = 1\nhome_capacity = 0.5');
    await pause(1500);
    const homes = await askAddresses(second);
    const follower = homes.includes(`${first}:${callersPort}`) ? second : first;
    site.configure([...RULES, { prefix: '/new/' }]);
    await pause(900);
    expect((await sendTo(follower, { path: '/new/1' })).status).to.equal(200);
    const home = site.gateways.find(({ ip }) => ip !== follower);
    home?.gateway.destroy();
    site.configure([...RULES, { prefix: '/newer/' }]);
    await pause(1900);
    expect((await sendTo(follower, { path: '/newer/1' })).status).to.equal(200);
  }).timeout(15_000);

  // Guards against a stand-in reader that reads only the targets: they made its view look fresh, so
  // it never read the configuration.
  it('a stand-in reader reads the configuration as well, as long as it is one', async () => {
    const first = await site.addGateway([], 'homes = 1\nhome_capacity = 0.1');
    const second = await site.addGateway([first], 'homes = 1\nhome_capacity = 0.1');
    await pause(1500);
    const homes = await askAddresses(second);
    const [follower, home] = homes.includes(`${first}:${callersPort}`)
      ? [second, first]
      : [first, second];
    site.cutStore(home);
    await pause(2000);
    for (const prefix of ['/b/', '/c/', '/d/', '/e/']) {
      site.configure([...RULES, { prefix }]);
      await pause(500);
      expect((await sendTo(follower, { path: `${prefix}1` })).status).to.equal(200);
    }
  }).timeout(15_000);

  it('a daemon that starts during an outage of the store learns everything from the others', async () => {
    const first = await site.addGateway();
    site.store.fault = { kind: 'busy' };
    const second = await site.addGateway([first]);
    expect(await askReady(second)).to.equal(200);
    expect((await sendTo(second)).status).to.equal(200);
  }).timeout(15_000);

  it('a daemon whose seeds are gone finds the others by the list in the store', async () => {
    const first = await site.addGateway();
    await waitUntil(
      () => (site.store.get(KEYS.members) ?? '').includes(first),
      'the first daemon has written the members',
    );
    const second = await site.addGateway(['127.0.9.9']);
    await waitUntil(
      () => (site.store.get(KEYS.members) ?? '').includes(second),
      'the second daemon is among the members',
    );
    const named = [await askAddresses(first), await askAddresses(second)];
    expect(named[0])
      .to.have.length(2)
      .and.to.have.members([...named[1]]);
  }).timeout(15_000);

  it('a daemon without a configuration answers that the request has not run', async () => {
    site.store.fault = { kind: 'silent' };
    const { ip, gateway } = site.createGateway();
    gateway.start().catch(() => undefined);
    await pause(300);
    const reply = await sendTo(ip);
    expect(reply.status).to.equal(503);
    expect(Number(reply.headers['retry-after'])).to.be.greaterThan(0);
    expect(await askReady(ip)).to.equal(503);
  });
});
