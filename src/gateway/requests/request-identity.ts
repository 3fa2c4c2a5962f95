/**
 * Fingerprints that recognise other tries of the same request, by method, host, path with
 * parameters, caller and body; ids are left out, since they change with each try. Requests that
 * differ in some of this may still end targets for the same reason: a page that is requested with
 * different parameters, or a document that many callers read. So a request has wider fingerprints
 * too, without the parameters and without the caller.
 *
 * The digests are cryptographic, so that nobody can construct a request with the same digest as
 * someone else's to have that one held out. The narrower ones include the caller's address, from
 * which only that caller can connect. They are computed when they are first used, which on most
 * days is never; all three take some 10 us.
 */
import { createHash } from 'node:crypto';
import { HEAD_DIGEST_LENGTH } from '../../balance/index.js';
import type { OutgoingBody } from './outgoing-request.js';

/** The parts of a request that identify it. */
export interface RequestTraits {
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** IP address of the caller. */
  readonly caller: string;
  readonly body: OutgoingBody;
  /** Length of the body, as far as it is known. */
  readonly bodyBytes: number;
}

/**
 * Hashes the parts with their lengths, so that bytes can't move from one part to the next without
 * changing the digest.
 */
function hashParts(parts: readonly string[], body?: Buffer): string {
  const hash = createHash('sha256').update(parts.map((part) => `${part.length}:${part}`).join(''));
  if (body !== undefined) hash.update(body);
  return hash.digest('base64url').slice(0, HEAD_DIGEST_LENGTH);
}

/** The fingerprints of one request. */
export class RequestIdentity {
  #headDigests: readonly string[] | undefined;

  #fingerprints: readonly string[] | undefined;

  constructor(private readonly traits: RequestTraits) {}

  /** The first half of each fingerprint, which covers everything except the body. */
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

  /**
   * The fingerprints from the narrowest to the widest. A body that is not buffered counts by its
   * length.
   */
  get fingerprints(): readonly string[] {
    if (this.#fingerprints !== undefined) return this.#fingerprints;
    const { body, bodyBytes } = this.traits;
    const bodyDigest =
      body.kind === 'whole'
        ? hashParts(['held'], body.data)
        : hashParts(['streamed', `${bodyBytes}`]);
    this.#fingerprints = this.headDigests.map((headDigest) => headDigest + bodyDigest);
    return this.#fingerprints;
  }
}
