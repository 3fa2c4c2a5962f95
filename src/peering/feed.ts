/** What changed, from one daemon to another over HTTP: positions say from where on. */
import http from 'node:http';
import { type Address, type Clock, exchangeHttp } from '../kernel/index.js';
import type { ViewDelta, ViewPosition } from '../view/index.js';
import type { MemberInfo } from './roster.js';

/** What a daemon knows that asks another one what there is besides. */
export interface FeedQuestion {
  readonly position: ViewPosition;
  /** The fingerprint of the members that it knows. */
  readonly members: number;
}

/** The answer of a feed. */
export interface FeedAnswer {
  readonly delta: ViewDelta;
  /** The members; none are named when the other knows the same ones. */
  readonly members: readonly MemberInfo[];
}

/** Longest wait for a feed; another daemon, or the store, is asked after it. */
const TIMEOUT = 600;

/**
 * While this many daemons are asked, nobody else is for a moment. One may be frozen or cut off just then,
 * so a second one is asked at once; more would only carry the same bytes.
 */
const ASKED_AT_ONCE = 2;

/** One that knows nothing yet gets the whole fleet's list, hundreds of kilobytes; it asks one at a time. */
const FIRST_ASKED_AT_ONCE = 1;
const PATIENCE = 150;

/**
 * Many daemons that start at once change the members all the time. One that starts asks soon again,
 * and each time later, as what it still misses becomes less.
 */
const FIRST_MEMBERS_PACE = 50;
const LAST_MEMBERS_PACE = 2000;

const PATH = '/feed';

/** Starts to answer the feeds of others. */
export function serveFeed(
  address: Address,
  answer: (question: FeedQuestion) => FeedAnswer,
): Promise<http.Server> {
  const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    const url = new URL(request.url ?? '/', 'http://feed');
    const read = (name: string) => Number(url.searchParams.get(name) ?? 0);
    const position = { targets: read('targets'), configuration: read('configuration') };
    const members = read('members');
    if (
      url.pathname !== PATH ||
      Number.isNaN(position.targets + position.configuration + members)
    ) {
      response.writeHead(404).end();
      return;
    }
    const body = JSON.stringify(answer({ position, members }));
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

  #startedAt = -Infinity;

  #membersAt = -Infinity;

  #membersPace = FIRST_MEMBERS_PACE;

  constructor(
    private readonly clock: Clock,
    private readonly port: number,
    private readonly take: (answer: FeedAnswer) => void,
  ) {}

  /** Fetches the members that another daemon knows, unless that was done of late. */
  async fetchMembers(ip: string, question: FeedQuestion): Promise<void> {
    const now = this.clock.now();
    if (now - this.#membersAt < this.#membersPace) return;
    this.#membersAt = now;
    this.#membersPace = Math.min(LAST_MEMBERS_PACE, this.#membersPace * 2);
    await this.#fetch(ip, question);
  }

  /** Fetches what changed after a position, unless that is under way already. */
  async fetchNews(ip: string, question: FeedQuestion): Promise<boolean> {
    const now = this.clock.now();
    const most = question.position.targets === 0 ? FIRST_ASKED_AT_ONCE : ASKED_AT_ONCE;
    const isAsked = this.#fetching.size >= most && now - this.#startedAt < PATIENCE;
    if (isAsked || this.#fetching.has(ip)) return false;
    this.#startedAt = now;
    return this.#fetch(ip, question);
  }

  async #fetch(ip: string, { position, members }: FeedQuestion): Promise<boolean> {
    if (this.#fetching.has(ip)) return false;
    this.#fetching.add(ip);
    const { targets, configuration } = position;
    try {
      const reply = await exchangeHttp({
        ...{ agent: this.#agent, address: { host: ip, port: this.port }, method: 'GET' },
        path: `${PATH}?targets=${targets}&configuration=${configuration}&members=${members}`,
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
