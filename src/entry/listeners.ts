/** The two HTTP listeners of an entry: one for callers, one for calls relayed by other entries. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type Kernel,
  type KeyPair,
  clockService,
  logService,
  matchesSecret,
  metricsService,
  networkService,
} from '../kernel/index.js';
import { type EntryListener, computeEntryLimits } from '../overload/index.js';
import { type ServerProtection, createProtection } from '../proxy/guarded-server.js';
import { type HttpListener, RELAY_HEADER, startHttpListener } from '../proxy/index.js';
import type { EntrySettings } from '../settings/index.js';
import { DISCOVERY_PATH, answerDiscovery } from './discovery.js';
import type { ServiceRuntime } from './service-runtime.js';

/** Handlers behind the listeners. */
export interface ListenerHandlers {
  /** Handles a call; `relayed` says that another entry sent it. */
  readonly serveCall: (
    request: IncomingMessage,
    response: ServerResponse,
    relayed: boolean,
  ) => void;
  /** Finds a service for a discovery request. */
  readonly findService: (name: string) => ServiceRuntime | undefined;
}

/** Options of the listeners; `keys` makes the one for callers use TLS. */
export interface ListenerOptions extends ListenerHandlers {
  readonly keys?: KeyPair;
  readonly protection: ServerProtection<EntryListener>;
}

/** The running listeners. */
export interface EntryListeners {
  readonly callers: HttpListener;
  readonly relay: HttpListener;
}

const FORBIDDEN = 403;
const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Creates what protects the listeners of an entry from their clients. */
export function createEntryProtection(
  kernel: Kernel,
  { limits }: EntrySettings,
): ServerProtection<EntryListener> {
  const log = kernel.find(logService);
  const metrics = kernel.find(metricsService);
  return createProtection(computeEntryLimits(limits.memory, limits.max_connections), {
    clock: kernel.find(clockService),
    ...{ scheduleAfterIteration: setImmediate, isAccepting: () => false },
    onClose: (listener, reason) => {
      metrics.count('client.closed', 1, { listener, reason });
      log.info('client.closed', { listener, reason });
    },
  });
}

/** Starts both listeners. */
export async function startListeners(
  kernel: Kernel,
  settings: EntrySettings,
  { serveCall, findService, keys, protection }: ListenerOptions,
): Promise<EntryListeners> {
  const { limits, security, entry } = settings;
  const log = kernel.find(logService);
  const metrics = kernel.find(metricsService);
  const clock = kernel.find(clockService);
  const refuse = (detail: string) => {
    metrics.count('door.refused');
    log.debug('door.refused', { detail });
  };
  const shared = {
    protection,
    ...{ network: kernel.find(networkService), clock },
    ...{ maxHeaderBytes: limits.max_header_bytes, headerTimeout: limits.header_timeout },
    bodyTimeout: limits.body_timeout,
    onUnreadBody: (outcome: string) => metrics.count('body.unread', 1, { outcome }),
    onRefused: refuse,
  };

  function serveDiscovery(url: string, response: ServerResponse): void {
    const name = new URL(url, 'http://entry').searchParams.get('service') ?? '';
    const runtime = findService(name);
    const answer = runtime && answerDiscovery(runtime, limits.answer_ttl);
    const found = answer !== undefined && answer.entries.length > 0;
    const errorStatus = answer === undefined ? NOT_FOUND : UNAVAILABLE;
    const status = found ? OK : errorStatus;
    const body = JSON.stringify(answer ?? { status, title: `No service "${name}"` });
    response.writeHead(status, {
      'content-type': answer === undefined ? 'application/problem+json' : 'application/json',
      'cache-control': `max-age=${Math.floor(limits.answer_ttl / 1000)}`,
    });
    response.end(body);
  }

  function serveCaller(request: IncomingMessage, response: ServerResponse): void {
    const url = request.url ?? '/';
    if (url.startsWith(DISCOVERY_PATH)) serveDiscovery(url, response);
    else serveCall(request, response, false);
  }

  function serveRelay(request: IncomingMessage, response: ServerResponse): void {
    const secret = String(request.headers[RELAY_HEADER] ?? '');
    if (matchesSecret(secret, security.peer_secret)) serveCall(request, response, true);
    else response.writeHead(FORBIDDEN).end();
  }

  const relay = await startHttpListener({
    ...{ ...shared, name: 'relay', address: entry.relay, handle: serveRelay },
  });
  const callers = await startHttpListener({
    ...{ ...shared, name: 'callers', address: entry.callers, handle: serveCaller, keys },
  });
  return { callers, relay };
}
