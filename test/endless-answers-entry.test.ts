/** Targets of the product's own daemon that send without end. */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { type LaunchedEntry, System, findExample } from '../src/demo/index.js';
import type { Address } from '../src/kernel/index.js';
import {
  BYTES_BEHIND,
  ENDLESS_STREAMS,
  type EndlessAnswer,
  FAULTY_ANSWERS,
  sendEndlessly,
  startEndlessTarget,
} from './helpers/endless-targets.js';
import { Fleet, putDocuments, send, waitUntil, writeService } from './helpers/fleet.js';
import { OrdinaryCallers } from './helpers/ordinary-callers.js';
import { MemoryWatch, endProcess } from './helpers/watched-process.js';

const DEADLINE_MS = 600;
/** Time after which an answer that is over a limit has ended. */
const FAULT_MS = 400;
/** Time after its deadline by which a call has ended. */
const GRACE_MS = 500;
/** Time by which a connection is closed whose bytes nobody uses. */
const CLOSE_MS = 500;

/** The smallest machine of the users' deployments. */
const MEMORY_MB = 250;
const CROWD_CALLS = 90;
const CROWD_TIME_MS = 1000;
const CROWD_DEADLINE_MS = 1500;
const MIN_SERVED = 0.95;
const LEDGER = 'ledger.konyvhaz.example';

describe('a target of the own daemon that sends without end', () => {
  const fleet = new Fleet({});
  const sockets = new Set<Socket>();
  /** Those on which a request has arrived; after an abort `undici` opens another connection. */
  const asked = new Set<Socket>();
  let entry: Address;
  let answer: EndlessAnswer;
  const target = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      asked.add(socket);
      sendEndlessly(socket, answer, 'steady');
    });
    socket.resume();
  });
  before(async () => {
    target.listen(0, '127.0.0.1');
    await once(target, 'listening');
    const { port } = target.address() as AddressInfo;
    putDocuments(fleet.store, { 'service/test': writeService([{ host: '127.0.0.1', port }]) });
    entry = (await fleet.start()).callersAddress;
  });
  after(() => {
    target.close();
    fleet.close();
  });
  beforeEach(() => {
    sockets.clear();
    asked.clear();
  });
  afterEach(() => {
    for (const socket of sockets) socket.destroy();
  });

  const checkClosed = async () => {
    const startedAt = performance.now();
    expect(asked.size).to.equal(1);
    const isClosed = () => [...asked].every(({ destroyed }) => destroyed);
    await waitUntil(isClosed, 'its connections are closed');
    expect(performance.now() - startedAt).to.be.lessThan(CLOSE_MS);
  };
  const call = async () => {
    const startedAt = performance.now();
    const headers = { 'orchidbeam-deadline': String(DEADLINE_MS) };
    const cut = { status: 0, whole: false, text: '' };
    const { status, whole, text } = await send(entry, { method: 'POST', headers }).catch(() => cut);
    return { status, whole, text, took: performance.now() - startedAt };
  };

  describe('within an answer', () => {
    for (const [what, endless] of Object.entries(FAULTY_ANSWERS)) {
      // Guards against bytes that are read without a bound, as no body and no deadline ends them.
      it(`${what}: the call ends at once, and the connection is closed`, async () => {
        answer = endless;
        const { status, whole, took } = await call();
        if (whole) expect(status).to.equal(502);
        expect(took).to.be.lessThan(FAULT_MS);
        await checkClosed();
      });
    }
    for (const [what, endless] of Object.entries(ENDLESS_STREAMS)) {
      // Guards against a streamed answer that is held open for as long as its target sends.
      it(`${what}: the answer is cut off at the call's deadline`, async () => {
        answer = endless;
        const { whole, took } = await call();
        expect(whole).to.equal(false);
        expect(took).to.be.within(DEADLINE_MS - 100, DEADLINE_MS + GRACE_MS);
        await checkClosed();
      });
      // Guards against an answer without end that stays open, as its caller does not read it.
      it(`${what}, not read by the caller: the connection is closed at the deadline`, async () => {
        answer = endless;
        const caller = net.connect({ host: entry.host, port: entry.port });
        caller.on('error', () => undefined).pause();
        caller.write(
          `POST / HTTP/1.1\r\nHost: test.example\r\nOrchidbeam-Deadline: ${DEADLINE_MS}\r\n\r\n`,
        );
        await pause(DEADLINE_MS);
        await checkClosed();
        caller.destroy();
      });
    }
    // Guards against a chunk for each byte of an answer, which takes many times its size.
    it('chunks of one byte: the caller gets them joined', async () => {
      const bytes = 20_000;
      const { first } = ENDLESS_STREAMS['chunks of one byte'];
      answer = { first: `${first}${'1\r\nx\r\n'.repeat(bytes)}0\r\n\r\n`, repeated: '' };
      const caller = net.connect({ host: entry.host, port: entry.port });
      caller.write('POST / HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\n\r\n');
      let received = '';
      caller.on('data', (data: Buffer) => {
        received += data.toString();
      });
      await once(caller, 'end');
      const body = received.slice(received.indexOf('\r\n\r\n'));
      expect(body.replaceAll(/[^x]/g, '')).to.have.length(bytes);
      expect(body.length).to.be.within(bytes, 1.1 * bytes);
    });
    it('interim answers: the outcome tells how many', async () => {
      answer = FAULTY_ANSWERS['interim answers'];
      expect((await call()).text).to.include('more than 100 interim answers');
    });
  });

  describe('behind an answer', () => {
    for (const [what, endless] of Object.entries(BYTES_BEHIND)) {
      // Guards against bytes on an idle connection, which belong to no call.
      it(`${what}: the answer is served, and the connection is closed`, async () => {
        answer = endless;
        const { status, text } = await call();
        expect({ status, text }).to.deep.equal({ status: 200, text: 'ok' });
        await checkClosed();
      });
    }
  });
});

