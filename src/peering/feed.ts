/** What changed, from one daemon to another over HTTP: positions say from where on. */
import http from 'node:http';
import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import {
  type Address,
  type Clock,
  PEER_CONTENT_ENCODING,
  exchangeHttp,
  isJsonObject,
  parseRequestUrl,
} from '../kernel/index.js';
import type { Evacuations, RemovedTarget, ViewDelta, ViewPosition } from '../view/index.js';
import type { TargetRecord } from '../platform/index.js';
import type { MemberInfo } from './roster.js';

/** What a daemon knows that asks another one what there is besides. */
export interface FeedRequest {
  readonly position: ViewPosition;
  /** The fingerprint of the members that it knows. */
  readonly members: number;
}

/** The answer of a feed. */
export interface FeedResponse {
  readonly delta: ViewDelta;
  /** The members; none are named when the other knows the same ones. */
  readonly members: readonly MemberInfo[];
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isRecord(value: unknown): value is TargetRecord {
  if (!isJsonObject(value) || !isJsonObject(value.address)) return false;
  const { incarnation, service, domain, slots, state, coldLeft, born, address, release } = value;
  if (release !== undefined && !isText(release)) return false;
  const isNamed = [incarnation, service, domain, address.host].every(isText);
  const isCounted = [slots, coldLeft, born, address.port].every(isNumber);
  return isNamed && isCounted && (state === 'ready' || state === 'draining');
}

function isListed(value: unknown): value is ViewDelta['targets'][number] {
  return isJsonObject(value) && isNumber(value.revision) && isRecord(value.record);
}

function isLeft(value: unknown): value is RemovedTarget {
  return isJsonObject(value) && isText(value.incarnation) && isNumber(value.revision);
}

function isMember(value: unknown): value is MemberInfo {
  if (!isJsonObject(value) || typeof value.isSenior !== 'boolean') return false;
  return isText(value.ip) && isText(value.domain) && isNumber(value.capacity);
}

function isConfiguration(value: unknown): value is NonNullable<ViewDelta['configuration']> {
  return isJsonObject(value) && isText(value.text) && isNumber(value.revision);
}

function isEvacuations(value: unknown): value is Evacuations {
  if (!isJsonObject(value) || !Array.isArray(value.domains)) return false;
  return isNumber(value.revision) && value.domains.every(isText);
}

function isPosition(value: unknown): value is ViewPosition {
  if (!isJsonObject(value)) return false;
  return [value.targets, value.configuration, value.evacuations].every(isNumber);
}

function isDelta(value: unknown): value is ViewDelta {
  if (!isJsonObject(value) || !isPosition(value.position)) return false;
  const { configuration, evacuations, targets, left, isWhole } = value;
  if (configuration !== undefined && !isConfiguration(configuration)) return false;
  if (evacuations !== undefined && !isEvacuations(evacuations)) return false;
  if (!Array.isArray(targets) || !Array.isArray(left) || typeof isWhole !== 'boolean') return false;
  return targets.every(isListed) && left.every(isLeft);
}

/** Reads a feed's answer; undefined when any part of it makes no sense, so that none of it is taken. */
export function parseFeedResponse(value: unknown): FeedResponse | undefined {
  if (!isJsonObject(value) || !isDelta(value.delta) || !Array.isArray(value.members))
    return undefined;
  return value.members.every(isMember) ? { delta: value.delta, members: value.members } : undefined;
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

/**
 * Answers from this length on are packed: a drawn list of 503 targets takes 102 KB as text and 14 KB packed. Machines
 * with a few Mbit/s get it sooner, and bytes between failure domains are paid for.
 */
const PACKED_FROM = 2048;

const PATH = '/feed';

const startGzip = promisify(gzip);

async function sendAnswer(response: http.ServerResponse, answer: FeedResponse): Promise<void> {
  const body = Buffer.from(JSON.stringify(answer));
  if (body.length < PACKED_FROM) {
    response.writeHead(200, { 'content-length': body.length });
    response.end(body);
    return;
  }
  const packed = await startGzip(body, { level: constants.Z_BEST_SPEED });
  response.writeHead(200, {
    'content-length': packed.length,
    'content-encoding': PEER_CONTENT_ENCODING,
  });
  response.end(packed);
}

/** Starts to answer the feeds of others. */
export function serveFeed(
  address: Address,
  answer: (question: FeedRequest) => FeedResponse,
): Promise<http.Server> {
  const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    const url = parseRequestUrl(request.url);
    if (url === undefined) {
      response.writeHead(400).end();
      return;
    }
    const read = (name: string) => Number(url.searchParams.get(name) ?? 0);
    const position = {
      ...{ targets: read('targets'), configuration: read('configuration') },
      evacuations: read('evacuations'),
    };
    const members = read('members');
    const isReadable = [...Object.values(position), members].every((it) => !Number.isNaN(it));
    if (url.pathname !== PATH || !isReadable) {
      response.writeHead(404).end();
      return;
    }
    sendAnswer(response, answer({ position, members })).catch(() => response.destroy());
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
    private readonly take: (answer: FeedResponse) => void,
  ) {}

  /** Fetches the members that another daemon knows, unless that was done of late. */
  async fetchMembers(ip: string, question: FeedRequest): Promise<void> {
    const now = this.clock.now();
    if (now - this.#membersAt < this.#membersPace) return;
    this.#membersAt = now;
    this.#membersPace = Math.min(LAST_MEMBERS_PACE, this.#membersPace * 2);
    await this.#fetch(ip, question);
  }

  /** Fetches what changed after a position, unless that is under way already. */
  async fetchChanges(ip: string, question: FeedRequest): Promise<boolean> {
    const now = this.clock.now();
    const most = question.position.targets === 0 ? FIRST_ASKED_AT_ONCE : ASKED_AT_ONCE;
    const isAsked = this.#fetching.size >= most && now - this.#startedAt < PATIENCE;
    if (isAsked || this.#fetching.has(ip)) return false;
    this.#startedAt = now;
    return this.#fetch(ip, question);
  }

  async #fetch(ip: string, { position, members }: FeedRequest): Promise<boolean> {
    if (this.#fetching.has(ip)) return false;
    this.#fetching.add(ip);
    const query = Object.entries({ ...position, members }).map(([name, it]) => `${name}=${it}`);
    try {
      const reply = await exchangeHttp({
        ...{ agent: this.#agent, address: { host: ip, port: this.port }, method: 'GET' },
        path: `${PATH}?${query.join('&')}`,
        timeout: TIMEOUT,
      });
      if (reply.kind !== 'reply' || reply.status !== 200) return false;
      const answer = parseFeedResponse(reply.body);
      if (answer === undefined) return false;
      this.take(answer);
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
