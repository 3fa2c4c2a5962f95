/** The body of a call: none, short and buffered so that it can be resent, or streamed only once. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Call } from './call.js';

/** How the body of a call is passed on. */
export type Body =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly data: Buffer }
  | { readonly kind: 'stream'; readonly request: IncomingMessage };

/** Longest body that is buffered. */
export const MAX_BUFFERED_BODY_BYTES = 65_536;

/** Limits the total size of the bodies that one daemon buffers, in bytes. */
export class BufferBudget {
  #used = 0;

  constructor(private readonly limit: number) {}

  /** Reserves `bytes`; false when that would exceed the limit. */
  take(bytes: number): boolean {
    if (this.#used + bytes > this.limit) return false;
    this.#used += bytes;
    return true;
  }

  /** Releases `bytes` reserved before. */
  release(bytes: number): void {
    this.#used -= bytes;
  }
}

/** Sends `100 Continue` to a caller that waits for it before sending its body. */
export function sendContinue(request: IncomingMessage, response: ServerResponse): void {
  if (request.headers.expect === undefined || response.headersSent) return;
  response.writeContinue();
}

/** Reads the whole body; rejects when the caller ends it early. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Whether the body of a call is short enough to be buffered for retries at other targets. */
export function isBufferable(call: Call): boolean {
  return call.bodyLength > 0 && call.bodyLength <= MAX_BUFFERED_BODY_BYTES;
}

/** Whether a body can be sent again. */
export function isReplayable(body: Body): boolean {
  return body.kind !== 'stream';
}
