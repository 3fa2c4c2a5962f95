/** Ordinary callers, who send small requests one after the other, on kept and on new connections. */
import http from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import type { Address } from '../../src/kernel/index.js';
import { HOST } from '../../src/standin/index.js';

const ORDINARY_PER_SECOND = 50;
const ORDINARY_DEADLINE_MS = 2000;

function isServed(status = 0): boolean {
  return status === 200 || status === 201;
}

/** What ordinary callers send. */
export interface OrdinaryOptions {
  readonly perSecond?: number;
  /** Whether none of their requests is a posting. */
  readonly isReadOnly?: boolean;
}

/** How the requests of ordinary callers ended. */
export class OrdinaryCallers {
  readonly #outcomes: string[] = [];

  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 16 });

  #isRunning = true;

  /** @param host the host that they name */
  constructor(
    private readonly address: Address,
    private readonly host = HOST,
    private readonly options: OrdinaryOptions = {},
  ) {}

  get sent(): number {
    return this.#outcomes.length;
  }

  get served(): number {
    return this.#outcomes.filter((outcome) => outcome === 'served').length / this.sent;
  }

  /** Counts the requests by outcome. */
  describe(): string {
    const counts = new Map<string, number>();
    for (const outcome of this.#outcomes) counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    return [...counts].map(([outcome, count]) => `${outcome}: ${count}`).join(', ');
  }

  async run(): Promise<void> {
    const requests: Promise<void>[] = [];
    const { perSecond = ORDINARY_PER_SECOND } = this.options;
    for (let index = 0; this.#isRunning; index += 1) {
      requests.push(this.#send(index));
      await pause(1000 / perSecond);
    }
    await Promise.all(requests);
    this.#agent.destroy();
  }

  stop(): void {
    this.#isRunning = false;
  }

  #send(index: number): Promise<void> {
    const isPost = index % 3 === 0 && this.options.isReadOnly !== true;
    const body = isPost ? 'b'.repeat(2000) : '';
    return new Promise((resolve) => {
      const finish = (outcome: string) => {
        this.#outcomes.push(outcome);
        resolve();
      };
      const sent = http.request({
        ...{ ...this.address, agent: index % 2 === 0 ? this.#agent : false },
        ...{ method: isPost ? 'POST' : 'GET', path: `/read/${index}` },
        signal: AbortSignal.timeout(ORDINARY_DEADLINE_MS),
        headers: {
          ...{ host: this.host, 'attempt-id': `o-${index}` },
          ...{ 'request-deadline-ms': String(ORDINARY_DEADLINE_MS) },
          ...(isPost ? { 'content-length': body.length } : {}),
        },
      });
      sent.on('error', ({ message }) => finish(message));
      sent.on('response', (response) => {
        let text = '';
        response.on('data', (data: Buffer) => {
          text += data.toString();
        });
        response.on('end', () =>
          finish(isServed(response.statusCode) ? 'served' : `${response.statusCode} ${text}`),
        );
      });
      sent.end(body);
    });
  }
}
