/** The HTTP endpoints besides the callers' own: lookup of addresses, readiness, metrics. */
import type { Server } from 'node:http';
import { type Address, parseRequestUrl } from '../kernel/index.js';
import type { GatewayListener } from '../overload/index.js';
import { type ServerProtection, createGuardedServer } from '../proxy/guarded-server.js';
import {
  PATHS,
  type ResolveQuery,
  encodeResolveResponse,
  parseResolveQuery,
} from '../platform/index.js';

/** One of these endpoints: where it listens, and how it is protected from its clients. */
export interface EndpointOptions {
  readonly address: Address;
  readonly protection: ServerProtection<GatewayListener>;
}

/** Starts a listener that computes each answer synchronously from the path and query. */
function serveAnswers(
  name: GatewayListener,
  { address, protection }: EndpointOptions,
  createAnswer: (url: URL) => { readonly status: number; readonly body: string },
): Promise<Server> {
  const server = createGuardedServer({
    ...{ name, protection },
    handle: (request, response) => {
      const url = parseRequestUrl(request.url);
      const { status, body } = url === undefined ? BAD_REQUEST : createAnswer(url);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
    },
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: address.host, port: address.port, backlog: 2048 }, () => resolve(server));
  });
}

const METRICS_PATH = '/metrics';

const BAD_REQUEST = { status: 400, body: '{}' };
const UNAVAILABLE = { status: 503, body: '{}' };
const NOT_FOUND = { status: 404, body: '{}' };

/** Serves lookups: the addresses that a caller should use, and for how many milliseconds. */
export function serveDirectory(
  options: EndpointOptions,
  listAddresses: (query: ResolveQuery) => readonly string[],
  readTtl: () => number,
): Promise<Server> {
  return serveAnswers('directory', options, (url) => {
    if (url.pathname !== PATHS.resolve) return NOT_FOUND;
    const addresses = listAddresses(parseResolveQuery(url.searchParams));
    if (addresses.length === 0) return UNAVAILABLE;
    return { status: 200, body: encodeResolveResponse(addresses, readTtl()) };
  });
}

/** Serves the platform's readiness check of this daemon. */
export function serveReadiness(options: EndpointOptions, isReady: () => boolean): Promise<Server> {
  return serveAnswers('readiness', options, (url) => {
    if (url.pathname !== PATHS.ready) return NOT_FOUND;
    return isReady() ? { status: 200, body: '{}' } : UNAVAILABLE;
  });
}

/** Serves the metrics as text. */
export function serveMetrics(options: EndpointOptions, format: () => string): Promise<Server> {
  return serveAnswers('metrics', options, (url) =>
    url.pathname === METRICS_PATH ? { status: 200, body: format() } : NOT_FOUND,
  );
}
