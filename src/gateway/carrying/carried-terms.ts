/**
 * What one daemon tells another about a call that it asks it to carry, in one header.
 *
 * The header is authenticated with a key that only daemons can read, so that nobody else can use
 * the way in. The code covers the carrier and the request line, and can't be used for another call.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { isKeyDigest } from '../../platform/index.js';

/** The header of a carried call. A caller's header of that name has no effect and is dropped. */
export const CARRIED_HEADER = 'Orchidbeam-Carried';

/** What anybody but a daemon of this fleet is told. */
export const UNAUTHORISED_REASON = 'unauthorised';

/** How the first daemon has identified the organisation that sends a call. */
export interface CarriedIdentity {
  /** The name of the organisation. */
  readonly organisation: string;
  readonly keyDigest: string;
  /** The version of the configuration by which it was identified. */
  readonly version: number;
}

/** The terms of a carried call. */
export interface CarriedTerms {
  /** The service that the first daemon has chosen for it. */
  readonly service: string;
  /** The IP address of the caller. */
  readonly caller: string;
  /** Time left until the answer is no longer fully useful to the caller, in milliseconds. */
  readonly aimLeft: number;
  /** Attempts that may have reached a target before. */
  readonly attempts: number;
  /** Whether the first daemon has counted the call for its retry budget. */
  readonly isCounted: boolean;
  /** Whether the first daemon has taken the repeat from its retry budget, if it is one. */
  readonly isPaid: boolean;
  /** Undefined for a call that needed no key at the first daemon. */
  readonly identity?: CarriedIdentity;
}

/** The request that the terms belong to. */
export interface CarriedRequestLine {
  /** The IP address of the daemon that carries it. */
  readonly carrier: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
}

/** Length of the code, in hexadecimal digits: 128 bits. */
const CODE_LENGTH = 32;

const FIELD_COUNT = 6;

/** Fields of an identity. A call without one has terms that the previous build accepts as well. */
const IDENTITY_FIELD_COUNT = 3;

function formatTerms(terms: CarriedTerms): string {
  const { service, caller, aimLeft, attempts, isCounted, isPaid, identity } = terms;
  return [
    ...[encodeURIComponent(service), encodeURIComponent(caller), Math.round(aimLeft)],
    ...[attempts, Number(isCounted), Number(isPaid)],
    ...(identity === undefined
      ? []
      : [encodeURIComponent(identity.organisation), identity.keyDigest, identity.version]),
  ].join(' ');
}

/** Parses the fields of an identity; throws an error for text that can't be decoded. */
function parseIdentity(fields: readonly string[]): CarriedIdentity | undefined {
  const [name = '', keyDigest = '', version] = fields;
  const identity = {
    ...{ organisation: decodeURIComponent(name), keyDigest },
    version: Number(version),
  };
  const isValid = name !== '' && isKeyDigest(keyDigest) && Number.isFinite(identity.version);
  return isValid ? identity : undefined;
}

function parseTerms(text: string): CarriedTerms | undefined {
  const fields = text.split(' ');
  const hasIdentity = fields.length === FIELD_COUNT + IDENTITY_FIELD_COUNT;
  if (fields.length !== FIELD_COUNT && !hasIdentity) return undefined;
  const [service, caller, aimLeft, attempts, counted, paid] = fields;
  const terms = {
    ...{ aimLeft: Number(aimLeft), attempts: Number(attempts) },
    ...{ isCounted: counted === '1', isPaid: paid === '1' },
  };
  if (!Number.isFinite(terms.aimLeft) || !(terms.attempts >= 0)) return undefined;
  try {
    const decoded = {
      ...{ service: decodeURIComponent(service), caller: decodeURIComponent(caller) },
      ...terms,
    };
    if (!hasIdentity) return decoded;
    const identity = parseIdentity(fields.slice(FIELD_COUNT));
    return identity === undefined ? undefined : { ...decoded, identity };
  } catch {
    return undefined;
  }
}

function computeCode(key: string, line: CarriedRequestLine, terms: string): string {
  const { carrier, requestId, method, path } = line;
  return createHmac('sha256', key)
    .update([carrier, requestId, method, path, terms].join('\n'))
    .digest('hex')
    .slice(0, CODE_LENGTH);
}

/** Composes the value of the header. */
export function composeCarriedHeader(
  key: string,
  line: CarriedRequestLine,
  terms: CarriedTerms,
): string {
  const text = formatTerms(terms);
  return `${text} ${computeCode(key, line, text)}`;
}

/** Checks the value of the header; undefined unless it comes from a daemon of this fleet. */
export function checkCarriedHeader(
  key: string,
  line: CarriedRequestLine,
  value: string,
): CarriedTerms | undefined {
  const end = value.lastIndexOf(' ');
  if (end < 0) return undefined;
  const text = value.slice(0, end);
  const given = Buffer.from(value.slice(end + 1));
  const expected = Buffer.from(computeCode(key, line, text));
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) return undefined;
  return parseTerms(text);
}
