/** Who is asking, and whether they may. */
import { createHash } from 'node:crypto';
import { type Operator, matchToken } from '../config/index.js';

/** A name with a token, as sent with a request. The token is never logged. */
export interface Credentials {
  readonly name: string;
  readonly token: string;
}

/** Reads HTTP Basic credentials. */
export function readCredentials(header: string | undefined): Credentials | undefined {
  const match = /^Basic ([A-Za-z0-9+/=]+)$/.exec(header ?? '');
  if (match === null) return undefined;
  const text = Buffer.from(match[1] ?? '', 'base64').toString('utf8');
  const colon = text.indexOf(':');
  if (colon < 1) return undefined;
  return { name: text.slice(0, colon), token: text.slice(colon + 1) };
}

const MAX_CACHED = 100;
const MAX_CHECKING = 4;

/** Checks credentials against operators; a credential that matched once is remembered by digest. */
export class Authenticator {
  readonly #matched = new Set<string>();

  #checking = 0;

  /** Returns the operator whose credential the token is; undefined for all others. */
  async authenticate(
    credentials: Credentials | undefined,
    operators: readonly Operator[],
  ): Promise<Operator | undefined> {
    if (credentials === undefined) return undefined;
    const operator = operators.find(({ name }) => name === credentials.name);
    if (operator === undefined) return undefined;
    const digest = createHash('sha256')
      .update(`${operator.name}\0${operator.credential}\0${credentials.token}`)
      .digest('hex');
    if (this.#matched.has(digest)) return operator;
    // Hashing is slow on purpose, so guesses may not take up the machine.
    if (this.#checking >= MAX_CHECKING) return undefined;
    this.#checking += 1;
    const matches = await matchToken(credentials.token, operator.credential);
    this.#checking -= 1;
    if (!matches) return undefined;
    if (this.#matched.size >= MAX_CACHED) this.#matched.clear();
    this.#matched.add(digest);
    return operator;
  }
}
