/**
 * Transfers changes of the view and the members between daemons over HTTP, from a given position
 * on.
 */
import http from 'node:http';
import { isIPv4 } from 'node:net';
import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import {
  type AnswerWatcher,
  type Address,
  type Clock,
  PEER_CONTENT_ENCODING,
  exchangeHttp,
  isJsonObject,
  parseRequestUrl,
} from '../kernel/index.js';
import type { GatewayListener } from '../overload/index.js';
import { type ServerProtection, createGuardedServer } from '../proxy/guarded-server.js';
import type { Evacuations, RemovedTarget, ViewDelta, ViewPosition } from '../view/index.js';
import type { TargetRecord } from '../platform/index.js';
import { MAX_DOMAIN_LENGTH, type MemberInfo } from './roster.js';

/** What the requesting daemon knows already. */
export interface FeedRequest {
  readonly position: ViewPosition;
  /** The fingerprint of its members. */
  readonly members: number;
}

/** A feed's response: what the requesting daemon lacks. */
export interface FeedResponse {
  readonly delta: ViewDelta;
  /** All members; empty when the requesting daemon knows the same ones. */
  readonly members: readonly MemberInfo[];
}

/** Removals in one response; a daemon keeps half as many. */
const MAX_REMOVED_TARGETS = 4000;

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isTargetRecord(value: unknown): value is TargetRecord {
  if (!isJsonObject(value) || !isJsonObject(value.address)) return false;
  const { incarnation, service, domain, slots, state, coldLeft, born, address, release } = value;
  if (release !== undefined && !isString(release)) return false;
  const isNamed = [incarnation, service, domain, address.host].every(isString);
  const isCounted = [slots, coldLeft, born, address.port].every(isNumber);
  return isNamed && isCounted && (state === 'ready' || state === 'draining');
}

function isTargetChange(value: unknown): value is ViewDelta['targets'][number] {
  return isJsonObject(value) && isNumber(value.revision) && isTargetRecord(value.record);
}

function isRemovedTarget(value: unknown): value is RemovedTarget {
  return isJsonObject(value) && isString(value.incarnation) && isNumber(value.revision);
}

function isMemberInfo(value: unknown): value is MemberInfo {
  if (!isJsonObject(value) || typeof value.isSenior !== 'boolean') return false;
  const { ip, domain, capacity } = value;
  if (!isString(ip) || !isIPv4(ip) || !isString(domain)) return false;
  return domain.length <= MAX_DOMAIN_LENGTH && isNumber(capacity);
}

function isConfiguration(value: unknown): value is NonNullable<ViewDelta['configuration']> {
  return isJsonObject(value) && isString(value.text) && isNumber(value.revision);
}

function isEvacuations(value: unknown): value is Evacuations {
  if (!isJsonObject(value) || !Array.isArray(value.domains)) return false;
  return isNumber(value.revision) && value.domains.every(isString);
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
  if (left.length > MAX_REMOVED_TARGETS) return false;
  return targets.every(isTargetChange) && left.every(isRemovedTarget);
}

/**
 * Validates the body of a feed's response; undefined when any part is invalid, so that no part of
 * it is applied.
 */
export function parseFeedResponse(value: unknown): FeedResponse | undefined {
  if (!isJsonObject(value) || !isDelta(value.delta) || !Array.isArray(value.members))
    return undefined;
  return value.members.every(isMemberInfo)
    ? { delta: value.delta, members: value.members }
    : undefined;
}

/** The timeout of a fetch, after which another daemon or the store is asked. */
const FETCH_TIMEOUT_MS = 600;

/**
 * The longest response, in bytes, packed or unpacked: 10,000 targets, 2,500 daemons and a
 * configuration of 1 MiB take half of it.
 */
const MAX_RESPONSE_BYTES = 8_388_608;

/**
 * With this many fetches in flight no other is started until the delay below has passed. The first
 * daemon may be frozen or cut off, so a second one is asked at once; more would only transfer the
 * same bytes again.
 */
const MAX_CONCURRENT_FETCHES = 2;

/**
 * The same for a daemon without a view, which fetches the full list of targets: hundreds of
 * kilobytes.
 */
const MAX_CONCURRENT_FULL_FETCHES = 1;

/** This long after the start of the last fetch, another one may be started beyond the limit. */
const EXTRA_FETCH_DELAY_MS = 150;

/**
 * The interval between two fetches of the members starts at the first value and doubles up to the
 * second. While many daemons start together, the members change all the time; each fetch brings
 * fewer new ones than the one before.
 */
const MIN_MEMBERS_INTERVAL_MS = 50;
const MAX_MEMBERS_INTERVAL_MS = 2000;

/**
 * Responses of at least this size are compressed: a generated list of 503 targets takes 102 KB as
 * text and 14 KB compressed. Machines with a few Mbit/s get it sooner, and traffic between failure
 * domains is billed.
 */
const MIN_COMPRESSED_BYTES = 2048;

