/**
 * One simulated caller of a soak: looks up addresses in the directory, keeps connections alive, and
 * reports the outcome of each request to the checker.
 */
import http from 'node:http';
import { type Random, pickItem } from '../kernel/index.js';
import { HOST } from '../standin/index.js';
import { DAEMON_PORTS } from './daemon-process.js';
import type { RequestOutcome, SoakChecker } from './checker.js';

/** Options of a caller. */
export interface CallerOptions {
  readonly name: string;
  /** Addresses of all daemons; a daemon is identified by its index in this list. */
  readonly ips: readonly string[];
  readonly random: Random;
  readonly checker: SoakChecker;
  /** Picks the key of the next request, and records it; undefined when requests need no key. */
  readonly pickKey?: (id: string) => string;
  readonly now: () => number;
}

/** A request on its way to a daemon. */
interface OutgoingCall {
  readonly id: string;
  readonly route: string;
  /** Milliseconds until the caller gives up. */
  readonly timeout: number;
  readonly key: string | undefined;
}

const ROUTES = ['safe', 'once', 'moving'] as const;

/**
 * How long an answer of the directory is cached, in milliseconds; with a certain probability, the
 * longer time applies.
 */
const ADDRESS_TTL_MS = 5000;
const LONG_ADDRESS_TTL_MS = 15_000;
const LONG_TTL_PROBABILITY = 0.2;

const DIRECTORY_TIMEOUT_MS = 1000;
const DEADLINE_MS = 2500;
/** A caller gives up a little after the deadline that it sent; some give up long before. */
const CALLER_TIMEOUT_MS = DEADLINE_MS + 500;
const EARLY_TIMEOUT_PROBABILITY = 0.03;
const MEAN_PAUSE_MS = 60;

/** A simulated caller, which sends one request at a time. */
export class Caller {
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 4 });

  #addresses: readonly string[] = [];

  #resolvedAt = -Infinity;

  #addressTtl = ADDRESS_TTL_MS;

  #requestCount = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Sends requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.options;
    while (!signal.aborted) {
      await this.#refreshAddresses();
      const ip = pickItem<string | undefined>(this.#addresses, this.options.random);
      if (ip !== undefined) await this.#call(ip);
      await new Promise((resolve) => {
        setTimeout(resolve, MEAN_PAUSE_MS * 2 * random.next());
      });
    }
    this.#agent.destroy();
  }

  async #refreshAddresses(): Promise<void> {
    const { now, ips, random } = this.options;
    if (now() - this.#resolvedAt < this.#addressTtl && this.#addresses.length > 0) return;
    const ip = pickItem(ips, random);
    const addresses = await fetchAddresses(ip);
    if (addresses.length === 0) return;
    this.#addresses = addresses;
    this.#resolvedAt = now();
    this.#addressTtl = random.next() < LONG_TTL_PROBABILITY ? LONG_ADDRESS_TTL_MS : ADDRESS_TTL_MS;
  }

  async #call(ip: string): Promise<void> {
    const { checker, now, random, name, ips } = this.options;
    this.#requestCount += 1;
    const route = pickItem(ROUTES, random);
    const id = `${route}-${name}-${this.#requestCount}`;
    const isRepeatable = route !== 'once';
    checker.recordRequest({ id, isRepeatable, daemon: ips.indexOf(ip), sentAt: now() });
    const timeout =
      random.next() < EARLY_TIMEOUT_PROBABILITY
        ? CALLER_TIMEOUT_MS * random.next()
        : CALLER_TIMEOUT_MS;
    const key = this.options.pickKey?.(id);
    const outcome = await this.#send(ip, { id, route, timeout, key });
    checker.recordOutcome(id, outcome, now());
    // A caller that gets no answer looks up the addresses again.
    if (outcome.kind === 'cut' || outcome.kind === 'not-connected') this.#resolvedAt = -Infinity;
  }

  #send(ip: string, { id, route, timeout, key }: OutgoingCall): Promise<RequestOutcome> {
    const method = route === 'once' ? 'POST' : 'GET';
    const body = route === 'once' ? 'pay' : undefined;
    return new Promise((resolve) => {
      let isConnected = false;
      const headers = {
        ...{ host: HOST, 'attempt-id': id, 'request-deadline-ms': String(DEADLINE_MS) },
        ...(key === undefined ? {} : { 'api-key': key, tenant: 'forged' }),
      };
      const request = http.request({
        ...{ host: ip, port: DAEMON_PORTS.callers, path: `/${route}/1`, method },
        ...{ agent: this.#agent, headers },
      });
      const timer = setTimeout(() => {
        resolve({ kind: 'left' });
        request.destroy();
      }, timeout);
      const finish = (outcome: RequestOutcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      request.on('socket', (socket) => {
        if (!socket.connecting) isConnected = true;
        else
          socket.once('connect', () => {
            isConnected = true;
          });
      });
      request.on('error', () => finish({ kind: isConnected ? 'cut' : 'not-connected' }));
      request.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => finish({ kind: 'cut' }));
        response.on('close', () => {
          if (!response.complete) finish({ kind: 'cut' });
          else
            finish({
              ...{ kind: 'answered', status: response.statusCode ?? 0 },
              body: Buffer.concat(chunks).toString('utf8'),
              isSigned: response.headers['server-signature'] !== undefined,
            });
        });
      });
      request.end(body);
    });
  }
}

function fetchAddresses(ip: string): Promise<readonly string[]> {
  return new Promise((resolve) => {
    const request = http.get(
      {
        ...{ host: ip, port: DAEMON_PORTS.directory, agent: false, timeout: DIRECTORY_TIMEOUT_MS },
        path: `/resolve?name=${HOST}&region=r1&zone=d1`,
      },
      (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => {
          text += part;
        });
        response.on('error', () => resolve([]));
        response.on('end', () => {
          const answer =
            response.statusCode === 200 ? (JSON.parse(text) as { addresses: string[] }) : undefined;
          resolve((answer?.addresses ?? []).map((address) => address.split(':')[0]));
        });
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve([]));
  });
}
