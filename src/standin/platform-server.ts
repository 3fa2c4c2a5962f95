/** The HTTP front of the platform stand-in. */
import http from 'node:http';
import { type Address, type Clock, formatAddress } from '../kernel/index.js';
import type { Vm } from '../platform/index.js';
import { type Fault, FAULT_KINDS, Store, type StoreRates } from './store.js';

/** A running platform stand-in. */
export interface PlatformServer {
  readonly address: Address;
  readonly store: Store;
  close(): void;
}

interface Answer {
  readonly status: number;
  readonly body?: unknown;
}

type Handled = Answer | 'drop';

const MAX_BODY = 2_000_000;

async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY) break;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

const WRITE_STATUS = { written: 200, conflict: 409, refused: 400, unknown: 500 } as const;

function handleKey(store: Store, request: http.IncomingMessage, url: URL, body: string): Handled {
  const key = decodeURIComponent(url.pathname.slice('/kv/'.length));
  if (request.method === 'GET') {
    if (!store.admit('read')) return { status: 429 };
    const result = store.read(key);
    return result.kind === 'found' ? { status: 200, body: result.item } : { status: 404 };
  }
  if (!store.admit('write')) return { status: 429 };
  const expect = Number(url.searchParams.get('expect'));
  const lease = url.searchParams.get('lease') ?? undefined;
  const result =
    request.method === 'PUT'
      ? store.swap({ key, value: body, expect, lease })
      : store.remove({ key, expect });
  if (store.fault.kind === 'lose-write-replies') return 'drop';
  return { status: WRITE_STATUS[result.kind], body: result };
}

function handleLease(store: Store, request: http.IncomingMessage, url: URL): Answer {
  if (!store.admit('write')) return { status: 429 };
  const result =
    request.method === 'POST'
      ? store.grantLease(Number(url.searchParams.get('ttl')))
      : store.renewLease(decodeURIComponent(url.pathname.slice('/leases/'.length)));
  return result.kind === 'held' ? { status: 200, body: result } : { status: 404 };
}

async function handleWatch(store: Store, url: URL, signal: AbortSignal): Promise<Handled> {
  if (!store.admit('read')) return { status: 429 };
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = Number(url.searchParams.get('after'));
  const wait = Number(url.searchParams.get('wait'));
  const result = await store.watch(prefix, after, { wait, signal });
  if (result.kind === 'changed') return { status: 200, body: result };
  return result.kind === 'quiet' ? { status: 204 } : 'drop';
}

function handleControl(
  store: Store,
  request: http.IncomingMessage,
  url: URL,
  body: string,
): Answer {
  if (url.pathname === '/control/fault') {
    const fault = JSON.parse(body) as Fault;
    if (!FAULT_KINDS.includes(fault.kind)) return { status: 400, body: { expected: FAULT_KINDS } };
    store.setFault(fault);
    return { status: 204 };
  }
  if (url.pathname === '/control/counts') return { status: 200, body: store.counts };
  if (request.method === 'PUT') store.putVm(JSON.parse(body) as Vm);
  else store.removeVm(url.searchParams.get('address') ?? '');
  return { status: 204 };
}

/** Starts the platform stand-in. `PUT /control/fault` sets its fault, `PUT /control/vm` a VM. */
export function startPlatformServer(
  address: Address,
  clock: Clock,
  rates?: StoreRates,
): Promise<PlatformServer> {
  const store = new Store(clock, rates);

  async function handle(request: http.IncomingMessage, signal: AbortSignal): Promise<Handled> {
    const url = new URL(request.url ?? '/', `http://${formatAddress(address)}`);
    const body = await readBody(request);
    if (url.pathname.startsWith('/control/')) return handleControl(store, request, url, body);
    if (store.fault.kind === 'down') return 'drop';
    if (store.fault.kind === 'slow') await clock.sleep(store.fault.delay);
    if (url.pathname === '/watch') return handleWatch(store, url, signal);
    if (url.pathname.startsWith('/leases')) return handleLease(store, request, url);
    if (url.pathname.startsWith('/kv/')) return handleKey(store, request, url, body);
    if (!store.admit('read')) return { status: 429 };
    if (url.pathname === '/vms') return { status: 200, body: store.listVms() };
    return { status: 200, body: store.range(url.searchParams.get('prefix') ?? '') };
  }

  const server = http.createServer(async (request, response) => {
    const closed = new AbortController();
    response.on('close', () => closed.abort());
    const answer = await handle(request, closed.signal);
    if (answer === 'drop') {
      response.destroy();
      return;
    }
    const text = answer.body === undefined ? '' : JSON.stringify(answer.body);
    response.writeHead(answer.status, { 'content-type': 'application/json' }).end(text);
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      const { port } = server.address() as { readonly port: number };
      const close = () => {
        server.close();
        server.closeAllConnections();
      };
      resolve({ address: { host: address.host, port }, store, close });
    });
  });
}
