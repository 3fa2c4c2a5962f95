/** A stand-in for the users' store, speaking its protocol, with the faults that its page tells of. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Address } from '../kernel/index.js';

/** How the store misbehaves. */
export type KvFault =
  | { readonly kind: 'none' }
  /** No call is answered. */
  | { readonly kind: 'silent' }
  /** 503: nothing was done. */
  | { readonly kind: 'busy' }
  /** 429: more calls than agreed. */
  | { readonly kind: 'many' }
  | { readonly kind: 'reset' }
  | { readonly kind: 'slow'; readonly delay: number }
  /** Writes are done, after a while, and never answered. */
  | { readonly kind: 'lost'; readonly after: number };

interface Item {
  readonly key_file: string;
  readonly value: string;
  readonly revision: number;
  readonly create_revision: number;
  readonly lease: number;
}

interface Removal {
  readonly key_file: string;
  readonly revision: number;
  readonly removed: true;
}

interface Txn {
  readonly expected_revision: readonly { readonly key_file: string; readonly revision: number }[];
  readonly set_keys: readonly {
    readonly key_file: string;
    readonly value: string;
    readonly lease: number;
  }[];
  readonly remove: readonly string[];
}

interface Waiting {
  readonly prefix: string;
  readonly after: number;
  readonly answer: () => void;
}

/** Items in a page; the users' store gives some hundreds. */
const PAGE = 50;

/** The stand-in. */
export class KvStandin {
  readonly #items = new Map<string, Item>();

  #history: readonly (Item | Removal)[] = [];

  #historyFloor = 0;

  #revision = 1;

  #leases = 0;

  readonly #waiting = new Set<Waiting>();

  readonly #sockets = new Set<Socket>();

  readonly #server = http.createServer((request, response) => {
    this.#take(request, response).catch(() => response.destroy());
  });

  /** What goes wrong with every call from now on. */
  fault: KvFault = { kind: 'none' };

  /** Calls received, by path. */
  readonly calls: Record<string, number> = {};

  /** Starts on a free port of the loopback interface. */
  start(): Promise<Address> {
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve({ host: '127.0.0.1', port });
      });
    });
  }

  /** Stops and closes every connection. */
  stop(): void {
    this.#server.close();
    this.cutConnections();
  }

  /** Closes every connection, watches that wait included. */
  cutConnections(): void {
    this.#waiting.clear();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Writes an item as the operator or a target would. */
  put(key: string, text: string): number {
    this.#revision += 1;
    const revision = this.#revision;
    const before = this.#items.get(key);
    const item: Item = {
      ...{ key_file: key, value: Buffer.from(text).toString('base64'), revision, lease: 0 },
      create_revision: before?.create_revision ?? revision,
    };
    this.#items.set(key, item);
    this.#record(item);
    return revision;
  }

  /** Removes an item, as a target that ends or a lease that lapses does. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key_file: key, revision: this.#revision, removed: true });
  }

  /** Reads an item's text. */
  get(key: string): string | undefined {
    const value = this.#items.get(key)?.value;
    return value === undefined ? undefined : Buffer.from(value, 'base64').toString('utf8');
  }

  /** Drops the history, so that older watches must read anew. */
  compact(): void {
    this.#history = [];
    this.#historyFloor = this.#revision;
  }

  #record(change: Item | Removal): void {
    this.#history = [...this.#history, change];
    for (const waiting of [...this.#waiting]) {
      if (change.key_file.startsWith(waiting.prefix)) waiting.answer();
    }
  }

  async #take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls[url.pathname] = (this.calls[url.pathname] ?? 0) + 1;
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString('utf8');
    const { fault } = this;
    switch (fault.kind) {
      case 'silent':
        return;
      case 'busy':
        this.#answer(response, 503, {});
        return;
      case 'many':
        this.#answer(response, 429, {});
        return;
      case 'reset':
        request.socket.destroy();
        return;
      case 'slow':
        setTimeout(() => this.#serve(url, body, response), fault.delay);
        return;
      case 'lost':
        if (request.method === 'GET') this.#serve(url, body, response);
        else setTimeout(() => this.#commit(JSON.parse(body) as Txn), fault.after);
        return;
      case 'none':
        this.#serve(url, body, response);
        return;
      default:
        fault satisfies never;
    }
  }

  #serve(url: URL, body: string, response: ServerResponse): void {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/kv-key': {
        const item = this.#items.get(query.get('key_file') ?? '');
        if (item === undefined) this.#answer(response, 404, {});
        else this.#answer(response, 200, { ...item, store_revision: this.#revision });
        return;
      }
      case '/kv-range':
        this.#serveRange(query, response);
        return;
      case '/kv-watch':
        this.#serveWatch(query, response);
        return;
      case '/kv-txn': {
        const [status, answer] = this.#commit(JSON.parse(body) as Txn);
        this.#answer(response, status, answer);
        return;
      }
      case '/kv-lease':
        this.#leases += 1;
        this.#answer(response, 200, { lease: this.#leases, ttl_ms: 3000 });
        return;
      default:
        this.#answer(response, 404, {});
    }
  }

  #serveRange(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key_file: key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key_file < b.key_file ? -1 : 1));
    const items = found.slice(0, PAGE);
    this.#answer(response, 200, {
      ...{ items, truncated: found.length > PAGE, store_revision: this.#revision },
    });
  }

  #serveWatch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    if (after < this.#historyFloor) {
      this.#answer(response, 410, {});
      return;
    }
    const listEvents = () =>
      this.#history.filter(
        (change) => change.revision > after && change.key_file.startsWith(prefix),
      );
    const answer = () => {
      this.#waiting.delete(waiting);
      clearTimeout(timer);
      this.#answer(response, 200, { events: listEvents(), store_revision: this.#revision });
    };
    const waiting: Waiting = { prefix, after, answer };
    const timer = setTimeout(answer, Number(query.get('wait_ms') ?? 0));
    if (listEvents().length > 0) answer();
    else this.#waiting.add(waiting);
  }

  #commit(txn: Txn): readonly [number, object] {
    for (const { key_file: key, revision } of txn.expected_revision) {
      if ((this.#items.get(key)?.revision ?? 0) !== revision) {
        const items = txn.expected_revision.flatMap((row) => this.#items.get(row.key_file) ?? []);
        return [412, { items }];
      }
    }
    for (const { key_file: key, value } of txn.set_keys) {
      this.put(key, Buffer.from(value, 'base64').toString('utf8'));
    }
    for (const key of txn.remove) this.remove(key);
    return [200, { revision: this.#revision }];
  }

  #answer(response: ServerResponse, status: number, body: object): void {
    if (response.destroyed || response.writableEnded) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
