/** What changed, from one daemon to another over HTTP: positions say from where on. */
import http from 'node:http';
import { type Address, exchangeHttp } from '../kernel/index.js';
import type { ViewDelta, ViewPosition } from '../view/index.js';
import type { MemberInfo } from './roster.js';

/** The answer of a feed. */
export interface FeedAnswer {
  readonly delta: ViewDelta;
  readonly members: readonly MemberInfo[];
}

/** Longest wait for a feed; another daemon, or the store, is asked after it. */
const TIMEOUT = 600;

const PATH = '/feed';

/** Starts to answer the feeds of others. */
export function serveFeed(
  address: Address,
  answer: (after: ViewPosition) => FeedAnswer,
): Promise<http.Server> {
  const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    const url = new URL(request.url ?? '/', 'http://feed');
    const read = (name: string) => Number(url.searchParams.get(name) ?? 0);
    const after = { targets: read('targets'), configuration: read('configuration') };
    if (url.pathname !== PATH || Number.isNaN(after.targets + after.configuration)) {
      response.writeHead(404).end();
      return;
    }
    const body = JSON.stringify(answer(after));
    response.writeHead(200, { 'content-length': Buffer.byteLength(body) });
    response.end(body);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve(server));
  });
}

/** Fetches the feeds of others. */
export class FeedClient {
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 1, timeout: 5000 });

  readonly #fetching = new Set<string>();

  constructor(
    private readonly port: number,
    private readonly take: (answer: FeedAnswer) => void,
  ) {}

  /** Fetches what changed after a position, unless that is under way already. */
  async fetch(ip: string, after: ViewPosition): Promise<boolean> {
    if (this.#fetching.has(ip)) return false;
    this.#fetching.add(ip);
    try {
      const reply = await exchangeHttp({
        ...{ agent: this.#agent, address: { host: ip, port: this.port }, method: 'GET' },
        path: `${PATH}?targets=${after.targets}&configuration=${after.configuration}`,
        timeout: TIMEOUT,
      });
      if (reply.kind !== 'reply' || reply.status !== 200) return false;
      this.take(reply.body as FeedAnswer);
      return true;
    } finally {
      this.#fetching.delete(ip);
    }
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
  }
}
