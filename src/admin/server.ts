/** The administration listener: HTTP for operators, who prove who they are on each request. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type Address,
  type Kernel,
  type KeyPair,
  type Listener,
  clockService,
  logService,
  networkService,
  randomService,
} from '../kernel/index.js';
import type { Operator } from '../config/index.js';
import type { Entry } from '../entry/index.js';
import { BodyBuffer, findRequestMemory } from '../overload/index.js';
import { createGuardedServer } from '../proxy/guarded-server.js';
import { Authenticator, readCredentials } from './auth.js';
import { type AdminAnswer, routeRequest } from './routes.js';

/** A running administration listener. */
export interface AdminServer {
  readonly address: Address;
  replaceKeys(keys: KeyPair): void;
  close(): void;
}

const MAX_BODY = 2_000_000;
const REQUEST_TIMEOUT = 30_000;

class BodyTooLarge extends Error {}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return body.length === 0 ? undefined : (JSON.parse(body.toString('utf8')) as unknown);
}

function readBody(request: IncomingMessage): Promise<Buffer> {
  const memory = findRequestMemory(request);
  const buffer = new BodyBuffer();
  return new Promise((resolve, reject) => {
    request.on('data', (piece: Buffer) => {
      const capacityBefore = buffer.capacity;
      buffer.append(piece);
      memory?.charge(buffer.capacity - capacityBefore);
      if (buffer.length > MAX_BODY) reject(new BodyTooLarge());
    });
    request.on('end', () => resolve(buffer.take()));
    request.on('error', reject);
    request.on('close', () => reject(new Error('the request broke off')));
  });
}

/** The operators of the configuration, and the one of the settings, who can act before any other. */
function listOperators(entry: Entry): readonly Operator[] {
  const { operator, operator_credential: credential } = entry.settings.security;
  const first: Operator = { name: operator, credential, role: 'admin', services: [] };
  return [first, ...entry.follower.configuration.operators.filter(({ name }) => name !== operator)];
}

function writeAnswer(response: ServerResponse, { status, body }: AdminAnswer): void {
  const text = JSON.stringify(body);
  const type = status >= 400 ? 'application/problem+json' : 'application/json';
  const challenge = status === 401 ? { 'www-authenticate': 'Basic realm="orchidbeam"' } : {};
  response.writeHead(status, { 'content-type': type, ...challenge });
  response.end(text);
}

/** Starts the administration listener of an entry. */
export async function startAdminServer(
  kernel: Kernel,
  entry: Entry,
  keys?: KeyPair,
): Promise<AdminServer> {
  const authenticator = new Authenticator();
  const log = kernel.find(logService);
  const context = { entry, clock: kernel.find(clockService), random: kernel.find(randomService) };

  async function answer(request: IncomingMessage): Promise<AdminAnswer> {
    const credentials = readCredentials(request.headers.authorization);
    const operator = await authenticator.authenticate(credentials, listOperators(entry));
    if (operator === undefined) {
      log.warn('admin.denied', { operator: credentials?.name ?? 'none' });
      return { status: 401, body: { title: 'Credentials are missing or wrong', status: 401 } };
    }
    const url = new URL(request.url ?? '/', 'http://admin');
    const method = request.method ?? 'GET';
    let body: unknown;
    try {
      body = method === 'POST' ? await readJson(request) : undefined;
    } catch (error) {
      const large = error instanceof BodyTooLarge;
      const status = large ? 413 : 400;
      const title = large
        ? `a body of at most ${MAX_BODY} bytes was expected`
        : 'JSON was expected';
      return { status, body: { title, status } };
    }
    const admin = { operator, method, path: url.pathname, query: url.searchParams, body };
    const result = await routeRequest(context, admin);
    if (method !== 'GET') {
      const { name } = operator;
      log.info('admin.act', { operator: name, method, path: url.pathname, status: result.status });
    }
    return result;
  }

  const handle = (request: IncomingMessage, response: ServerResponse) => {
    answer(request)
      .catch((error: Error): AdminAnswer => {
        log.error('admin.failed', { error: error.message });
        return { status: 500, body: { title: 'The request failed', status: 500 } };
      })
      .then((result) => writeAnswer(response, result))
      .catch(() => response.destroy());
  };
  const server = createGuardedServer({
    ...{ name: 'administration', protection: entry.protection, handle },
    requestTimeout: REQUEST_TIMEOUT,
  });
  const listener: Listener = await kernel.find(networkService).listen({
    address: entry.settings.entry.admin,
    keys,
    onConnection: (socket) => server.emit('connection', socket),
  });
  return {
    address: listener.address,
    replaceKeys: (pair) => listener.replaceKeys(pair),
    close() {
      listener.close().catch(() => undefined);
      server.close();
      server.closeAllConnections();
    },
  };
}
