/**
 * Gateway daemons in this process, on loopback addresses of their own, with stand-ins for the store
 * and the targets.
 */
import http from 'node:http';
import { setTimeout } from 'node:timers/promises';
import {
  type Address,
  Kernel,
  type Log,
  type LogFields,
  clockService,
  createSystemClock,
  createSystemRandom,
  logService,
  openTcpSocket,
  randomService,
  targetSocketService,
} from '../../src/kernel/index.js';
import { Gateway, checkGatewaySettings } from '../../src/gateway/index.js';
import { answerGuardService, createAnswerGuard } from '../../src/overload/index.js';
import { KEYS, type KvStore, createKvStore, kvStoreService } from '../../src/platform/index.js';
import { KvServer } from '../../src/standin/index.js';
import {
  type Behaviour,
  HOST,
  type RuleOptions,
  type ServiceOptions,
  RecordingTarget,
  type TargetRecordOptions,
  writeConfiguration,
  writeTarget,
} from '../../src/standin/index.js';
import { type PartitionFault, TargetNetwork } from '../../src/soak/target-network.js';

const PORTS = {
  ...{ callers: 18_144, readiness: 18_140, directory: 18_143, peers: 18_160 },
  metrics: 18_149,
};

/** Settings of the daemons for cold targets. */
export const COLD_OVERSHOOT = 1.5;
export const COLD_SLACK = 2;

/** An answer as a caller receives it. */
export interface CallerReply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly whole: boolean;
  /** Time to the end of the answer, in milliseconds. */
  readonly took: number;
}

/** A request as a caller sends it; omitted parts have defaults. */
export interface CallerRequest {
  readonly path?: string;
  readonly method?: string;
  readonly id?: string;
  readonly deadline?: number;
  readonly body?: string | Buffer;
  /** The caller's own address; 127.0.0.1 by default. */
  readonly from?: string;
  readonly agent?: http.Agent;
  readonly signal?: AbortSignal;
  readonly headers?: Readonly<Record<string, string>>;
  /** The daemon's port; by default that of daemons in this process. */
  readonly port?: number;
}

let lastHost = 1;

/** A small installation: a store, targets and gateway daemons. */
export class Site {
  readonly store = new KvServer();

  readonly targets: RecordingTarget[] = [];

  readonly gateways: { readonly ip: string; readonly gateway: Gateway }[] = [];

  readonly events: { readonly ip: string; readonly event: string; readonly fields: LogFields }[] =
    [];

  readonly #cutOff = new Set<string>();

  readonly #keyless = new Set<string>();

  readonly #targetNetworks = new Map<string, TargetNetwork>();

  /** Setting `probes_per_second` of daemons that are created from now on. */
  probesPerSecond = 60;

  /** Whether daemons that are created from now on can be partitioned from the targets. */
  isPartitionable = false;

  /** Setting `first_start` of daemons that are created from now on. */
  isFirstStart = false;

  /** Further lines in section `[promises]` of daemons that are created from now on. */
  promises = '';

  /** Further lines in section `[machine]` of daemons that are created from now on. */
  machine = '';

  /** Whether daemons that are created from now on serve metrics. */
  hasMetrics = false;

  /** Watches the answers that all daemons receive. */
  readonly answerGuard = createAnswerGuard(createSystemClock(), 16_777_216);

  #version = 0;

  #storeAddress = { host: '', port: 0 };

  async start(rules: readonly RuleOptions[]): Promise<this> {
    this.#storeAddress = await this.store.start();
    this.configure(rules);
    return this;
  }

