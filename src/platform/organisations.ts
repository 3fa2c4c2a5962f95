/**
 * Organisations in the operators' configuration: decodes them, and replaces their keys by digests.
 *
 * Error messages name the place of a key, never the key. Only the store holds plain keys: a daemon
 * converts a text by {@link replaceKeys} before it keeps it or sends it to another daemon.
 */
import { createHash } from 'node:crypto';
import { type JsonObject, isJsonObject } from '../kernel/index.js';
import { type Organisation, OrganisationTable, type Quota } from '../routing/index.js';
import {
  DecodeError,
  describeSyntaxError,
  readList,
  readNumber,
  readObject,
  readText,
} from './document-reader.js';

/** Fields of the configuration document. */
const FIELDS = {
  organisations: 'tenants',
  keys: 'api_keys',
  /** In place of {@link FIELDS.keys} in a converted text. */
  keyDigests: 'key_digests',
  /** In a converted text: why the original could not be read. */
  fault: 'fault',
} as const;

/** Bytes of a SHA-256 digest that are kept: 128 bits. */
const DIGEST_BYTES = 16;

const DIGEST_PATTERN = /^[0-9a-f]{32}$/;

/**
 * Keys that are converted in one event-loop iteration. A digest takes 2 to 4 µs, so a slice blocks
 * the event loop for about 2 ms.
 */
const KEYS_PER_SLICE = 500;

/** What HTTP allows in a header value, without spaces at its ends. */
const HEADER_VALUE_PATTERN =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/**
 * Computes the digest of a key in 32 hexadecimal digits.
 *
 * @param encoding `latin1` for the value of a header, whose characters are the bytes received
 */
export function computeKeyDigest(key: string, encoding: 'utf8' | 'latin1' = 'utf8'): string {
  return createHash('sha256').update(key, encoding).digest().toString('hex', 0, DIGEST_BYTES);
}

/** Whether a text has the form of a key digest. */
export function isKeyDigest(text: string): boolean {
  return DIGEST_PATTERN.test(text);
}

function readAmount(value: unknown, what: string): number {
  const amount = readNumber(value ?? 0, what);
  if (amount < 0) throw new DecodeError(what, 'a number from 0 on');
  return amount;
}

function readQuota(entry: JsonObject, place: string): Quota | undefined {
  // `null` is not a number, in contrast to a field that is left out.
  const [rate, burst] = ['rate_per_s', 'burst'].map((field) =>
    entry[field] === null
      ? readNumber(null, `${place}: ${field}`)
      : readAmount(entry[field], `${place}: ${field}`),
  );
  return rate > 0 ? { rate, burst } : undefined;
}

function readName(entry: JsonObject, place: string): string {
  const name = readText(entry.name, `${place}: name`);
  if (name.trim() === '') throw new DecodeError(`${place}: name`, 'a text that is not empty');
  if (!HEADER_VALUE_PATTERN.test(name)) throw new DecodeError(`${place}: name`, 'a header value');
  return name;
}

function readDigests(entry: JsonObject, place: string): readonly string[] {
  const what = (index: number) => `${place}: ${FIELDS.keys}[${index}]`;
  const readKeys = (value: unknown) => readList(value ?? [], `${place}: ${FIELDS.keys}`);
  const checkNull = (field: string) => {
    if (entry[field] === null) throw new DecodeError(`${place}: ${FIELDS.keys}`, 'a list');
  };
  checkNull(FIELDS.keys);
  checkNull(FIELDS.keyDigests);
  const digests = readKeys(entry[FIELDS.keyDigests]).map((value, index) => {
    const digest = readText(value, what(index));
    if (digest === '') throw new DecodeError(what(index), 'a key that is not empty');
    if (!isKeyDigest(digest)) throw new DecodeError(what(index), 'a digest');
    return digest;
  });
  const keys = readKeys(entry[FIELDS.keys]).map((value, index) => {
    const key = readText(value, what(index));
    if (key.trim() === '') throw new DecodeError(what(index), 'a key that is not empty');
    return computeKeyDigest(key);
  });
  return keys.length === 0 ? digests : [...digests, ...keys];
}

/**
 * Reads the organisations of a configuration; undefined when it has none. Throws a
 * {@link DecodeError} that names the first wrong part.
 */
