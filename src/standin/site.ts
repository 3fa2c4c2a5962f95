/**
 * A stand-in for a site: builders for the configuration that its operators store and for the
 * records that its targets store, and a target that records what it runs.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { type Address, formatAddress } from '../kernel/index.js';

/** One rule of a configuration. */
export interface RuleOptions {
  readonly prefix: string;
  readonly kind?: 'safe' | 'unsafe' | 'upload';
  readonly service?: string;
  readonly split?: readonly { readonly service: string; readonly weight: number }[];
  readonly timeout?: number;
  readonly attempts?: number;
  readonly aim?: number;
  /** Regions in which the rule's requests may run. */
  readonly regions?: unknown;
  /** Whether its requests need no key; left out of the configuration unless given. */
  readonly isPublic?: unknown;
}

/** The host name that the configuration serves. */
export const HOST = 'test.example';

/** Settings of a configuration's services besides their names. */
export interface ServiceOptions {
  /**
   * The number of requests a second that a cold target accepts; left out of the configuration
   * unless given.
   */
  readonly coldRate?: unknown;
  /** The organisations; left out of the configuration unless given. */
  readonly tenants?: unknown;
  /** Limits that differ from the usual ones, by their names in the configuration. */
  readonly limits?: Readonly<Record<string, number>>;
}

/** Composes a configuration as the operators store it. */
export function writeConfiguration(
  version: number,
  rules: readonly RuleOptions[],
  { coldRate, tenants, limits }: ServiceOptions = {},
): string {
  const services = ['alpha', 'beta'];
  return JSON.stringify({
    version,
    unknown_field: true,
    tenants,
    limits: {
      ...{ max_header_bytes: 8192, max_body_bytes: 4_000_000 },
      ...{ header_timeout_ms: 3000, idle_timeout_ms: 5000 },
      ...limits,
    },
    listeners: [
      {
        host: HOST,
        rule_set: rules.map((rule) => ({
          ...{ name: `r${rule.prefix}`, kind: rule.kind ?? 'safe', priority: 1 },
          target_latency_ms: rule.aim ?? 500,
          ...{ allowed_regions: rule.regions, public: rule.isPublic },
          match: { path_prefix: rule.prefix },
          action: {
            ...(rule.split === undefined
              ? { service: rule.service ?? 'alpha' }
              : { split: rule.split }),
            ...{ timeout_ms: rule.timeout ?? 2000, max_attempts: rule.attempts ?? 2 },
          },
        })),
      },
    ],
    clusters: services.map((name) => ({
      ...{ name, health_path: '/health', max_connections: 100, protocol: 'h1', tls: false },
      ...(coldRate === undefined ? {} : { warmup_s: 3, warmup_per_s: coldRate }),
    })),
  });
}

/** The contents of a target's record in the store. */
export interface TargetRecordOptions {
  readonly service?: string;
  readonly state?: string;
  readonly domain?: string;
  readonly version?: string;
  readonly seq?: number;
  /** How long the target is still cold, in milliseconds. */
  readonly cold?: number;
  readonly born?: number;
}

/** Composes a target's record as the target stores it. */
export function writeTarget(address: Address, draft: TargetRecordOptions = {}): string {
  const { service = 'alpha', state = 'ready', domain = 'd1', version = 'v1' } = draft;
  const { seq = 1, cold = 0, born = 0 } = draft;
  return JSON.stringify({
    address: formatAddress(address),
    info: { service, version, zone: domain, slots: 4 },
    status: { state, seq, warmup_left_ms: cold },
    born,
  });
}

/** Longest head that a stand-in target accepts, in bytes. */
const MAX_HEAD_BYTES = 65_536;

/** How a stand-in target handles one request. */
export type Behaviour = (request: IncomingMessage, response: ServerResponse) => void;

/** A stand-in target that records the requests that it runs. */
export class RecordingTarget {
  /** Identifiers of the requests that it ran, in order. */
  readonly ran: string[] = [];

  /** Bodies of the requests that it answered itself, in order; a `behaviour` bypasses them. */
  readonly bodies: Buffer[] = [];

  /** Headers of the requests that it ran, in order. */
  readonly seenHeaders: http.IncomingHttpHeaders[] = [];

