/** The body of a call: none, short and buffered so that it can be resent, or streamed only once. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BodyBuffer } from '../overload/index.js';
import type { Call } from './call.js';

/** How the body of a call is passed on. */
export type Body =
  | { readonly kind: 'none' }
  /** `reserved` is what it takes of the {@link BufferBudget}, in bytes. */
  | { readonly kind: 'buffered'; readonly data: Buffer; readonly reserved: number }
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

/**
 * Reads the whole body; rejects when the caller ends it early. Returns undefined when it is longer
 * than what is buffered: what was read is put back then, and the request is paused.
 */
export function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const buffer = new BodyBuffer();
  return new Promise((resolve, reject) => {
    const onData = (piece: Buffer) => {
      buffer.append(piece);
      if (buffer.length <= MAX_BUFFERED_BODY_BYTES) return;
      request.pause();
      request.removeListener('data', onData);
      request.unshift(buffer.take());
      resolve(undefined);
    };
    request.on('data', onData);
    request.on('end', () => resolve(buffer.take()));
    request.on('close', () => reject(new Error('the caller ended the body early')));
    request.on('error', reject);
    request.resume();
  });
}

/**
 * How many bytes are reserved to buffer the body of a call, so that it can be retried at other
 * targets, and that a caller who sends slowly occupies no target; undefined when it is too long.
 */
export function findBufferSize({ bodyLength }: Call): number | undefined {
  if (bodyLength > MAX_BUFFERED_BODY_BYTES) return undefined;
  return bodyLength < 0 ? MAX_BUFFERED_BODY_BYTES : bodyLength;
}

/** Whether a body can be sent again. */
export function isReplayable(body: Body): boolean {
  return body.kind !== 'stream';
}
