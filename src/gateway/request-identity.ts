/**
 * What makes two tries the same request: method, host, path with its parameters, caller and body; not the ids that
 * change with each try.
 *
 * The digest is a cryptographic one, so that nobody can find another request with the same digest as someone
 * else's and have that one held out; the caller's address, which only the caller can connect from, is part of it.
 * It is worked out when it is asked for: on most days never.
 */
import { createHash } from 'node:crypto';
import { HEAD_LENGTH } from '../balance/index.js';
import type { Sending } from './attempt.js';

/** What a request is told apart by. */
export interface RequestTraits {
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** IP number of the caller. */
  readonly caller: string;
  readonly body: Sending['body'];
  /** Length of the body, as far as it is known. */
  readonly bodyBytes: number;
}

function hashParts(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  // Parts are told apart by their lengths, so that what ends one can't begin the next.
  for (const part of parts) hash.update(`${part.length}:`).update(part);
  return hash.digest('base64url').slice(0, HEAD_LENGTH);
}

/** A request that is told apart by its digests. */
export interface Identified {
  readonly head: string;
  readonly whole: string;
}

/** The digests of one request. */
export class RequestIdentity implements Identified {
  #head: string | undefined;

  #whole: string | undefined;

  constructor(private readonly traits: RequestTraits) {}

  /** Stands for everything but the body. */
  get head(): string {
    const { method, host, path, caller } = this.traits;
    this.#head ??= hashParts([method, host, path, caller]);
    return this.#head;
  }

  /** Stands for the request; begins with {@link head}. A body that is not held counts by its length. */
  get whole(): string {
    const { body, bodyBytes } = this.traits;
    const parts = Buffer.isBuffer(body) ? ['held', body] : ['streamed', `${bodyBytes}`];
    this.#whole ??= this.head + hashParts(parts);
    return this.#whole;
  }

  /** The digests alone, for whoever keeps them: a body may be long. */
  settle(): Identified {
    return { head: this.head, whole: this.whole };
  }
}
