/** A store that answers without end, played against a daemon's own process beside ordinary callers. */
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http, { type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
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
import { composeGatewaySettings, waitUntilReady } from './helpers/gateway-process.js';
import { OrdinaryCallers } from './helpers/ordinary-callers.js';
import { MemoryWatch, endProcess, startDeployedGateway } from './helpers/watched-process.js';

const MEMORY_MB = 250;
const FAULT_TIME_MS = 6000;
const MIN_SERVED = 0.95;
const IP = '127.0.27.1';
const PORTS = {
  ...{ callers: 18_344, readiness: 18_340, directory: 18_343, metrics: 18_349, peers: 18_360 },
};

const PIECE = Buffer.alloc(65_536, ' ');

/** Answers the call with this number. */
type Fault = (response: ServerResponse, call: number) => void;

const sendEndlessly: Fault = (response) => {
  const send = () => {
    while (!response.destroyed && response.write(PIECE));
  };
  response.on('drain', send);
  send();
};

function composeItems(call: number, count: number, text: string): readonly object[] {
  const value = Buffer.from(text).toString('base64');
  return Array.from({ length: count }, (_, index) => ({
    ...{ key_file: `${KEYS.targets}x-${call}-${index}`, value },
    revision: 1_000_000 + call * count + index,
  }));
}

const UNREACHED = writeTarget({ host: '127.0.0.1', port: 9 }, { service: 'gamma' });

function sendItems(count: number, text: string): Fault {
  return (response, call) => {
    const items = composeItems(call, count, text);
    const body = {
      items,
      events: items,
      truncated: true,
      store_revision: 1_000_000 + call * count,
    };
    response.end(JSON.stringify(body));
  };
}

const FAULTS: readonly (readonly [string, Fault])[] = [
  ['a body without end', sendEndlessly],
  ['further targets in each page and watch', sendItems(500, UNREACHED)],
  ['further long values in each page and watch', sendItems(1, 'x'.repeat(1_000_000))],
  ['pages of nothing but brackets', (response) => response.end(`[${'{},'.repeat(1_300_000)}0]`)],
];

/** A store before which a proxy answers in its place while it has a fault. */
class FaultyStore {
  readonly store = new KvServer();

  fault: Fault | undefined;

  #calls = 0;

  readonly #proxy = http.createServer((request, response) => {
    this.#calls += 1;
    response.on('error', () => undefined);
    if (this.fault !== undefined) {
      this.fault(response, this.#calls);
      return;
    }
    const { host, port } = this.store.address;
    const { method, url: path, headers } = request;
    const passed = http.request({ host, port, method, path, headers, agent: false }, (answer) => {
      response.writeHead(answer.statusCode ?? 500, answer.headers);
      answer.pipe(response);
    });
    passed.on('error', () => response.destroy());
    response.on('close', () => passed.destroy());
    request.pipe(passed);
  });

  async start(): Promise<string> {
    await this.store.start();
    await new Promise<void>((resolve) => {
      this.#proxy.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#proxy.address() as AddressInfo).port}`;
  }

  set(fault: Fault): void {
    this.fault = fault;
    this.#proxy.closeAllConnections();
  }

  stop(): void {
    this.#proxy.close();
    this.#proxy.closeAllConnections();
    this.store.stop();
  }
}

describe('a gateway daemon beside a store that answers without end', function run() {
  this.timeout(60_000);
  let faulty: FaultyStore;
  let target: RecordingTarget;
  let directory: string;
  let child: ChildProcess;
  let watch: MemoryWatch;
  beforeEach(async () => {
    faulty = new FaultyStore();
    const store = await faulty.start();
    faulty.store.put(
      KEYS.configuration,
      writeConfiguration(3, [{ prefix: '/read/', timeout: 4000 }]),
    );
    target = await new RecordingTarget('i-1').start();
    faulty.store.put(KEYS.targets + target.incarnation, writeTarget(target.address));
    directory = mkdtempSync(join(tmpdir(), 'orchidbeam-'));
    const file = join(directory, 'gateway.ini');
    const machine = { cpuShare: 0.27, memory: MEMORY_MB, descriptors: 4100 };
    writeFileSync(file, composeGatewaySettings({ ip: IP, ports: PORTS, store, machine }));
    child = startDeployedGateway(file);
    watch = new MemoryWatch(child, MEMORY_MB);
    await waitUntilReady(IP, PORTS.readiness);
  });
  afterEach(async () => {
    watch.stop();
    await endProcess(child);
    target.stop();
    faulty.stop();
    rmSync(directory, { recursive: true, force: true });
  });

  // Guards against a store that ends every daemon at once, or takes their time from the callers.
  for (const [what, fault] of FAULTS) {
    it(`withstands ${what}`, async () => {
      faulty.set(fault);
      const callers = new OrdinaryCallers({ host: IP, port: PORTS.callers });
      const done = callers.run();
      await pause(FAULT_TIME_MS);
      callers.stop();
      await done;
      const seen = `${callers.describe()}; ${Math.round(watch.peak)} MB`;
      expect(watch.fault, seen).to.equal(undefined);
      expect(callers.served, seen).to.be.at.least(MIN_SERVED);
    });
  }
});
