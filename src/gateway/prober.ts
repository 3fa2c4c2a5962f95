/** Asks targets how loaded they are, while calls for them come to this daemon. */
import http from 'node:http';
import type { Clock } from '../kernel/index.js';
import { HEADERS, parseLoad } from '../platform/index.js';
import type { RouteTable } from '../routing/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetService, TargetSet } from './target-set.js';

/** What the prober is made from. */
export interface ProberOptions {
  readonly targets: TargetSet;
  readonly clock: Clock;
  readonly readTable: () => RouteTable | undefined;
  /** Time between two probes of a target, in milliseconds. */
  readonly interval: number;
}

/** A service with fewer calls a second here is not worth measuring from here. */
const LEAST_RATE = 1;

/** A probe that takes longer tells that the target is mute or cut off. */
const TIMEOUT = 400;

/** Targets are probed in this many batches, so that probes do not come all at once. */
const BATCHES = 4;

const HEALTHY = 200;

/** Probes the targets of the services that are in use here. */
export class Prober {
  readonly #probing = new Set<GatewayTarget>();

  /** Probes sent since the start. */
  sent = 0;

  constructor(private readonly options: ProberOptions) {}

  /** Probes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, interval } = this.options;
    for (let turn = 0; !signal.aborted; turn += 1) {
      this.#probeBatch(turn % BATCHES);
      await clock.sleep(interval / BATCHES, signal);
    }
  }

  #probeBatch(batch: number): void {
    const { targets, clock, readTable } = this.options;
    const table = readTable();
    if (table === undefined) return;
    for (const service of targets.list()) {
      const path = table.findService(service.name)?.healthPath ?? '';
      if (path === '' || service.rate.read(clock.now()) < LEAST_RATE) continue;
      let index = 0;
      for (const target of service.targets.values()) {
        index += 1;
        if (index % BATCHES !== batch || !target.isUsable || this.#probing.has(target)) continue;
        this.#probe(service, target, path).catch(() => undefined);
      }
    }
  }

  async #probe(service: TargetService, target: GatewayTarget, path: string): Promise<void> {
    const { clock } = this.options;
    const startedAt = clock.now();
    if (startedAt - target.belief.reportedAt < this.options.interval / 2) return;
    this.#probing.add(target);
    try {
      const taken = await target.connections.take(Infinity);
      if (taken.kind === 'not-connected') {
        target.noteHealth(false);
        return;
      }
      this.sent += 1;
      const own = target.belief.inFlight;
      const answer = await this.#ask(taken.connection, path);
      target.noteHealth(answer?.statusCode === HEALTHY);
      const { incarnation } = target.record;
      const answered = answer?.headers[HEADERS.incarnation.toLowerCase()];
      if (answered !== undefined && answered !== incarnation) {
        target.noteMisdirected();
        return;
      }
      const load = parseLoad(answer?.headers[HEADERS.load.toLowerCase()] as string | undefined);
      if (load === undefined) return;
      target.noteLoad(load, own);
      service.noteSlowdown(load.slowdown);
    } finally {
      this.#probing.delete(target);
    }
  }

  #ask(
    { agent, socket }: { readonly agent: http.Agent; readonly socket: { destroy(): void } },
    path: string,
  ): Promise<http.IncomingMessage | undefined> {
    return new Promise((resolve) => {
      const request = http.request({ agent, method: 'GET', path, headers: { host: 'health' } });
      const timer = setTimeout(() => socket.destroy(), TIMEOUT);
      const conclude = (answer: http.IncomingMessage | undefined) => {
        clearTimeout(timer);
        resolve(answer);
      };
      request.on('error', () => conclude(undefined));
      request.on('response', (response) => {
        response.resume();
        response.on('error', () => conclude(undefined));
        response.on('end', () => conclude(response));
      });
      request.end();
    });
  }
}