const PATH = '/feed';

const compress = promisify(gzip);

async function sendResponse(
  response: http.ServerResponse,
  feedResponse: FeedResponse,
): Promise<void> {
  const body = Buffer.from(JSON.stringify(feedResponse));
  if (body.length < MIN_COMPRESSED_BYTES) {
    response.writeHead(200, { 'content-length': body.length });
    response.end(body);
    return;
  }
  const compressed = await compress(body, { level: constants.Z_BEST_SPEED });
  response.writeHead(200, {
    'content-length': compressed.length,
    'content-encoding': PEER_CONTENT_ENCODING,
  });
  response.end(compressed);
}

/**
 * Starts an HTTP server that answers the feed requests of other daemons. Rejects when it can't
 * listen.
 */
export function serveFeed(
  address: Address,
  protection: ServerProtection<GatewayListener>,
  answer: (request: FeedRequest) => FeedResponse,
): Promise<http.Server> {
  const handle = (request: http.IncomingMessage, response: http.ServerResponse) => {
    const url = parseRequestUrl(request.url);
    if (url === undefined) {
      response.writeHead(400).end();
      return;
    }
    const readParameter = (name: string) => Number(url.searchParams.get(name) ?? 0);
    const position = {
      ...{ targets: readParameter('targets'), configuration: readParameter('configuration') },
      evacuations: readParameter('evacuations'),
    };
    const members = readParameter('members');
    const isReadable = [...Object.values(position), members].every((it) => !Number.isNaN(it));
    if (url.pathname !== PATH || !isReadable) {
      response.writeHead(404).end();
      return;
    }
    sendResponse(response, answer({ position, members })).catch(() => response.destroy());
  };
  const server = createGuardedServer({ name: 'feed', protection, handle });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve(server));
  });
}

/** What a client of feeds may be given besides. */
export interface FeedClientOptions {
  /** Watches the responses. */
  readonly guard?: AnswerWatcher;
  /** Called when a daemon's response is too long or not valid, so that nothing of it is used. */
  readonly onRefused?: (ip: string, reason: string) => void;
}

/** Fetches changes and members from the feeds of other daemons. */
export class FeedClient {
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 1, timeout: 5000 });

  readonly #inFlight = new Set<string>();

  #lastStartedAt = -Infinity;

  #membersFetchedAt = -Infinity;

  #membersInterval = MIN_MEMBERS_INTERVAL_MS;

  constructor(
    private readonly clock: Clock,
    private readonly port: number,
    /** Applies a response; a fetch ends when its result has resolved. */
    private readonly onResponse: (response: FeedResponse) => unknown,
    private readonly options: FeedClientOptions = {},
  ) {}

  /** Fetches the members from another daemon, unless the last such fetch was too recent. */
  async fetchMembers(ip: string, request: FeedRequest): Promise<void> {
    const now = this.clock.now();
    if (now - this.#membersFetchedAt < this.#membersInterval) return;
    this.#membersFetchedAt = now;
    this.#membersInterval = Math.min(MAX_MEMBERS_INTERVAL_MS, this.#membersInterval * 2);
    await this.#fetch(ip, request);
  }

  /**
   * Fetches the changes after a position unless enough fetches are in flight; true when changes
   * were received.
   */
  async fetchChanges(ip: string, request: FeedRequest): Promise<boolean> {
    const now = this.clock.now();
    const maxConcurrent =
      request.position.targets === 0 ? MAX_CONCURRENT_FULL_FETCHES : MAX_CONCURRENT_FETCHES;
    const isAtLimit =
      this.#inFlight.size >= maxConcurrent && now - this.#lastStartedAt < EXTRA_FETCH_DELAY_MS;
    if (isAtLimit || this.#inFlight.has(ip)) return false;
    this.#lastStartedAt = now;
    return this.#fetch(ip, request);
  }

  async #fetch(ip: string, { position, members }: FeedRequest): Promise<boolean> {
    if (this.#inFlight.has(ip)) return false;
    this.#inFlight.add(ip);
    const query = Object.entries({ ...position, members }).map(([name, it]) => `${name}=${it}`);
    try {
      const reply = await exchangeHttp({
        ...{ agent: this.#agent, address: { host: ip, port: this.port }, method: 'GET' },
        path: `${PATH}?${query.join('&')}`,
        ...{
          timeout: FETCH_TIMEOUT_MS,
          maxBodyBytes: MAX_RESPONSE_BYTES,
          guard: this.options.guard,
        },
      });
      if (reply.kind === 'failure' && reply.cause !== undefined) {
        this.options.onRefused?.(ip, reply.reason);
      }
      if (reply.kind !== 'reply' || reply.status !== 200) return false;
      const response = parseFeedResponse(reply.body);
      if (response === undefined) {
        this.options.onRefused?.(ip, 'changes and members expected');
        return false;
      }
      await this.onResponse(response);
      return true;
    } finally {
      this.#inFlight.delete(ip);
    }
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
  }
}