  configure(rules: readonly RuleOptions[], services: ServiceOptions = {}): void {
    this.#version += 3;
    this.store.put(KEYS.configuration, writeConfiguration(this.#version, rules, services));
  }

  async addTarget(service = 'alpha', draft: TargetRecordOptions = {}): Promise<RecordingTarget> {
    const target = await new RecordingTarget(`i-${this.targets.length + 1}`).start();
    this.targets.push(target);
    this.putTarget(target, { service, ...draft });
    return target;
  }

  /** Writes a target's entry to the store. */
  putTarget(target: RecordingTarget, draft: TargetRecordOptions = {}): void {
    this.store.put(KEYS.targets + target.incarnation, writeTarget(target.address, draft));
  }

  /** Cuts a gateway off from the store; its pending calls fail as well. */
  cutStore(ip: string): void {
    this.#cutOff.add(ip);
  }

  /** Sets whether a gateway finds no fleet key in the store. */
  hideFleetKey(ip: string, isHidden: boolean): void {
    if (isHidden) this.#keyless.add(ip);
    else this.#keyless.delete(ip);
  }

  #createStore(ip: string, address: Address, timeout: number): KvStore {
    const store = createKvStore(address, timeout, undefined, this.answerGuard);
    const cut = { kind: 'unknown', reason: 'cut' } as const;
    const pass = async <T>(call: Promise<T>) => ((await call, this.#cutOff.has(ip)) ? cut : call);
    return {
      readItem: (key, stale) =>
        key === KEYS.fleetKey && this.#keyless.has(ip)
          ? Promise.resolve({ kind: 'absent' })
          : pass(store.readItem(key, stale)),
      readItems: (prefix, after, stale) => pass(store.readItems(prefix, after, stale)),
      watch: (prefix, after, wait) => pass(store.watch(prefix, after, wait)),
      write: (write) => pass(store.write(write)),
      remove: (removal) => pass(store.remove(removal)),
      grantLease: (ttl) => pass(store.grantLease(ttl)),
      renewLease: (lease) => pass(store.renewLease(lease)),
      counts: () => store.counts(),
      close: () => store.close(),
    };
  }

  /** Sets the fault between a gateway and all targets. */
  partition(ip: string, fault: PartitionFault): void {
    this.#targetNetworks.get(ip)?.setFault(fault);
  }

  /** Sets the fault between a gateway and one target. */
  partitionFrom(ip: string, target: Address, fault: PartitionFault): void {
    this.#targetNetworks.get(ip)?.setTargetFault(target, fault);
  }

  /** Creates a gateway without starting it. */
  createGateway(
    seeds: readonly string[] = [],
    tuning = '',
    place: Readonly<Partial<Record<'ip' | 'domain' | 'region' | 'domains', string>>> = {},
  ): { ip: string; gateway: Gateway } {
    const { domain = 'd1', region = 'r1', domains = '' } = place;
    if (place.ip === undefined) lastHost += 1;
    const { ip = `127.0.7.${lastHost % 250}` } = place;
    const text = [
      '[gateway]',
      ...[`name = vm-${ip}`, `ip = ${ip}`, `domain = ${domain}`, `region = ${region}`],
      `domains = ${domains}`,
      ...[`callers = ${ip}:${PORTS.callers}`, `readiness = ${ip}:${PORTS.readiness}`],
      ...[`directory = ${ip}:${PORTS.directory}`, `peer_ports = ${PORTS.peers},${PORTS.peers + 9}`],
      // On the users' platform seeds name one of the daemons that start first, which may be this
      // one.
      `seeds = ${(seeds.length === 0 ? [ip] : seeds).map((seed) => `${seed}:1`).join(',')}`,
      `first_start = ${this.isFirstStart}`,
      this.hasMetrics ? `metrics = ${ip}:${PORTS.metrics}` : '',
      ...['[machine]', 'cpu_share = 0.5', this.machine, '[platform]'],
      `address = ${this.#storeAddress.host}:${this.#storeAddress.port}`,
      ...['[promises]', 'grace = 6', 'answer_ttl = 5', 'retry_ratio = 0.2', 'retry_window = 10'],
      ...['retry_slack = 64', `probes_per_second = ${this.probesPerSecond}`],
      ...[`cold_overshoot = ${COLD_OVERSHOOT}`, `cold_slack = ${COLD_SLACK}`],
      ...[this.promises, '[tuning]', tuning],
    ].join('\n');
    const settings = checkGatewaySettings('test.ini', text).unsafeCoerce();
    const write = (event: string, fields: LogFields = {}) =>
      this.events.push({ ip, event, fields });
    const log: Log = { debug: () => undefined, info: write, warn: write, error: write };
    const network = new TargetNetwork();
    this.#targetNetworks.set(ip, network);
    const kernel = new Kernel()
      .provide(clockService, createSystemClock())
      .provide(randomService, createSystemRandom())
      .provide(logService, log)
      .provide(answerGuardService, this.answerGuard)
      .provide(targetSocketService, this.isPartitionable ? network.open : openTcpSocket)
      .provide(
        kvStoreService,
        this.#createStore(ip, settings.platform.address, settings.platform.timeout),
      );
    const created = { ip, gateway: new Gateway(kernel, settings) };
    this.gateways.push(created);
    return created;
  }

  /** Ends a gateway as a crash would, and starts another one on the same address. */
  async restartGateway(ip: string, seeds: readonly string[]): Promise<void> {
    const index = this.gateways.findIndex((entry) => entry.ip === ip);
    for (const { gateway } of this.gateways.splice(index, 1)) gateway.destroy();
    // The sockets are closed in later iterations of the event loop.
    await setTimeout(50);
    await this.createGateway(seeds, '', { ip }).gateway.start();
  }

  /** Creates and starts a gateway; returns its address. */
  async addGateway(seeds: readonly string[] = [], tuning = ''): Promise<string> {
    const { ip, gateway } = this.createGateway(seeds, tuning);
    await gateway.start();
    return ip;
  }

  stop(): void {
    for (const { gateway } of this.gateways) gateway.destroy();
    for (const network of this.#targetNetworks.values()) network.stop();
    for (const target of this.targets) target.stop();
    this.store.stop();
  }
}

function sendRequest(options: http.RequestOptions, body?: string | Buffer): Promise<CallerReply> {
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    const sent = http.request(options);
    sent.on('error', reject);
    sent.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({
          ...{ status: response.statusCode ?? 0, headers: response.headers },
          ...{ text: Buffer.concat(chunks).toString('utf8'), whole: response.complete },
          took: performance.now() - startedAt,
        }),
      );
    });
    sent.end(body);
  });
}

