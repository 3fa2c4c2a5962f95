/**
 * The HTTP server of the stand-in for the platform's store. It speaks the platform's key-value
 * protocol and produces the faults that the platform's documentation describes.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { type Address, type Clock, createSystemClock } from '../kernel/index.js';
import type { Vm, WriteResult } from '../platform/index.js';
import { FAULT_KINDS, type Fault, Store, type StoreChange, type StoreItem } from './store.js';

interface Txn {
  readonly expected_revision: readonly { readonly key_file: string; readonly revision: number }[];
  readonly set_keys: readonly {
    readonly key_file: string;
    readonly value: string;
    readonly lease: number;
  }[];
  readonly remove: readonly string[];
}

/** A reply: a status and a body, a reset of the connection, or no reply at all. */
type Reply = readonly [status: number, body: object] | 'reset' | 'nothing';

/** Items in a page; the real store returns some hundreds. */
const PAGE_ITEMS = 50;

const MAX_WATCH_WAIT_MS = 30_000;
const MIN_LEASE_TTL_MS = 1000;

/** Prefixes of the keys that only the operators and the targets may write. */
const READ_ONLY_PREFIXES = ['op/', 'servers/'];

const UNAVAILABLE: Reply = [503, {}];
const TOO_MANY_REQUESTS: Reply = [429, {}];
const NOT_FOUND: Reply = [404, {}];

function encodeItem(item: StoreItem): object {
  return {
    ...{ key_file: item.key, value: Buffer.from(item.value).toString('base64') },
    ...{ revision: item.version, create_revision: item.createdAt, lease: Number(item.lease) },
  };
}

