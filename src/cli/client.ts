/** Calls the administration interface of an entry. */
import { request } from 'undici';
import {
  type CommandInput,
  type CommandResult,
  EXIT,
  type ExitCode,
  createResult,
} from './command.js';

/** Options that all commands share that speak to an entry. */
export const CLIENT_OPTIONS = {
  admin: { type: 'string', doc: 'administration address, or ORCHIDBEAM_ADMIN' },
  operator: { type: 'string', doc: 'name of the operator, or ORCHIDBEAM_OPERATOR' },
} as const;

/** An answer of the administration interface. */
export interface AdminReply {
  readonly status: number;
  readonly body: unknown;
}

/** A failed answer as people read it. */
interface Problem {
  readonly title?: string;
  readonly reason?: string;
  readonly mistakes?: readonly string[];
}

const CODE_OF_STATUS: Readonly<Record<number, ExitCode>> = {
  400: EXIT.usage,
  401: EXIT.denied,
  403: EXIT.denied,
  404: EXIT.failed,
  409: EXIT.conflict,
  422: EXIT.invalid,
  503: EXIT.unavailable,
  504: EXIT.unavailable,
};

const OK = 200;

/** The token comes from the environment, never from the command line, where others could read it. */
function buildAuthorization(input: CommandInput): string {
  const name = input.options.operator ?? process.env.ORCHIDBEAM_OPERATOR ?? 'root';
  const token = process.env.ORCHIDBEAM_TOKEN ?? '';
  return `Basic ${Buffer.from(`${String(name)}:${token}`).toString('base64')}`;
}

/** Calls a route; undefined when the entry cannot be reached. */
export async function callAdmin(
  input: CommandInput,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<AdminReply | undefined> {
  const address = input.options.admin ?? process.env.ORCHIDBEAM_ADMIN ?? '127.0.0.1:8200';
  const base = String(address).includes('://') ? String(address) : `http://${String(address)}`;
  try {
    const reply = await request(`${base}${path}`, {
      method,
      headers: { authorization: buildAuthorization(input), 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: 30_000,
    });
    return { status: reply.statusCode, body: await reply.body.json() };
  } catch {
    return undefined;
  }
}

/** Makes a command's result of an answer. */
export function describeReply(
  reply: AdminReply | undefined,
  format: (body: unknown) => string,
): CommandResult {
  if (reply === undefined) {
    const text = 'the administration address does not answer; expected a running entry at --admin';
    return createResult(EXIT.unavailable, text, { error: text });
  }
  if (reply.status === OK) return createResult(EXIT.ok, format(reply.body), reply.body);
  const { title = 'failed', reason, mistakes = [] } = reply.body as Problem;
  const lines = [reason === undefined ? title : `${title}: ${reason}`, ...mistakes];
  return createResult(CODE_OF_STATUS[reply.status] ?? EXIT.failed, lines.join('\n'), reply.body);
}