let lastId = 0;

/** Sends one request as a caller. */
export function sendTo(ip: string, sending: CallerRequest = {}): Promise<CallerReply> {
  lastId += 1;
  const { path = '/a/1', method = 'GET', id = `try-${lastId}`, deadline = 4000 } = sending;
  return sendRequest(
    {
      ...{ host: ip, port: sending.port ?? PORTS.callers, path, method },
      agent: sending.agent ?? false,
      ...{ signal: sending.signal, localAddress: sending.from },
      headers: {
        ...{ host: HOST, 'attempt-id': id, 'request-deadline-ms': String(deadline) },
        ...(sending.body === undefined || sending.headers?.['transfer-encoding'] !== undefined
          ? {}
          : { 'content-length': Buffer.byteLength(sending.body) }),
        ...sending.headers,
      },
    },
    sending.body,
  );
}

/** Asks a daemon's directory for the addresses that callers use. */
export async function askAddresses(ip: string): Promise<readonly string[]> {
  return (await askDirectory(ip)).addresses;
}

/**
 * Asks a daemon's directory for the addresses that callers use and their time to live in seconds;
 * empty on an error.
 */
export async function askDirectory(
  ip: string,
  { region = 'r1', domain = 'd1' } = {},
): Promise<{ readonly addresses: readonly string[]; readonly ttl: number }> {
  const path = `/resolve?name=${HOST}&region=${region}&zone=${domain}`;
  const reply = await sendRequest({ host: ip, port: PORTS.directory, path, agent: false });
  if (reply.status !== 200) return { addresses: [], ttl: 0 };
  const { addresses, ttl_s: ttl } = JSON.parse(reply.text) as {
    addresses: string[];
    ttl_s: number;
  };
  return { addresses, ttl };
}

/** Asks a daemon for its readiness; returns the status. */
export async function askReady(ip: string): Promise<number> {
  return (await sendRequest({ host: ip, port: PORTS.readiness, path: '/ready', agent: false }))
    .status;
}

/** Reads a page of a daemon's port for other daemons, or its metrics. */
export async function readPage(
  ip: string,
  port: 'peers' | 'metrics',
  path: string,
): Promise<string> {
  return (await sendRequest({ host: ip, port: PORTS[port], path, agent: false })).text;
}

export const callersPort = PORTS.callers;

/** Sends half of an answer that is too long to be buffered, and then nothing more. */
export const beginLongAnswer: Behaviour = (request, response) => {
  const half = 1_048_576;
  request.resume();
  response.writeHead(200, {
    ...{ 'server-signature': 's', 'content-length': 2 * half },
    'attempt-id': request.headers['attempt-id'],
  });
  response.write(Buffer.alloc(half, 'a'));
};

/** Applies a faulty behaviour to only the first request that reaches any of the targets. */
export function breakFirst(targets: readonly RecordingTarget[], behaviour: Behaviour): void {
  let hasFailed = false;
  for (const target of targets) {
    target.behaviour = (request, response) => {
      request.resume();
      if (hasFailed) {
        target.answer(request, response);
        return;
      }
      hasFailed = true;
      behaviour(request, response);
    };
  }
}

/** Sends the bytes as a target's whole answer; the connection stays open. */
export function sendRaw(request: http.IncomingMessage, bytes: string): void {
  request.resume();
  request.socket.write(Buffer.from(bytes, 'latin1'));
}
