/**
 * A stand-in target: an HTTP server with slots, a service time and faults, for demos, experiments
 * and tests. It follows `docs/TARGETS.md` as a real target would.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Address, Random } from '../kernel/index.js';
import { WorkSimulator } from './work-simulator.js';

/** A fault of a target. It lasts until it is replaced by `none`. */
export type TargetFault =
  | { readonly kind: 'none' }
  /** Each call takes `factor` times as long. */
  | { readonly kind: 'slow'; readonly factor: number }
  /** No call is ever answered. */
  | { readonly kind: 'hang' }
  /** Each call fails at once with status 500. */
  | { readonly kind: 'fail-fast' }
  /** The target reports that it is draining; with `refuses` it also rejects new calls. */
  | { readonly kind: 'draining'; readonly refuses: boolean }
  /** Rejects each call as not run. */
  | { readonly kind: 'shed' }
  /** Runs the call and resets the connection before it answers. */
  | { readonly kind: 'reset' }
  /** Breaks the answer off in its middle. */
  | { readonly kind: 'cut'; readonly framing: 'length' | 'chunked' | 'close' }
  /** Answers with the identifier of another call. */
  | { readonly kind: 'wrong-answer' };

/** The kinds of {@link TargetFault}, for checking input. */
export const TARGET_FAULT_KINDS: readonly TargetFault['kind'][] = [
  ...(['none', 'slow', 'hang', 'fail-fast', 'draining', 'shed', 'reset'] as const),
  ...(['cut', 'wrong-answer'] as const),
];

/** Options of a stand-in target. */
export interface TargetServerOptions {
  readonly address: Address;
  readonly slots: number;
  /** Mean service time in milliseconds; single times are drawn from a distribution around it. */
  readonly serviceTime: number;
  /** The number of calls that may wait in the target; it sheds further ones. */
  readonly queueLimit: number;
  /** Whether it resets the connections of further calls instead of shedding them. */
  readonly resetWhenFull?: boolean;
  readonly random: Random;
  /** Draws a service time in milliseconds; {@link drawServiceTime} with the mean unless given. */
  readonly drawTime?: (request: IncomingMessage) => number;
}

/** Counts of what happened at a target. */
export interface TargetCounts {
  calls: number;
  shed: number;
  /** Calls whose connection it reset because it was full. */
  resets: number;
  probes: number;
  connections: number;
  /** Calls whose connection closed while they ran. */
  cancelled: number;
}

/** A running stand-in target. */
export interface TargetServer {
  readonly address: Address;
  readonly counts: Readonly<TargetCounts>;
  /** The number of times that each idempotency key was run. */
  readonly runs: ReadonlyMap<string, number>;
  /** Sets the fault in force from now on. */
  setFault(fault: TargetFault): void;
  /** Stops listening and closes every connection. */
  close(): void;
}

/** The fixed part of a service time, as a fraction of the mean. */
const MIN_TIME_FRACTION = 0.5;
const REPORT_HEADER = 'orchidbeam-report';
const CALL_HEADER = 'orchidbeam-call';

/**
 * Draws a service time with the given mean: a fixed floor plus an exponentially distributed part.
 */
export function drawServiceTime(mean: number, random: Random): number {
  return mean * (MIN_TIME_FRACTION - (1 - MIN_TIME_FRACTION) * Math.log(1 - random.next()));
}

