/** Maps the head of a request to the organisation that sends it, or to the reason to reject it. */
import type { IncomingMessage } from 'node:http';
import type { Clock, Log, TextMetrics } from '../../kernel/index.js';
import { HEADERS, computeKeyDigest, readHeader } from '../../platform/index.js';
import type { Organisation, Route, RouteTable } from '../../routing/index.js';
import type { CarriedIdentity, CarriedTerms } from '../carrying/carried-terms.js';
import type { KeyRejectionReason, LocalAnswer } from './answers.js';

/** How an organisation was identified. */
export interface Credential {
  readonly keyDigest: string;
  /** The version of the configuration by which it was. */
  readonly version: number;
}

/** Who sends a request, where callers are identified by keys. */
export interface CallerIdentity {
  /** Undefined for a request to a public route without a known key. */
  readonly organisation?: Organisation;
  readonly credential?: Credential;
}

/** The outcome of authentication. */
export type Authentication =
  | {
      readonly kind: 'accepted';
      /** Undefined where requests need no key. */
      readonly identity: CallerIdentity | undefined;
    }
  | { readonly kind: 'rejected'; readonly answer: LocalAnswer };

/** Parts of the configuration in force that authentication uses. */
export interface AuthenticationTerms {
  readonly table: Pick<RouteTable, 'version' | 'organisations'>;
  readonly route: Pick<Route, 'isPublic'>;
  /** Whether requests that need a key are rejected, as the configuration is unconfirmed. */
  readonly isUnconfirmed: () => boolean;
}

/** Retry-After while the configuration is unconfirmed, in milliseconds. */
const UNCONFIRMED_RETRY_AFTER_MS = 300;

/** Shortest time between two log lines about rejected keys, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

const WITHOUT_KEYS: Authentication = { kind: 'accepted', identity: undefined };

function reject(reason: KeyRejectionReason): Authentication {
  return { kind: 'rejected', answer: { kind: 'unauthenticated', reason } };
}

/** Accepts what the first daemon has found, unless a newer configuration no longer has the key. */
function authenticateCarried(
  identity: CarriedIdentity,
  { table }: AuthenticationTerms,
): Authentication {
  const { organisations, version } = table;
  const { organisation: name, keyDigest, version: firstVersion } = identity;
  const isRevoked =
    organisations !== undefined &&
    version > firstVersion &&
    organisations.findByKeyDigest(keyDigest) === undefined;
  if (isRevoked) return reject('unknown-key');
  const organisation = organisations?.findByName(name) ?? { name, priority: 0, quota: undefined };
  const credential = { keyDigest, version: firstVersion };
  return { kind: 'accepted', identity: { organisation, credential } };
}

/**
 * Identifies the organisation that sends a request.
 *
 * @param carried the terms of a call that another daemon has sent here to be carried
 */
export function authenticate(
  request: Pick<IncomingMessage, 'headers'>,
  terms: AuthenticationTerms,
  carried?: Pick<CarriedTerms, 'identity'>,
): Authentication {
  if (carried?.identity !== undefined) return authenticateCarried(carried.identity, terms);
  const { organisations, version } = terms.table;
  if (organisations === undefined) return WITHOUT_KEYS;
  const isPublic = terms.route.isPublic === true;
  if (!isPublic && terms.isUnconfirmed()) {
    const retryAfter = UNCONFIRMED_RETRY_AFTER_MS;
    return { kind: 'rejected', answer: { kind: 'not-run', reason: 'unconfirmed', retryAfter } };
  }
  // Several headers are joined by the parser, and identify nobody.
  const key = readHeader(request.headers, HEADERS.apiKey) ?? '';
  const keyDigest = key === '' ? '' : computeKeyDigest(key, 'latin1');
  const organisation = key === '' ? undefined : organisations.findByKeyDigest(keyDigest);
  if (organisation !== undefined) {
    return { kind: 'accepted', identity: { organisation, credential: { keyDigest, version } } };
  }
  if (isPublic) return { kind: 'accepted', identity: {} };
  return reject(key === '' ? 'missing-key' : 'unknown-key');
}

/** Dependencies of the log of rejected keys. */
export interface KeyRejectionLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
}

/** A rejected request, without its key. */
export interface KeyRejection {
  /** The IP address of the caller. */
  readonly caller: string;
  readonly route: string;
  readonly reason: KeyRejectionReason;
}

/** Counts rejected keys, and logs at most one line a second about them. */
export class KeyRejectionLog {
  #last: KeyRejection | undefined;

  #count = 0;

  #isWaiting = false;

  constructor(private readonly options: KeyRejectionLogOptions) {}

  /** Records a rejection; the log line has the latest one and their number. */
  record(rejection: KeyRejection): void {
    this.options.metrics.count('keys_rejected');
    this.#last = rejection;
    this.#count += 1;
    if (!this.#isWaiting) this.#writeLine();
  }

  #writeLine(): void {
    const { clock, log } = this.options;
    this.#isWaiting = this.#count > 0;
    if (this.#last === undefined || !this.#isWaiting) return;
    const { caller, route, reason } = this.#last;
    log.warn('key.rejected', { from: caller, route, reason, count: this.#count });
    this.#count = 0;
    clock.schedule(LOG_INTERVAL_MS, () => this.#writeLine());
  }
}