describe('an entry daemon, beside targets that send without end as fast as they can', function run() {
  this.timeout(60_000);
  let system: System;
  let entry: LaunchedEntry;
  let watch: MemoryWatch;
  let children: ChildProcess[] = [];
  const directory = mkdtempSync(join(tmpdir(), 'orchidbeam-endless-'));

  beforeEach(async () => {
    system = await System.create();
    await system.startTargets({ role: 'ledger', count: 3, slots: 6, serviceTime: 5 }, ['hu/bud1']);
    entry = await system.startEntry({ name: 'e0', domain: 'hu/bud1' });
    watch = new MemoryWatch(entry.child, MEMORY_MB);
  });
  afterEach(async () => {
    watch.stop();
    await Promise.all(children.map(endProcess));
    children = [];
    await system.close();
  });
  after(() => rmSync(directory, { recursive: true, force: true }));

  const configure = async (endless: EndlessAnswer) => {
    const targets = await Promise.all([startEndlessTarget(endless), startEndlessTarget(endless)]);
    children = targets.map(({ child }) => child);
    const file = join(directory, 'service', 'endless.ini');
    mkdirSync(join(directory, 'service'), { recursive: true });
    const list = targets.map(({ address }) => `${address.host}:${address.port}`).join(', ');
    const text = `[service]\nhosts = endless.example\n\n[pool]\ntargets = ${list}\nslots = 100\nconnections = 200\n`;
    writeFileSync(file, text);
    await system.configure([findExample('konyvhaz/service/ledger.ini'), file], 'test');
  };
  const sendCrowd = async (reads: boolean) => {
    const calls: Promise<void>[] = [];
    for (let index = 0; index < CROWD_CALLS; index += 1) {
      calls.push(
        new Promise((resolve) => {
          const sent = http.request({
            ...{ host: entry.callers.host, port: entry.callers.port, agent: false },
            ...{ method: 'POST', path: `/${index}`, localAddress: '127.0.0.66' },
            headers: {
              ...{ host: 'endless.example', 'content-length': 0 },
              'orchidbeam-deadline': String(CROWD_DEADLINE_MS),
            },
            signal: AbortSignal.timeout(CROWD_DEADLINE_MS + GRACE_MS),
          });
          sent.on('error', () => undefined).on('close', resolve);
          sent.on('response', (response) => {
            response.on('error', () => undefined);
            if (reads) response.resume();
          });
          sent.end();
        }),
      );
      await pause(CROWD_TIME_MS / CROWD_CALLS);
    }
    await Promise.all(calls);
  };
  const play = async (endless: EndlessAnswer, reads: boolean) => {
    await configure(endless);
    const callers = new OrdinaryCallers(entry.callers, LEDGER);
    const running = callers.run();
    await pause(300);
    await sendCrowd(reads);
    await pause(300);
    callers.stop();
    await running;
    const memory = Math.round(watch.peak);
    process.stdout.write(`      ${memory} MB; ordinary requests: ${callers.describe()}\n`);
    expect(watch.fault).to.equal(undefined);
    expect(callers.served, callers.describe()).to.be.at.least(MIN_SERVED);
  };

  for (const [what, endless] of Object.entries({ ...FAULTY_ANSWERS, ...ENDLESS_STREAMS })) {
    // Guards against a crowd of answers that takes the memory, or the time of ordinary calls.
    it(`withstands ${CROWD_CALLS} answers of ${what}`, () => play(endless, true));
  }
  for (const [what, endless] of Object.entries(ENDLESS_STREAMS)) {
    // Guards against answers that are held in memory, as their callers do not read them.
    it(`withstands ${CROWD_CALLS} answers of ${what}, not read`, () => play(endless, false));
  }
  for (const [what, endless] of Object.entries(BYTES_BEHIND)) {
    // Guards against bytes on idle connections that take the time of ordinary calls.
    it(`withstands ${CROWD_CALLS} answers with ${what} behind them`, () => play(endless, true));
  }
});
