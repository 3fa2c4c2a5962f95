/** One caller of a soak: asks for addresses, keeps connections, and tells the witness what it saw. */
import http from 'node:http';
import { type Random, pickItem } from '../kernel/index.js';
import { HOST } from '../standin/index.js';
import { DAEMON_PORTS } from './daemon-process.js';
import type { RequestOutcome, SoakChecker } from './checker.js';

/** What a caller is made from. */
export interface CallerOptions {
  readonly name: string;
  /** Addresses of all daemons; a daemon is known by its place. */
  readonly ips: readonly string[];
  readonly random: Random;
  readonly witness: SoakChecker;
  readonly now: () => number;
}

const ROUTES = ['safe', 'once', 'moving'] as const;

/** How long an answer of the directory is kept, and a longer one now and then, in milliseconds. */
const KEEP = 5000;
const LONG_KEEP = 15_000;
const LONG_SHARE = 0.2;

const DIRECTORY_TIMEOUT = 1000;
const DEADLINE = 2500;
/** A caller gives up a little after the time that it told, and some leave long before. */
const PATIENCE = DEADLINE + 500;
const LEAVING_SHARE = 0.03;
const PAUSE = 60;

/** A caller. */
export class Caller {
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 4 });

  #addresses: readonly string[] = [];

  #askedAt = -Infinity;

  #keep = KEEP;

  #count = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Calls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.options;
    while (!signal.aborted) {
      await this.#refresh();
      const ip = pickItem<string | undefined>(this.#addresses, this.options.random);
      if (ip !== undefined) await this.#call(ip);
      await new Promise((resolve) => {
        setTimeout(resolve, PAUSE * 2 * random.next());
      });
    }
    this.#agent.destroy();
  }

  async #refresh(): Promise<void> {
    const { now, ips, random } = this.options;
    if (now() - this.#askedAt < this.#keep && this.#addresses.length > 0) return;
    const ip = pickItem(ips, random);
    const found = await askDirectory(ip);
    if (found.length === 0) return;
    this.#addresses = found;
    this.#askedAt = now();
    this.#keep = random.next() < LONG_SHARE ? LONG_KEEP : KEEP;
  }

  async #call(ip: string): Promise<void> {
    const { witness, now, random, name, ips } = this.options;
    this.#count += 1;
    const route = pickItem(ROUTES, random);
    const id = `${route}-${name}-${this.#count}`;
    const isRepeatable = route !== 'once';
    witness.recordRequest({ id, isRepeatable, daemon: ips.indexOf(ip), sentAt: now() });
    const patience = random.next() < LEAVING_SHARE ? PATIENCE * random.next() : PATIENCE;
    const end = await this.#send(ip, { id, route, patience });
    witness.recordOutcome(id, end, now());
    // Whoever is not answered asks anew for addresses.
    if (end.kind === 'cut' || end.kind === 'not-connected') this.#askedAt = -Infinity;
  }

  #send(
    ip: string,
    {
      id,
      route,
      patience,
    }: { readonly id: string; readonly route: string; readonly patience: number },
  ): Promise<RequestOutcome> {
    const method = route === 'once' ? 'POST' : 'GET';
    const body = route === 'once' ? 'pay' : undefined;
    return new Promise((resolve) => {
      let isSent = false;
      const headers = { host: HOST, 'attempt-id': id, 'request-deadline-ms': String(DEADLINE) };
      const request = http.request({
        ...{ host: ip, port: DAEMON_PORTS.callers, path: `/${route}/1`, method },
        ...{ agent: this.#agent, headers },
      });
      const timer = setTimeout(() => {
        resolve({ kind: 'left' });
        request.destroy();
      }, patience);
      const conclude = (end: RequestOutcome) => {
        clearTimeout(timer);
        resolve(end);
      };
      request.on('socket', (socket) => {
        if (!socket.connecting) isSent = true;
        else
          socket.once('connect', () => {
            isSent = true;
          });
      });
      request.on('error', () => conclude({ kind: isSent ? 'cut' : 'not-connected' }));
      request.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => conclude({ kind: 'cut' }));
        response.on('close', () => {
          if (!response.complete) conclude({ kind: 'cut' });
          else
            conclude({
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

function askDirectory(ip: string): Promise<readonly string[]> {
  return new Promise((resolve) => {
    const request = http.get(
      {
        ...{ host: ip, port: DAEMON_PORTS.directory, agent: false, timeout: DIRECTORY_TIMEOUT },
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
