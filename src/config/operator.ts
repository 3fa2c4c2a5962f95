/** Operators: who may act on the configuration, and how a token is checked. */
import { randomBytes, scrypt, timingSafeEqual } from 'node:crypto';
import { promisify } from 'node:util';
import { Either, Left, Right } from 'purify-ts';
import {
  type Fields,
  type Mistake,
  checkSection,
  describeChoice,
  describeList,
  describeName,
  describeText,
  readIni,
} from '../settings/index.js';

/** What an operator may do with the services named. */
export const ROLES = ['view', 'edit', 'admin'] as const;

/** One of {@link ROLES}; each includes the ones before it. */
export type Role = (typeof ROLES)[number];

const operatorFields = {
  credential: describeText('Hash of the token, from "orchidbeam operator hash"'),
  role: describeChoice('What the operator may do', ROLES),
  services: describeList(describeName('Services it may act on; empty for all'), []),
} satisfies Fields;

/** The sections of an operator document, for the reference. */
export const operatorSections = { operator: operatorFields } as const;

/** A checked operator. */
export interface Operator {
  readonly name: string;
  readonly credential: string;
  readonly role: Role;
  /** Names of the services; empty means all. */
  readonly services: readonly string[];
}

const KEY_BYTES = 32;
const SALT_BYTES = 16;

// The hash is computed off the main thread, since calls pass through the same process.
const deriveKey = promisify<string, Buffer, number, Buffer>(scrypt);

/** Hashes a token for storage. The token itself is never stored or logged. */
export async function hashToken(token: string, salt = randomBytes(SALT_BYTES)): Promise<string> {
  const hash = await deriveKey(token, salt, KEY_BYTES);
  return `scrypt:${salt.toString('base64url')}:${hash.toString('base64url')}`;
}

const CREDENTIAL = /^scrypt:([\w-]+):([\w-]+)$/;

/** Tells whether `token` is the one that was hashed into `credential`. */
export async function matchToken(token: string, credential: string): Promise<boolean> {
  const match = CREDENTIAL.exec(credential);
  if (match === null) return false;
  const [, salt = '', hash = ''] = match;
  const expected = Buffer.from(hash, 'base64url');
  const given = await deriveKey(token, Buffer.from(salt, 'base64url'), KEY_BYTES);
  return expected.length === given.length && timingSafeEqual(expected, given);
}

/** Tells whether an operator may act in `role` on `service`; undefined means on all services. */
export function allowsRole(operator: Operator, role: Role, service: string | undefined): boolean {
  if (ROLES.indexOf(operator.role) < ROLES.indexOf(role)) return false;
  if (operator.services.length === 0) return true;
  return service !== undefined && operator.services.includes(service);
}

/** Checks the text of an operator document. */
export function checkOperator(
  file: string,
  name: string,
  text: string,
): Either<readonly Mistake[], Operator> {
  const ini = readIni(file, text);
  if (ini.mistakes.length > 0) return Left(ini.mistakes);
  const section = ini.sections.find((candidate) => candidate.name === 'operator');
  if (section === undefined || ini.sections.length !== 1) {
    const what = 'an operator document has other sections';
    return Left([{ file, line: 0, what, expected: 'one section [operator]' }]);
  }
  return checkSection(file, section, operatorFields).chain((values) => {
    if (CREDENTIAL.test(values.credential)) return Right({ ...values, name });
    const { line } = section.entries.find((entry) => entry.key === 'credential') ?? section;
    const expected = 'a hash from "orchidbeam operator hash"';
    return Left([{ file, line, what: 'credential is not a hash', expected }]);
  });
}
