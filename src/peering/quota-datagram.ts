/**
 * Encodes what daemons send each other about quotas: requests for tokens of an organisation, and
 * the grants that answer them.
 *
 * An organisation is identified by a 48-bit hash of its name, and amounts are in hundredths of a
 * token, which keeps an entry below 25 bytes.
 */

/** A daemon's request for tokens of an organisation. */
export interface TokenRequest {
  /** The hash of the organisation's name. */
  readonly organisation: number;
  /** How many tokens it could use now. */
  readonly wanted: number;
  /** Identifies the request at its sender. */
  readonly id: number;
}

/** The reply to a request for tokens. */
export interface TokenGrant {
  /** The hash of the organisation's name. */
  readonly organisation: number;
  /** How many tokens it lends; 0 when it has none to lend. */
  readonly amount: number;
  /** The identifier of the request. */
  readonly id: number;
  /** How many more tokens it could have lent. */
  readonly left: number;
}

/** What one datagram holds. */
export interface QuotaMessages {
  readonly requests: readonly TokenRequest[];
  readonly grants: readonly TokenGrant[];
}

/** The most requests and grants together that a datagram may hold. */
export const MAX_QUOTA_MESSAGES = 100;

const TOKEN_STEPS = 100;

const REQUEST_LENGTH = 3;
const GRANT_LENGTH = 4;

/** Encodes requests and grants as two lists of numbers. */
export function encodeQuotaMessages({
  requests,
  grants,
}: QuotaMessages): readonly (readonly number[])[] {
  return [
    // What is wanted is rounded up and what is lent down, so that no token appears by rounding.
    requests.flatMap(({ organisation, wanted, id }) => [
      ...[organisation, Math.ceil(wanted * TOKEN_STEPS), id],
    ]),
    grants.flatMap(({ organisation, amount, id, left }) => [
      ...[organisation, Math.floor(amount * TOKEN_STEPS), id, Math.floor(left * TOKEN_STEPS)],
    ]),
  ];
}

/** Splits a list of numbers into entries; undefined when it is no such list. */
function decodeEntries(value: unknown, length: number): readonly (readonly number[])[] | undefined {
  if (!Array.isArray(value) || value.length % length !== 0) return undefined;
  if (value.length > MAX_QUOTA_MESSAGES * length) return undefined;
  const entries: (readonly number[])[] = [];
  for (let at = 0; at < value.length; at += length) {
    const entry = value.slice(at, at + length) as readonly unknown[];
    if (!entry.every((field) => Number.isSafeInteger(field) && Number(field) >= 0))
      return undefined;
    entries.push(entry as readonly number[]);
  }
  return entries;
}

/** Decodes the fields of a datagram; undefined when they are invalid. */
export function decodeQuotaMessages(fields: readonly unknown[]): QuotaMessages | undefined {
  const requests = decodeEntries(fields[0], REQUEST_LENGTH);
  const grants = decodeEntries(fields[1], GRANT_LENGTH);
  if (requests === undefined || grants === undefined) return undefined;
  if (requests.length + grants.length > MAX_QUOTA_MESSAGES) return undefined;
  return {
    requests: requests.map(([organisation, wanted, id]) => ({
      ...{ organisation, wanted: wanted / TOKEN_STEPS, id },
    })),
    grants: grants.map(([organisation, amount, id, left]) => ({
      ...{ organisation, amount: amount / TOKEN_STEPS, id, left: left / TOKEN_STEPS },
    })),
  };
}