  /** Identifiers of the requests whose connection closed before they were answered. */
  readonly cancelled: string[] = [];

  /** Number of connections opened to it. */
  connections = 0;

  /** Number of health checks that it answered. */
  probes = 0;

  /** Called on each health check. */
  onProbe: (() => void) | undefined;

  /** The slowdown that it reports in the `Server-Load` header. */
  slowdown = 100;

  /**
   * How long it is still cold, in milliseconds, as reported in health answers; not reported unless
   * set.
   */
  coldLeft: number | undefined;

  /** The rate that it advertises in answers to calls; not advertised unless set. */
  advertisedRate: string | string[] | undefined;

  /**
   * Its draining header in answers to calls (`draining`) and in health answers (`healthDraining`);
   * not sent unless set.
   */
  draining: string | undefined;

  healthDraining: string | undefined;

  /** Its calls running and waiting, as it reports them in the `Server-Load` header. */
  running = 0;

  waiting = 0;

  /** Handles the requests that it runs, in place of a successful answer. */
  behaviour: Behaviour | undefined;

  /** How often its process has crashed, losing all the requests that it ran. */
  crashes = 0;

  readonly #sockets = new Set<Socket>();

  readonly #server = http.createServer({ maxHeaderSize: MAX_HEAD_BYTES }, (request, response) => {
    this.#handleRequest(request, response).catch(() => response.destroy());
  });

  address: Address = { host: '127.0.0.1', port: 0 };

  constructor(readonly incarnation: string) {}

  /** Starts listening on a free loopback port. */
  async start(): Promise<this> {
    this.#server.maxHeadersCount = 0;
    this.#server.on('connection', (socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = { host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port };
    return this;
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Ends as a crashing process does: its connections are reset and nothing listens on its port. */
  crash(): void {
    this.crashes += 1;
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Starts again at the same address, without any state of the former process. */
  async restart(): Promise<void> {
    const { host, port } = this.address;
    await new Promise<void>((resolve) => {
      this.#server.listen(port, host, resolve);
    });
  }

  /** Whether its process runs. */
  get isListening(): boolean {
    return this.#server.listening;
  }

  /** Answers a request successfully. */
  answer(request: IncomingMessage, response: ServerResponse, body = this.incarnation): void {
    response.writeHead(200, {
      ...{ 'Attempt-Id': request.headers['attempt-id'], 'Server-Signature': 'sig.1' },
      ...{ 'Server-Load': this.#describeLoad(), 'Content-Length': Buffer.byteLength(body) },
      ...(this.advertisedRate === undefined ? {} : { 'Server-Limit': this.advertisedRate }),
      ...this.#describeDraining(),
    });
    response.end(body);
  }

  /** Answers that it did not run a request; `retryAfter` asks for a back-off, in seconds. */
  reject(response: ServerResponse, retryAfter?: string): void {
    response.writeHead(503, {
      ...{ 'Not-Executed': '1', ...this.#describeDraining() },
      ...(retryAfter === undefined ? {} : { 'Retry-After': retryAfter }),
    });
    response.end();
  }

  #describeLoad(): string {
    return `${this.running},${this.waiting},4,${this.slowdown}`;
  }

  #describeDraining(): Readonly<Record<string, string>> {
    return this.draining === undefined ? {} : { 'Server-Leaving': this.draining };
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/health') {
      this.probes += 1;
      this.onProbe?.();
      response.writeHead(200, {
        ...{ 'Instance-Id': this.incarnation, 'Server-Load': this.#describeLoad() },
        ...(this.coldLeft === undefined ? {} : { 'Warmup-Ms': this.coldLeft }),
        ...(this.healthDraining === undefined ? {} : { 'Server-Leaving': this.healthDraining }),
      });
      response.end();
      return;
    }
    if (request.headers['expect-instance'] !== this.incarnation) {
      response.writeHead(421, { 'Instance-Id': this.incarnation }).end();
      return;
    }
    const id = String(request.headers['attempt-id']);
    this.ran.push(id);
    this.seenHeaders.push(request.headers);
    response.on('close', () => {
      if (!response.writableFinished) this.cancelled.push(id);
    });
    if (this.behaviour !== undefined) {
      this.behaviour(request, response);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    this.bodies.push(Buffer.concat(chunks));
    this.answer(request, response);
  }
}
