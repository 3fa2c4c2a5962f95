/** Answers while the daemon's own process is frozen, killed or stopped. */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { KEYS } from '../src/platform/index.js';
import {
  KvServer,
  RecordingTarget,
  writeConfiguration,
  writeTarget,
} from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { composeGatewaySettings, waitUntilReady } from './helpers/gateway-process.js';
import { sendRaw } from './helpers/raw-caller.js';
import { endProcess, startDeployedGateway } from './helpers/watched-process.js';

const IP = '127.0.19.2';
const PORTS = {
  ...{ callers: 18_444, readiness: 18_440, directory: 18_443, metrics: 18_449, peers: 18_460 },
};
const MACHINE = { cpuShare: 1, memory: 350, descriptors: 4100 };
const RULES = [{ prefix: '/once/', kind: 'unsafe', timeout: 3000 }] as const;

/** Below and above the length from which answers are streamed. */
const SIZES = [2000, 600_000] as const;

describe("an answer without a length, when the daemon's process", () => {
  const store = new KvServer();
  let target: RecordingTarget;
  let child: ChildProcess;
  const directory = mkdtempSync(join(tmpdir(), 'orchidbeam-'));
  const file = join(directory, 'gateway.ini');

  before(async () => {
    const { host, port } = await store.start();
    store.put(KEYS.configuration, writeConfiguration(3, RULES));
    target = await new RecordingTarget('i-1').start();
    store.put(KEYS.targets + target.incarnation, writeTarget(target.address));
    const address = `${host}:${port}`;
    writeFileSync(
      file,
      composeGatewaySettings({ ip: IP, ports: PORTS, store: address, machine: MACHINE }),
    );
  });
  beforeEach(async () => {
    child = startDeployedGateway(file);
    child.stdout?.resume();
    child.stderr?.resume();
    await waitUntilReady(IP, PORTS.readiness);
  });
  afterEach(() => endProcess(child));
  after(() => {
    target.stop();
    store.stop();
    rmSync(directory, { recursive: true, force: true });
  });

  /** Has the target send an answer's first half; resolves with its connection. */
  const beginAnswer = (size: number) =>
    new Promise<IncomingMessage['socket']>((resolve) => {
      target.behaviour = (request) => {
        request.resume();
        request.socket.on('error', () => undefined);
        const id = String(request.headers['attempt-id']);
        const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n\r\n`;
        request.socket.write(head + 'x'.repeat(size / 2), () => resolve(request.socket));
      };
    });
  const post = () =>
    sendRaw({
      ...{ ip: IP, port: PORTS.callers, path: '/once/1', method: 'POST' },
      body: Buffer.from('x'),
    });
  const freeze = async (time: number, action: () => void) => {
    child.kill('SIGSTOP');
    await pause(20);
    action();
    await pause(time);
    child.kill('SIGCONT');
  };

  for (const size of SIZES) {
    describe(`has half of ${size} bytes`, () => {
      // Guards against a reset that is there before the last bytes are read, and so not reported.
      it('and is frozen while more of it and a reset arrive: it does not look whole', async () => {
        const begun = beginAnswer(size);
        const sent = post();
        const socket = await begun;
        await pause(30);
        await freeze(200, () => socket.write('y'.repeat(size / 4), () => socket.resetAndDestroy()));
        const answer = await sent;
        if (answer?.looksWhole === true) expect(answer.status).to.equal(502);
      });

      it('and is frozen while its rest and an orderly close arrive: it is whole', async () => {
        const begun = beginAnswer(size);
        const sent = post();
        const socket = await begun;
        await pause(30);
        await freeze(200, () => socket.end('y'.repeat(size / 2)));
        const answer = await sent;
        expect(answer).to.include({ status: 200, looksWhole: true });
        expect(answer?.body.length).to.equal(size);
      });

      // Guards against a close of the caller's connection that looks like the end of the answer.
      it('and is killed: it does not look whole', async () => {
        const begun = beginAnswer(size);
        const sent = post();
        await begun;
        await pause(30);
        child.kill('SIGKILL');
        expect((await sent)?.looksWhole ?? false).to.equal(false);
      });

      it('and is stopped: its caller gets all of it', async () => {
        const begun = beginAnswer(size);
        const sent = post();
        const socket = await begun;
        child.kill('SIGTERM');
        await pause(300);
        socket.end('y'.repeat(size / 2));
        const answer = await sent;
        expect(answer).to.include({ status: 200, looksWhole: true });
        expect(answer?.body.length).to.equal(size);
        await once(child, 'exit');
      }).timeout(15_000);
    });
  }

  it('is killed while a slow caller reads: what it has does not look whole', async () => {
    let isBegun = false;
    target.behaviour = (request) => {
      request.resume();
      const id = String(request.headers['attempt-id']);
      request.socket.end(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n\r\n${'x'.repeat(8_000_000)}`,
      );
    };
    const sent = sendRaw({
      ...{ ip: IP, port: PORTS.callers, path: '/once/1', method: 'POST', readPause: 300 },
      body: Buffer.from('x'),
      onFirstBytes: () => {
        isBegun = true;
      },
    });
    await waitUntil(() => isBegun, 'the answer has begun');
    child.kill('SIGKILL');
    const answer = await sent;
    expect(answer?.looksWhole ?? false).to.equal(false);
  });
});
