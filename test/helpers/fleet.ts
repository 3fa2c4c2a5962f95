/** Helpers that send requests to daemons and wait for conditions. */
import http from 'node:http';
import { pause } from '../../src/demo/index.js';
import type { Address } from '../../src/kernel/index.js';

export { Fleet, SECRET, putDocuments, writeService } from '../../src/demo/fleet.js';

/** A response as read by {@link send}. */
export interface Reply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** Whether the response was received completely. */
  readonly whole: boolean;
}

/** Properties of a request; a plain `GET /` by default. */
export interface RequestOptions {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
}

/** Sends one request to an entry, for the service of {@link writeService}. */
export function send(to: Address, options: RequestOptions = {}): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const request = http.request({
      ...{ host: to.host, port: to.port, method: options.method ?? 'GET', agent: false },
      ...{ path: options.path ?? '/', headers: { host: 'test.example', ...options.headers } },
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text: Buffer.concat(chunks).toString('utf8'),
          whole: response.complete,
        }),
      );
    });
    request.end(options.body);
  });
}

/** Waits until a condition holds; throws after about ten seconds, naming it by `description`. */
export async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  for (let poll = 0; poll < 500; poll += 1) {
    if (condition()) return;
    await pause(20);
  }
  throw new Error(`timed out waiting for: ${description}`);
}
