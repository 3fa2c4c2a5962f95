/** The adapter that speaks the platform's HTTP protocol, described in `docs/design/platform.md`. */
import { type Dispatcher, Pool } from 'undici';
import { type Address, type Network, formatAddress } from '../kernel/index.js';
import type {
  LeaseResult,
  Platform,
  RangeResult,
  ReadResult,
  Stored,
  Unavailable,
  Vm,
  VmsResult,
  WatchResult,
  WriteResult,
} from './platform.js';
import { createConnector } from './connector.js';

/** Where the platform is and how long to wait for it. */
export interface HttpPlatformOptions {
  readonly address: Address;
  /** Longest wait for one call, in milliseconds; a waiting watch has {@link WATCH_WAIT} more. */
  readonly timeout: number;
  readonly network: Network;
}

/** How long the service holds a watch open while nothing changes, in milliseconds. */
export const WATCH_WAIT = 20_000;

const MAX_CALLS = 16;
const MAX_WATCHES = 4;

const OK = 200;
const QUIET = 204;
const ABSENT = 404;
const CONFLICT = 409;
const GONE = 410;

interface Reply {
  readonly kind: 'reply';
  readonly status: number;
  readonly body: unknown;
}

/** The call failed; `sent` tells whether the service may have received it. */
interface Failure {
  readonly kind: 'failure';
  readonly sent: boolean;
  readonly reason: string;
}

type Exchange = Reply | Failure;

interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string;
  readonly signal?: AbortSignal;
  readonly wait?: number;
}

const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function readCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : String(error);
}

function describeUnavailable(exchange: Exchange): Unavailable {
  const reason = exchange.kind === 'failure' ? exchange.reason : `status ${exchange.status}`;
  return { kind: 'unavailable', reason };
}

function interpretWrite(exchange: Exchange): WriteResult {
  if (exchange.kind === 'failure') {
    return { kind: exchange.sent ? 'unknown' : 'refused', reason: exchange.reason };
  }
  const body = exchange.body as { readonly version: number; readonly current?: Stored };
  if (exchange.status === OK) return { kind: 'written', version: body.version };
  if (exchange.status === CONFLICT) return { kind: 'conflict', current: body.current };
  return { kind: 'refused', reason: `status ${exchange.status}` };
}

function interpretLease(exchange: Exchange): LeaseResult {
  if (exchange.kind === 'failure') return describeUnavailable(exchange);
  if (exchange.status === ABSENT) return { kind: 'lapsed' };
  if (exchange.status !== OK) return describeUnavailable(exchange);
  const { lease, ttl } = exchange.body as { readonly lease: string; readonly ttl: number };
  return { kind: 'held', lease, ttl };
}

/** Creates the client of a platform service that speaks HTTP. */
export function createHttpPlatform(options: HttpPlatformOptions): Platform & { close(): void } {
  const origin = `http://${formatAddress(options.address)}`;
  // Watches wait for long, so they have connections apart from the short calls.
  const settings = {
    connect: createConnector(options.network, options.address, options.timeout),
    headersTimeout: 0,
    bodyTimeout: 0,
  };
  // One request at a time on a connection: a pipelined write could be sent twice by the library.
  const client = new Pool(origin, { ...settings, connections: MAX_CALLS, pipelining: 1 });
  const watcher = new Pool(origin, { ...settings, connections: MAX_WATCHES, pipelining: 1 });

  async function exchange(via: Pool, call: Call): Promise<Exchange> {
    const limit = AbortSignal.timeout(options.timeout + (call.wait ?? 0));
    const signal = call.signal === undefined ? limit : AbortSignal.any([limit, call.signal]);
    try {
      const { statusCode, body } = await via.request({
        method: call.method,
        path: call.path,
        body: call.body ?? null,
        signal,
        idempotent: false,
      });
      const text = await body.text();
      return {
        kind: 'reply',
        status: statusCode,
        body: text === '' ? undefined : JSON.parse(text),
      };
    } catch (error) {
      const code = readCode(error);
      return { kind: 'failure', sent: !UNSENT_CODES.has(code), reason: code };
    }
  }

  const pathOf = (key: string) => `/kv/${encodeURIComponent(key)}`;

  return {
    async read(key): Promise<ReadResult> {
      const reply = await exchange(client, { method: 'GET', path: pathOf(key) });
      if (reply.kind === 'failure') return describeUnavailable(reply);
      if (reply.status === ABSENT) return { kind: 'absent' };
      if (reply.status !== OK) return describeUnavailable(reply);
      return { kind: 'found', item: reply.body as Stored };
    },
    async range(prefix): Promise<RangeResult> {
      const path = `/kv?prefix=${encodeURIComponent(prefix)}`;
      const reply = await exchange(client, { method: 'GET', path });
      if (reply.kind === 'failure' || reply.status !== OK) return describeUnavailable(reply);
      const body = reply.body as { readonly items: readonly Stored[]; readonly version: number };
      return { kind: 'items', ...body };
    },
    async swap({ key, value, expect, lease }): Promise<WriteResult> {
      const query = lease === undefined ? '' : `&lease=${encodeURIComponent(lease)}`;
      const path = `${pathOf(key)}?expect=${expect}${query}`;
      return interpretWrite(await exchange(client, { method: 'PUT', path, body: value }));
    },
    async remove({ key, expect }): Promise<WriteResult> {
      const path = `${pathOf(key)}?expect=${expect}`;
      return interpretWrite(await exchange(client, { method: 'DELETE', path }));
    },
    async grantLease(ttl): Promise<LeaseResult> {
      return interpretLease(await exchange(client, { method: 'POST', path: `/leases?ttl=${ttl}` }));
    },
    async renewLease(lease): Promise<LeaseResult> {
      const path = `/leases/${encodeURIComponent(lease)}`;
      return interpretLease(await exchange(client, { method: 'PUT', path }));
    },
    async watch(prefix, after, signal): Promise<WatchResult> {
      const path = `/watch?prefix=${encodeURIComponent(prefix)}&after=${after}&wait=${WATCH_WAIT}`;
      const reply = await exchange(watcher, { method: 'GET', path, signal, wait: WATCH_WAIT });
      if (reply.kind === 'failure') return describeUnavailable(reply);
      if (reply.status === QUIET) return { kind: 'quiet' };
      if (reply.status === GONE) return { kind: 'gap' };
      if (reply.status !== OK) return describeUnavailable(reply);
      return { kind: 'changed', version: (reply.body as { readonly version: number }).version };
    },
    async vms(): Promise<VmsResult> {
      const reply = await exchange(client, { method: 'GET', path: '/vms' });
      if (reply.kind === 'failure' || reply.status !== OK) return describeUnavailable(reply);
      return { kind: 'vms', vms: reply.body as readonly Vm[] };
    },
    close() {
      client.destroy().catch(() => undefined);
      watcher.destroy().catch(() => undefined);
    },
  };
}
