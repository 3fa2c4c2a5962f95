/** The body of a call: absent, short and buffered so that it can be sent again, or streamed once. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Call } from './call.js';

/** How the body of a call is passed on. */
export type Body =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly data: Buffer }
  | { readonly kind: 'stream'; readonly request: IncomingMessage };

/** The longest body that is buffered, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 65_536;

/** Bounds the bytes of buffered bodies that one daemon holds. */
export class BufferBudget {
  #used = 0;

  constructor(private readonly limit: number) {}

  /** Takes `bytes` if they fit. */
  take(bytes: number): boolean {
    if (this.#used + bytes > this.limit) return false;
    this.#used += bytes;
    return true;
  }

  /** Gives `bytes` back. */
  release(bytes: number): void {
    this.#used -= bytes;
  }
}

/** Tells the caller to send its body, if it waits to be told (`Expect: 100-continue`). */
export function sendContinue(request: IncomingMessage, response: ServerResponse): void {
  if (request.headers.expect === undefined || response.headersSent) return;
  response.writeContinue();
}

/** Reads a whole body of declared length; rejects when the caller ends it early. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Whether a body is short enough to be buffered, so that a call can be tried at another target. */
export function isBufferable(call: Call): boolean {
  return call.bodyLength > 0 && call.bodyLength <= MAX_BUFFERED_BODY_BYTES;
}

/** Whether a body can be sent once more. */
export function isReplayable(body: Body): boolean {
  return body.kind !== 'stream';
}
