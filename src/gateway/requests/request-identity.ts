/**
 * What makes two tries the same request: method, host, path with its parameters, caller and body; not the ids that
 * change with each try. Requests may share less than all of it and still end targets for the same reason: a page that
 * its callers ask for with other parameters, or a document that many of them read. So a request has wider names too.
 *
 * The digests are cryptographic ones, so that nobody can find another request with the same digest as someone
 * else's and have that one held out; the caller's address, which only the caller can connect from, is part of them.
 * They are worked out when they are asked for, on most days never; all three take some 10 us.
 */
import { createHash } from 'node:crypto';
import { HEAD_DIGEST_LENGTH } from '../../balance/index.js';
import type { OutgoingRequest } from './attempt.js';

/** What a request is told apart by. */
export interface RequestTraits {
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** IP number of the caller. */
  readonly caller: string;
  readonly body: OutgoingRequest['body'];
  /** Length of the body, as far as it is known. */
  readonly bodyBytes: number;
}

/** Parts are told apart by their lengths, so that what ends one can't begin the next. */
function hashParts(parts: readonly string[], body?: Buffer): string {
  const hash = createHash('sha256').update(parts.map((part) => `${part.length}:${part}`).join(''));
  if (body !== undefined) hash.update(body);
  return hash.digest('base64url').slice(0, HEAD_DIGEST_LENGTH);
}

/** The names of one request. */
export class RequestIdentity {
  #headDigests: readonly string[] | undefined;

  #fingerprints: readonly string[] | undefined;

  constructor(private readonly traits: RequestTraits) {}

  /** The parts of the names that stand for everything but the body. */
  get headDigests(): readonly string[] {
    if (this.#headDigests !== undefined) return this.#headDigests;
    const { method, host, path, caller } = this.traits;
    const [barePath] = path.split('?', 1);
    const exact = hashParts([method, host, path, caller]);
    const anyParameters = hashParts([method, host, barePath, caller]);
    const anyCaller = hashParts([method, host, barePath]);
    this.#headDigests = [...new Set([exact, anyParameters, anyCaller])];
    return this.#headDigests;
  }

  /** From the one that tells most to the widest. A body that is not held counts by its length. */
  get fingerprints(): readonly string[] {
    if (this.#fingerprints !== undefined) return this.#fingerprints;
    const { body, bodyBytes } = this.traits;
    const bodyDigest = Buffer.isBuffer(body)
      ? hashParts(['held'], body)
      : hashParts(['streamed', `${bodyBytes}`]);
    this.#fingerprints = this.headDigests.map((headDigest) => headDigest + bodyDigest);
    return this.#fingerprints;
  }
}