function encodeChange({ key, version, item }: StoreChange): object {
  if (item !== undefined) return encodeItem(item);
  return { key_file: key, revision: version, removed: true };
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** A stand-in for the platform's store, reached over HTTP. */
export class KvServer {
  /** The stored items and the fault in force. */
  readonly store: Store;

  readonly #sockets = new Set<Socket>();

  #address: Address = { host: '127.0.0.1', port: 0 };

  readonly #server = http.createServer((request, response) => {
    this.#handleRequest(request, response).catch(() => response.destroy());
  });

  /** Number of calls received, by path. */
  readonly calls: Record<string, number> = {};

  constructor(private readonly clock: Clock = createSystemClock()) {
    this.store = new Store(clock);
  }

  /**
   * Starts listening, on a free loopback port unless an address is given; rejects if it can't
   * listen.
   */
  start(address: Address = { host: '127.0.0.1', port: 0 }): Promise<Address> {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address.port, address.host, () => {
        const { port } = this.#server.address() as AddressInfo;
        this.#address = { host: address.host, port };
        resolve(this.#address);
      });
    });
  }

  /** The address that it listens on; port 0 before the start. */
  get address(): Address {
    return this.#address;
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.#server.close();
    this.cutConnections();
  }

  /** Closes every connection, including those of pending watches. */
  cutConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** The fault that applies to every call. */
  get fault(): Fault {
    return this.store.fault;
  }

  set fault(fault: Fault) {
    this.store.setFault(fault);
  }

  /** Writes an item as the operators or a target would, and returns its version. */
  put(key: string, text: string): number {
    return this.store.put(key, text);
  }

  /** Removes an item, as a target that ends or a lease that lapses does. */
  remove(key: string): void {
    this.store.drop(key);
  }

  /** Reads an item's text; undefined when there is no such item. */
  get(key: string): string | undefined {
    const result = this.store.read(key);
    return result.kind === 'found' ? result.item.value : undefined;
  }

  /** Drops the history, so that older watches are answered with 410 and have to read again. */
  compact(): void {
    this.store.compact();
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls[url.pathname] = (this.calls[url.pathname] ?? 0) + 1;
    const closed = new AbortController();
    response.on('close', () => closed.abort());
    const body = await readBody(request);
    const answer = url.pathname.startsWith('/control/')
      ? this.#handleControl(request.method ?? 'GET', url, body)
      : await this.#serveUnderFault(request.method ?? 'GET', url, { body, signal: closed.signal });
    if (answer === 'nothing' || response.destroyed) return;
    if (answer === 'reset') {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer[0], { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer[1]));
  }

  /** Serves the control paths, by which demos and tests in another process set faults and VMs. */
  #handleControl(method: string, url: URL, body: string): Reply {
    if (url.pathname === '/control/counts') return [200, this.store.counts];
    if (url.pathname === '/control/fault') {
      const fault = JSON.parse(body) as Fault;
      if (!FAULT_KINDS.includes(fault.kind)) return [400, { expected: FAULT_KINDS }];
      this.store.setFault(fault);
    } else if (method === 'PUT') this.store.putVm(JSON.parse(body) as Vm);
    else this.store.removeVm(url.searchParams.get('address') ?? '');
    return [200, {}];
  }

  async #serveUnderFault(
    method: string,
    url: URL,
    call: { readonly body: string; readonly signal: AbortSignal },
  ): Promise<Reply> {
    const { fault } = this;
    switch (fault.kind) {
      case 'down':
        return 'reset';
      case 'silent':
        return 'nothing';
      case 'busy':
        return UNAVAILABLE;
      case 'many':
        return TOO_MANY_REQUESTS;
      case 'slow':
        await this.clock.sleep(fault.delay);
        return this.#serve(method, url, call);
      case 'lose-write-replies':
        if (method === 'GET') return this.#serve(method, url, call);
        this.clock.schedule(fault.after ?? 0, () => {
          this.#write(method, url, call.body);
        });
        return 'nothing';
      case 'none':
      case 'skip-watches':
      case 'close-watches':
      case 'stale':
        return this.#serve(method, url, call);
      default:
        return fault satisfies never;
    }
  }

  #serve(
    method: string,
    url: URL,
    call: { readonly body: string; readonly signal: AbortSignal },
  ): Reply | Promise<Reply> {
    if (method !== 'GET') return this.#write(method, url, call.body);
    const query = url.searchParams;
    const isStale = query.get('allow_stale') === '1';
    if (!isStale && !this.store.admit('read')) return TOO_MANY_REQUESTS;
    switch (url.pathname) {
      case '/kv-key': {
        const result = this.store.read(query.get('key_file') ?? '', isStale);
        if (result.kind !== 'found') return NOT_FOUND;
        const item = encodeItem(result.item as StoreItem);
        return [200, { ...item, store_revision: this.store.version }];
      }
      case '/kv-range':
        return this.#serveRange(query, isStale);
      case '/kv-watch':
        return this.#serveWatch(query, call.signal);
      default:
        return NOT_FOUND;
    }
  }

  #serveRange(query: URLSearchParams, isStale: boolean): Reply {
    const after = query.get('after') ?? '';
    const { items, version } = this.store.range(query.get('path_prefix') ?? '', isStale);
    const remaining = items.filter(({ key }) => key > after);
    const page = remaining.slice(0, PAGE_ITEMS).map(encodeItem);
    return [
      200,
      { items: page, truncated: remaining.length > PAGE_ITEMS, store_revision: version },
    ];
  }

  async #serveWatch(query: URLSearchParams, signal: AbortSignal): Promise<Reply> {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const wait = Math.min(MAX_WATCH_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    const result = await this.store.watch(prefix, after, { wait, signal });
    const changes = result.kind === 'changed' ? this.store.listChanges(prefix, after) : [];
    if (result.kind === 'gap' || changes === undefined) return [410, {}];
    if (result.kind === 'unavailable') return 'reset';
    return [200, { events: changes.map(encodeChange), store_revision: this.store.version }];
  }

  #write(method: string, url: URL, body: string): Reply {
    const [, call, id = ''] = url.pathname.split('/');
    const isRenewal = call === 'kv-keep';
    if (!this.store.admit(isRenewal ? 'renewal' : 'write')) return TOO_MANY_REQUESTS;
    if (call === 'kv-txn') return this.#commit(JSON.parse(body) as Txn);
    if (call === 'kv-lease-end' && method === 'DELETE') {
      this.store.lapseLease(id);
      return [200, {}];
    }
    if (call !== 'kv-lease' && !isRenewal) return NOT_FOUND;
    const lease = isRenewal
      ? this.store.renewLease(id)
      : this.store.grantLease(
          Math.max(MIN_LEASE_TTL_MS, (JSON.parse(body) as { ttl_ms: number }).ttl_ms),
        );
    if (lease.kind !== 'held') return NOT_FOUND;
    return [200, { lease: Number(lease.lease), ttl_ms: lease.ttl }];
  }

  /** Commits all writes or none: every condition is checked before anything is written. */
  #commit(txn: Txn): Reply {
    const keys = [...txn.set_keys.map(({ key_file: key }) => key), ...txn.remove];
    if (keys.some((key) => READ_ONLY_PREFIXES.some((prefix) => key.startsWith(prefix))))
      return [403, {}];
    const read = (key: string) => this.store.read(key);
    const areConditionsMet = txn.expected_revision.every(({ key_file: key, revision }) => {
      const result = read(key);
      return (result.kind === 'found' ? result.item.version : 0) === revision;
    });
    if (!areConditionsMet) {
      const found = txn.expected_revision.map(({ key_file: key }) => read(key));
      const items = found.flatMap((result) => (result.kind === 'found' ? [result.item] : []));
      return [412, { items: items.map((item) => encodeItem(item as StoreItem)) }];
    }
    for (const { key_file: key, value, lease } of txn.set_keys) {
      const result = this.#writeItem(key, value, lease);
      if (result.kind !== 'written') return [result.kind === 'refused' ? 404 : 412, { items: [] }];
    }
    for (const key of txn.remove) this.store.drop(key);
    return [200, { revision: this.store.version }];
  }

  #writeItem(key: string, value: string, lease: number): WriteResult {
    const current = this.store.read(key);
    const expect = current.kind === 'found' ? current.item.version : 0;
    const text = Buffer.from(value, 'base64').toString('utf8');
    return this.store.swap({ key, value: text, expect, lease: lease === 0 ? '' : String(lease) });
  }
}