/** Starts a stand-in target; rejects if it can't listen on the address. */
export function startTarget(options: TargetServerOptions): Promise<TargetServer> {
  const { random } = options;
  const counts: TargetCounts = {
    ...{ calls: 0, shed: 0, resets: 0, probes: 0, connections: 0, cancelled: 0 },
  };
  const runs = new Map<string, number>();
  let fault: TargetFault = { kind: 'none' };
  const simulator = new WorkSimulator();
  let running = 0;
  let waiting: readonly (() => void)[] = [];

  const releaseSlot = () => {
    running -= 1;
    const [next, ...rest] = waiting;
    waiting = rest;
    next?.();
  };

  const takeSlot = async (): Promise<void> => {
    if (running >= options.slots) {
      await new Promise<void>((resolve) => {
        waiting = [...waiting, resolve];
      });
    }
    running += 1;
  };

  const buildReport = (isNotRun: boolean): string => {
    const state = fault.kind === 'draining' ? 'draining' : 'ready';
    // The call that is being answered has released its slot already.
    const report = `state=${state}; in-flight=${running + waiting.length}`;
    return isNotRun ? `not-run; ${report}` : report;
  };

  const shed = (response: ServerResponse) => {
    counts.shed += 1;
    response.writeHead(503, { [REPORT_HEADER]: buildReport(true), 'content-length': 0 });
    response.end();
  };

  const readBody = async (request: IncomingMessage): Promise<number> => {
    let bytes = 0;
    for await (const chunk of request) bytes += (chunk as Buffer).length;
    return bytes;
  };

  const writeCut = (response: ServerResponse, framing: 'length' | 'chunked' | 'close') => {
    const { socket } = response;
    if (framing === 'close') {
      socket?.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of the ans');
      socket?.destroySoon();
      return;
    }
    response.writeHead(200, framing === 'length' ? { 'content-length': 100 } : {});
    response.write('half of the ans');
    setTimeout(() => socket?.destroy(), 5);
  };

  const answer = (request: IncomingMessage, response: ServerResponse, bytes: number) => {
    const paddingBytes = Number(request.headers['x-answer-bytes'] ?? 0);
    const body = JSON.stringify({
      ...{ token: request.headers['x-token'] ?? null, bytes, path: request.url },
      padding: 'x'.repeat(paddingBytes),
    });
    const call = fault.kind === 'wrong-answer' ? 'another-call' : request.headers[CALL_HEADER];
    response.writeHead(request.method === 'POST' ? 201 : 200, {
      ...{ 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      ...{ [REPORT_HEADER]: buildReport(false), [CALL_HEADER]: call ?? '' },
    });
    response.end(body);
  };

  /** Runs a call in its slot, and returns the length of its body in bytes. */
  async function run(request: IncomingMessage, response: ServerResponse): Promise<number> {
    const bytes = await readBody(request);
    const serviceTime = options.drawTime?.(request) ?? drawServiceTime(options.serviceTime, random);
    const cancelled = new AbortController();
    response.on('close', () => cancelled.abort());
    await simulator.run(serviceTime, cancelled.signal);
    if (cancelled.signal.aborted) {
      counts.cancelled += 1;
      return bytes;
    }
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') runs.set(key, (runs.get(key) ?? 0) + 1);
    if (fault.kind === 'reset') response.socket?.destroy();
    else if (fault.kind === 'cut') writeCut(response, fault.framing);
    return bytes;
  }

  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    counts.calls += 1;
    if (fault.kind === 'fail-fast') {
      request.resume();
      response.writeHead(500, { 'content-length': 0 }).end();
      return;
    }
    if (fault.kind === 'hang') return;
    const refuses = fault.kind === 'shed' || (fault.kind === 'draining' && fault.refuses);
    const isFull = waiting.length >= options.queueLimit;
    if (isFull && options.resetWhenFull === true) {
      counts.resets += 1;
      response.socket?.resetAndDestroy();
      return;
    }
    if (refuses || isFull) {
      shed(response);
      return;
    }
    await takeSlot();
    let bytes = 0;
    try {
      if (response.destroyed) return;
      bytes = await run(request, response);
    } finally {
      releaseSlot();
    }
    const isAnswered = response.destroyed || response.headersSent || fault.kind === 'cut';
    if (!isAnswered) answer(request, response, bytes);
  }

  const server = http.createServer((request, response) => {
    if (request.url === '/health') {
      counts.probes += 1;
      response.writeHead(fault.kind === 'fail-fast' ? 500 : 200, { 'content-length': 0 }).end();
      return;
    }
    serve(request, response).catch(() => response.destroy());
  });
  server.on('connection', () => {
    counts.connections += 1;
  });
  server.keepAliveTimeout = 60_000;
  server.headersTimeout = 0;
  server.requestTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.address.port, options.address.host, () => {
      const { port } = server.address() as { readonly port: number };
      resolve({
        address: { host: options.address.host, port },
        ...{ counts, runs },
        setFault: (next) => {
          fault = next;
          simulator.setSlowdown(next.kind === 'slow' ? next.factor : 1);
        },
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}
