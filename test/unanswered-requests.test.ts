/** Requests that are in progress when something closes their connection or ends their daemon. */
import net from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { HOST, type RecordingTarget } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { Site, callersPort, sendTo } from './helpers/gateways.js';

const ROUTES = [
  { prefix: '/a/', timeout: 2500 },
  { prefix: '/long/', timeout: 6000 },
] as const;

/** Slots of the target. */
const SLOTS = 4;

/** Longest time between a request and a close that it may have crossed, in milliseconds. */
const CROSSING_MS = 200;

interface SentRequest {
  readonly id: string;
  readonly sentAt: number;
  readonly deadline: number;
}

/** A caller that sends requests on one connection without waiting for their answers. */
class PipeliningCaller {
  readonly #socket: net.Socket;

  readonly #sent: SentRequest[] = [];

  #received = '';

  /** When the connection ended; undefined while it is open. */
  closedAt: number | undefined;

  constructor(ip: string) {
    this.#socket = net.connect({ host: ip, port: callersPort });
    this.#socket.on('error', () => undefined);
    this.#socket.on('data', (data: Buffer) => {
      this.#received += data.toString('latin1');
    });
    this.#socket.on('close', () => {
      this.closedAt = performance.now();
    });
  }

  send(id: string, path = '/a/1', deadline = 4000, body = ''): void {
    this.#sent.push({ id, sentAt: performance.now(), deadline });
    const start = `${body === '' ? 'GET' : 'PUT'} ${path} HTTP/1.1\r\nHost: ${HOST}`;
    const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
    this.sendBytes(
      `${start}\r\nAttempt-Id: ${id}\r\nRequest-Deadline-Ms: ${deadline}\r\n${length}\r\n${body}`,
    );
  }

  sendBytes(bytes: string): void {
    if (this.#socket.writable) this.#socket.write(bytes);
  }

  /** Lists the statuses of the answers, with the ids of their requests. */
  listAnswers(): readonly string[] {
    const heads = [...this.#received.matchAll(/HTTP\/1\.1 (\d+) [^]*?\r\n\r\n/g)];
    return heads.map(([head, status]) => `${/attempt-id: (\S+)/i.exec(head)?.[1]} ${status}`);
  }

  /** Lists the requests that got no answer although they did not cross the close. */
  listUnanswered(): readonly string[] {
    const { closedAt = Infinity } = this;
    const answered = new Set(this.listAnswers().map((answer) => answer.split(' ')[0]));
    return this.#sent
      .filter(({ id, sentAt }) => !answered.has(id) && closedAt - sentAt > CROSSING_MS)
      .map(({ id }) => id);
  }

  close(): void {
    this.#socket.destroy();
  }
}

describe('requests that are in progress', () => {
  let site: Site;
  let ip: string;
  let target: RecordingTarget;
  let caller: PipeliningCaller;

  /** Has the target take `time` milliseconds for requests whose id ends with `name`. */
  const setTimes = (times: Readonly<Record<string, number>>) => {
    target.behaviour = (request, response) => {
      const id = String(request.headers['attempt-id']);
      setTimeout(() => target.answer(request, response), times[id] ?? 0);
    };
  };
  const countEvents = (name: string) => site.events.filter(({ event }) => event === name).length;
  const waitForEvent = (name: string) => waitUntil(() => countEvents(name) > 0, name);

  beforeEach(async () => {
    site = await new Site().start(ROUTES);
    target = await site.addTarget();
    ip = await site.addGateway();
    caller = new PipeliningCaller(ip);
  });
  afterEach(() => {
    caller.close();
    site.stop();
  });

  describe('while their daemon stops', () => {
    // Guards against an answer that announces the close before its turn, so that requests which
    // arrive later are read and never answered.
    it('are answered on a connection whose answers are ready out of turn', async () => {
      setTimes({ first: 1500, second: 0, third: 0, fourth: 0 });
      const stopped = site.gateways[0].gateway.stop();
      caller.send('first');
      await pause(50);
      caller.send('second');
      await pause(300);
      caller.send('third');
      await pause(300);
      caller.send('fourth');
      await stopped;
      expect(caller.listUnanswered()).to.deep.equal([]);
      expect(caller.listAnswers()).to.include('first 200').and.include('second 200');
      expect(countEvents('request.unanswered')).to.equal(0);
    }).timeout(10_000);

    // Guards against a refusal that closes a connection before requests behind it are answered.
    it('are answered behind one that is refused', async () => {
      setTimes({ first: 2200 });
      const stopped = site.gateways[0].gateway.stop();
      await pause(2000);
      caller.send('first');
      await pause(1200);
      caller.send('second');
      await pause(300);
      caller.send('third');
      await stopped;
      expect(caller.listUnanswered()).to.deep.equal([]);
      expect(caller.listAnswers()).to.deep.equal(['first 200', 'second 503', 'third 503']);
    }).timeout(10_000);

    // Guards against requests that wait for a slot until all connections are closed.
    it('are refused when they still wait for a slot near the end of the grace period', async () => {
      target.behaviour = () => undefined;
      const stopped = site.gateways[0].gateway.stop();
      await pause(2500);
      const replies = Array.from({ length: 2 * SLOTS }, (_, index) =>
        sendTo(ip, { path: `/long/${index}`, deadline: 8000 }).then(
          ({ status }) => status,
          () => 'closed',
        ),
      );
      await stopped;
      const ends = await Promise.all(replies);
      // Those at the target are cut off, as the target is at work on them.
      expect(ends.filter((end) => end === 'closed').length).to.be.at.most(SLOTS);
      expect(ends.filter((end) => end === 503).length).to.be.at.least(SLOTS);
    }).timeout(10_000);
  });

  describe('while the daemon holds too much for its callers', () => {
    /** A body that is kept whole, so that it may be sent again. */
    const BODY = 'x'.repeat(900_000);

    beforeEach(async () => {
      site.machine = 'memory = 64\ndescriptors = 4096';
      ip = await site.addGateway();
      caller.close();
      caller = new PipeliningCaller(ip);
    });
    // Guards against evictions that end what a target works on, while others hold as much.
    it('are answered when they were passed on, and others hold the memory', async () => {
      setTimes({ first: 2000, second: 2000 });
      caller.send('first', '/a/1', 4000, BODY);
      caller.send('second', '/a/2', 4000, BODY);
      await pause(500);
      const others = Array.from({ length: 140 }, () => new PipeliningCaller(ip));
      for (const other of others) {
        other.sendBytes(`GET /a/3 HTTP/1.1\r\nHost: ${HOST}\r\nx: ${'y'.repeat(7900)}`);
      }
      await waitUntil(() => caller.listAnswers().length === 2, 'both answers');
      for (const other of others) other.close();
      expect(caller.listAnswers()).to.deep.equal(['first 200', 'second 200']);
      expect(countEvents('client.closed')).to.be.above(0);
    });

    // Guards against evictions that close a connection for its requests that wait for a target.
    it('are refused where they were not passed on, and answered where they were', async () => {
      target.behaviour = (request, response) => {
        setTimeout(() => target.answer(request, response), 1500);
      };
      const callers = [0, 1, 2].map(() => new PipeliningCaller(ip));
      for (const each of callers) {
        for (let index = 0; index < 6; index += 1) each.send(`r${index}`, '/a/1', 4000, BODY);
      }
      const listAnswers = () => callers.flatMap((each) => each.listAnswers());
      const countAnswers = (status: number) =>
        listAnswers().filter((answer) => answer.endsWith(` ${status}`)).length;
      await waitUntil(() => countAnswers(200) >= SLOTS, 'the answers of the target');
      await pause(500);
      for (const each of callers) each.close();
      expect(countEvents('client.closed')).to.be.above(0);
      expect(countAnswers(503)).to.be.above(0);
      expect(countEvents('request.unanswered')).to.equal(0);
    }).timeout(10_000);
  });

  describe('while there are too many connections', () => {
    // Guards against a connection that is closed with its request for the sake of a new one.
    it('are answered, and new connections are closed', async () => {
      site.machine = 'descriptors = 256';
      ip = await site.addGateway();
      target.behaviour = (request, response) => {
        setTimeout(() => target.answer(request, response), 400);
      };
      const callers = Array.from({ length: 24 }, () => new PipeliningCaller(ip));
      for (const [place, each] of callers.entries()) each.send(`r${place}`);
      await pause(300);
      const late: PipeliningCaller[] = [];
      for (let index = 0; index < 20; index += 1) {
        const each = new PipeliningCaller(ip);
        each.send('late');
        late.push(each);
        await pause(10);
      }
      const countAnswers = () => callers.flatMap((each) => each.listAnswers()).length;
      await waitUntil(() => countAnswers() === callers.length, 'all answers');
      for (const each of [...callers, ...late]) each.close();
      expect(late.filter(({ closedAt }) => closedAt !== undefined).length).to.be.above(0);
      expect(countEvents('request.unanswered')).to.equal(0);
    }).timeout(10_000);
  });

  describe('beside a request whose handling fails', () => {
    // Guards against an error in the work on one request that ends the others of its connection.
    it('are answered, and so is that request', async () => {
      setTimes({ first: 800, third: 400 });
      const { behaviour } = target;
      target.behaviour = (request, response) => {
        if (request.headers['attempt-id'] === 'second') request.socket.destroy();
        else behaviour?.(request, response);
      };
      // A log that throws stands for any fault in this code.
      const push = site.events.push.bind(site.events);
      site.events.push = (...entries) => {
        if (entries.some(({ event }) => event === 'attempt.failed')) throw new Error('broken');
        return push(...entries);
      };
      for (const id of ['first', 'second', 'third']) caller.send(id);
      await waitUntil(() => caller.listAnswers().length === 3, 'all answers');
      expect(caller.listAnswers()).to.deep.equal(['first 200', 'second 502', 'third 200']);
      expect(countEvents('request.broken')).to.equal(1);
      expect(countEvents('request.unanswered')).to.equal(0);
    });
  });

  describe('behind one whose rejection closes the connection', () => {
    // Guards against requests that run although nothing can be answered behind a rejection.
    it('do not run', async () => {
      setTimes({ first: 500 });
      caller.send('first');
      caller.sendBytes(`GET /a/../b HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`);
      caller.send('third');
      await waitUntil(() => caller.closedAt !== undefined, 'the connection is closed');
      expect(caller.listAnswers()).to.deep.equal(['first 200', 'undefined 400']);
      const seen = target.seenHeaders.map((headers) => headers['attempt-id']);
      expect(seen).to.include('first').and.not.include('third');
    });
  });

  describe('whose caller leaves in the middle of a body', () => {
    // Guards against connections of callers that have left, which then keep others out.
    for (const [how, length] of [
      ['buffered', 100_000],
      ['streamed', 4_000_000],
    ] as const) {
      it(`are forgotten with their connection (${how})`, async () => {
        const socket = net.connect({ host: ip, port: callersPort });
        socket.on('error', () => undefined);
        socket.write(
          `PUT /a/1 HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: left\r\nRequest-Deadline-Ms: 2000\r\nContent-Length: ${length}\r\n\r\n`,
        );
        socket.write('x'.repeat(length / 2));
        await pause(100);
        socket.destroy();
        caller.close();
        await pause(200);
        const startedAt = performance.now();
        await site.gateways[0].gateway.stop();
        expect(performance.now() - startedAt).to.be.lessThan(3000);
        expect(countEvents('request.unanswered')).to.equal(0);
      }).timeout(10_000);
    }
  });

  describe('behind which the caller sends what is no request', () => {
    // Guards against an error of the parser that ends requests which were passed on.
    it('are answered, and then the connection is closed', async () => {
      setTimes({ first: 600, second: 300 });
      caller.send('first');
      caller.send('second');
      await pause(100);
      caller.sendBytes('no request at all\r\n\r\n');
      await waitUntil(() => caller.closedAt !== undefined, 'the connection is closed');
      expect(caller.listAnswers().slice(0, 2)).to.deep.equal(['first 200', 'second 200']);
      expect(countEvents('request.unanswered')).to.equal(0);
    });

    // Guards against a time-out for a head that ends requests which were passed on.
    it('are answered when the head of the next one does not arrive in time', async () => {
      site.configure(ROUTES, { limits: { header_timeout_ms: 500 } });
      await waitForEvent('configuration.adopted');
      await pause(300);
      setTimes({ first: 2000 });
      caller.send('first');
      await pause(100);
      caller.sendBytes('GET /a/2 HTTP/1.1\r\nHost: te');
      await waitUntil(() => caller.closedAt !== undefined, 'the connection is closed');
      expect(caller.listAnswers()).to.include('first 200');
      expect(countEvents('request.unanswered')).to.equal(0);
    }).timeout(10_000);
  });
});