export function readOrganisations(document: JsonObject): OrganisationTable | undefined {
  if (!(FIELDS.organisations in document)) return undefined;
  const organisations = new Map<string, Organisation>();
  const byKeyDigest = new Map<string, Organisation>();
  const entries = readList(document[FIELDS.organisations], FIELDS.organisations);
  for (const [index, value] of entries.entries()) {
    const position = `${FIELDS.organisations}[${index}]`;
    const entry = readObject(value, position);
    const name = readName(entry, position);
    const place = `${position} (${name})`;
    if (organisations.has(name)) {
      throw new DecodeError(`${place}: name`, 'a name that no other organisation has');
    }
    const organisation = {
      ...{ name, quota: readQuota(entry, place) },
      priority: entry.priority === undefined ? 0 : readNumber(entry.priority, `${place}: priority`),
    };
    organisations.set(name, organisation);
    for (const [keyIndex, digest] of readDigests(entry, place).entries()) {
      const holder = byKeyDigest.get(digest);
      if (holder !== undefined && holder !== organisation) {
        throw new DecodeError(
          `${place}: ${FIELDS.keys}[${keyIndex}]`,
          `a key that no other organisation has; ${holder.name} has it`,
        );
      }
      byKeyDigest.set(digest, organisation);
    }
  }
  return new OrganisationTable([...organisations.values()], byKeyDigest);
}

/** Throws the fault of the original text, which a converted text keeps. */
export function checkConversion(document: JsonObject): void {
  const fault = document[FIELDS.fault];
  if (!isJsonObject(fault)) return;
  const { what, expected } = fault;
  if (typeof what === 'string' && typeof expected === 'string') {
    throw new DecodeError(what, expected);
  }
}

/**
 * Whether a configuration text may hold plain keys. An escape could hide a field's name, so a text
 * with one counts as well.
 */
export function mayHoldKeys(text: string): boolean {
  return /\\u/.test(text) || text.includes(FIELDS.organisations) || text.includes(FIELDS.keys);
}

/** Digest of a key; values that are no keys become ones that are rejected when decoded. */
function hashKey(key: unknown): string | null {
  if (typeof key !== 'string') return null;
  return key.trim() === '' ? '' : computeKeyDigest(key);
}

function replaceEntries(value: unknown, convert: (entry: unknown) => unknown): unknown {
  if (value === undefined) return undefined;
  return Array.isArray(value) ? value.map(convert) : null;
}

/** Returns a value of the expected type; `null` keeps a wrong one wrong, without its content. */
function keepType(value: unknown, type: 'string' | 'number'): unknown {
  if (value === undefined) return undefined;
  return typeof value === type ? value : null;
}

/** Copies an organisation without its keys. Unknown fields are left out: one may hold a key. */
function composeEntry(entry: JsonObject): Record<string, unknown> {
  return {
    name: keepType(entry.name, 'string') ?? null,
    priority: keepType(entry.priority, 'number'),
    rate_per_s: keepType(entry.rate_per_s, 'number'),
    burst: keepType(entry.burst, 'number'),
    [FIELDS.keyDigests]: replaceEntries(entry[FIELDS.keyDigests], (digest) =>
      keepType(digest, 'string'),
    ),
  };
}

function pauseSlice(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function hashKeys(keys: unknown): Promise<unknown> {
  if (!Array.isArray(keys)) return null;
  const digests: unknown[] = [];
  for (let start = 0; start < keys.length; start += KEYS_PER_SLICE) {
    if (start > 0) await pauseSlice();
    for (const key of keys.slice(start, start + KEYS_PER_SLICE)) digests.push(hashKey(key));
  }
  return digests;
}

async function replaceOrganisations(entries: unknown): Promise<unknown> {
  if (!Array.isArray(entries)) return null;
  const converted: unknown[] = [];
  let keysInSlice = 0;
  for (const entry of entries as readonly unknown[]) {
    if (!isJsonObject(entry)) {
      converted.push(null);
      continue;
    }
    const copy = composeEntry(entry);
    const keys = entry[FIELDS.keys];
    if (keys !== undefined) {
      keysInSlice += Array.isArray(keys) ? keys.length : 0;
      const digests = await hashKeys(keys);
      const known = copy[FIELDS.keyDigests];
      copy[FIELDS.keyDigests] =
        Array.isArray(known) && Array.isArray(digests) ? [...known, ...digests] : digests;
    }
    converted.push(copy);
    if (keysInSlice < KEYS_PER_SLICE) continue;
    keysInSlice = 0;
    await pauseSlice();
  }
  return converted;
}

/**
 * Returns a configuration text with digests in place of keys. It is decoded to the same
 * organisations as the original, or rejected for the same reason. Never rejects; yields to the
 * event loop between slices of the work.
 */
export async function replaceKeys(text: string): Promise<string> {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (error) {
    const fault = { what: describeSyntaxError(error), expected: 'JSON' };
    return JSON.stringify({ [FIELDS.fault]: fault });
  }
  if (!isJsonObject(document)) {
    return JSON.stringify({ [FIELDS.fault]: { what: 'document', expected: 'an object' } });
  }
  if (!(FIELDS.organisations in document)) return text;
  await pauseSlice();
  const organisations = await replaceOrganisations(document[FIELDS.organisations]);
  await pauseSlice();
  const converted = JSON.stringify({ ...document, [FIELDS.organisations]: organisations });
  await pauseSlice();
  return converted;
}
