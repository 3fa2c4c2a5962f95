/** Commands on the configuration: draft, show, accept, history, undo, audit. */
import { readFileSync } from 'node:fs';
import { basename, dirname } from 'node:path';
import { Either, Left, Right } from 'purify-ts';
import type { AuditRecord } from '../config/index.js';
import {
  type Command,
  type CommandInput,
  type CommandResult,
  EXIT,
  createResult,
  rejectUsage,
} from './command.js';
import { type AdminReply, CLIENT_OPTIONS, callAdmin, describeReply } from './client.js';

interface DraftBody {
  readonly id: string;
  readonly base: number;
  readonly diff: string;
}

interface AcceptBody {
  readonly record: AuditRecord;
}

interface InForceBody {
  readonly revision: number;
  readonly entries: readonly { readonly name: string; readonly revision: number | null }[];
  readonly missing: readonly string[];
}

interface HistoryBody {
  readonly records: readonly AuditRecord[];
  readonly next: number | null;
}

const MESSAGE_OPTION = { type: 'string', doc: 'why the change is made' } as const;
const POLL_INTERVAL = 250;
const DEFAULT_WAIT = 18;
const PAGE = 100;

/** Reads `DIR/service/NAME.ini` or `NAME=FILE`; a name alone after `-` removes the document. */
function readDocument(operand: string): Either<string, readonly [string, string | null]> {
  if (operand.startsWith('-')) return Right([operand.slice(1), null]);
  const [before = '', after] = operand.split('=', 2);
  const file = after ?? before;
  const name = after === undefined ? nameFile(file) : before;
  try {
    return Right([name, readFileSync(file, 'utf8')]);
  } catch {
    return Left(file);
  }
}

function nameFile(file: string): string {
  return `${basename(dirname(file))}/${basename(file, '.ini')}`;
}

function formatDraft(body: unknown): string {
  const { id, base, diff } = body as DraftBody;
  return `draft ${id} on revision ${base}\n${diff}`;
}

function formatRecord(record: AuditRecord): string {
  const when = new Date(record.at).toISOString();
  const names = record.edits.map(({ name }) => name).join(', ');
  const who = `drafted by ${record.author}, accepted by ${record.acceptedBy}`;
  const undoes = record.undoes === undefined ? '' : ` (undoes ${record.undoes})`;
  return `${record.revision}  ${when}  ${names}  ${who}  ${record.message}${undoes}`;
}

async function draft(input: CommandInput): Promise<CommandResult> {
  if (input.operands.length === 0) {
    return rejectUsage(
      'no document was given',
      'service/NAME.ini files, or -service/NAME to remove',
    );
  }
  const documents: Record<string, string | null> = {};
  for (const operand of input.operands) {
    const read = readDocument(operand);
    if (read.isLeft()) return rejectUsage(`${operand} cannot be read`, 'a file');
    const [name, text] = read.unsafeCoerce();
    documents[name] = text;
  }
  const body = { message: input.options.message ?? '', documents };
  return describeReply(await callAdmin(input, 'POST', '/v1/drafts', body), formatDraft);
}

async function readInForce(input: CommandInput, revision: number): Promise<AdminReply | undefined> {
  return callAdmin(input, 'GET', `/v1/in-force?revision=${revision}`);
}

/** Waits until a revision is in force on every entry, or says which have not confirmed. */
async function waitInForce(input: CommandInput, revision: number): Promise<CommandResult> {
  const started = Date.now();
  const limit = Number(input.options.timeout ?? DEFAULT_WAIT) * 1000;
  for (;;) {
    const reply = await readInForce(input, revision);
    const took = Date.now() - started;
    const body = reply?.status === 200 ? (reply.body as InForceBody) : undefined;
    if (body?.missing.length === 0) {
      const text = `revision ${revision} is in force on all ${body.entries.length} entries after ${took} ms`;
      return createResult(EXIT.ok, text, { ...body, took });
    }
    if (took > limit) {
      const missing = body?.missing.join(', ') ?? 'unknown, the entry asked does not answer';
      const text = `revision ${revision} is accepted; not confirmed by: ${missing}`;
      return createResult(EXIT.notInForce, text, { revision, missing: body?.missing ?? null });
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL);
    });
  }
}

async function accept(input: CommandInput): Promise<CommandResult> {
  const [id] = input.operands;
  if (id === undefined)
    return rejectUsage('no draft was given', 'the identifier from config draft');
  const reply = await callAdmin(input, 'POST', `/v1/drafts/${id}/accept`);
  const accepted = describeReply(
    reply,
    (body) => `accepted as revision ${(body as AcceptBody).record.revision}`,
  );
  if (accepted.code !== EXIT.ok || input.options.wait !== true) return accepted;
  const waited = await waitInForce(input, (reply?.body as AcceptBody).record.revision);
  return { ...waited, text: `${accepted.text}\n${waited.text}` };
}

async function undo(input: CommandInput): Promise<CommandResult> {
  const revision = Number(input.operands[0]);
  if (!Number.isInteger(revision)) return rejectUsage('no revision was given', 'a whole number');
  const body = { revision, message: input.options.message ?? '' };
  return describeReply(await callAdmin(input, 'POST', '/v1/undo', body), formatDraft);
}

async function show(input: CommandInput): Promise<CommandResult> {
  const [name] = input.operands;
  if (name !== undefined) {
    const reply = await callAdmin(input, 'GET', `/v1/config/${name}`);
    return describeReply(reply, (body) => (body as { readonly text: string }).text);
  }
  return describeReply(await callAdmin(input, 'GET', '/v1/config'), (body) => {
    const { revision, documents } = body as {
      readonly revision: number;
      readonly documents: Readonly<Record<string, string>>;
    };
    return [`revision ${revision}`, ...Object.keys(documents)].join('\n');
  });
}

async function showDraft(input: CommandInput): Promise<CommandResult> {
  const [id] = input.operands;
  if (id === undefined)
    return rejectUsage('no draft was given', 'the identifier from config draft');
  return describeReply(await callAdmin(input, 'GET', `/v1/drafts/${id}`), formatDraft);
}

async function showHistory(input: CommandInput): Promise<CommandResult> {
  const { before, count } = input.options;
  const query = new URLSearchParams();
  if (before !== undefined) query.set('before', String(before));
  if (count !== undefined) query.set('count', String(count));
  const reply = await callAdmin(input, 'GET', `/v1/history?${query.toString()}`);
  return describeReply(reply, (body) => (body as HistoryBody).records.map(formatRecord).join('\n'));
}

async function printAudit(input: CommandInput): Promise<CommandResult> {
  const records: AuditRecord[] = [];
  let before: number | null = null;
  do {
    const query = before === null ? '' : `&before=${before}`;
    const reply = await callAdmin(input, 'GET', `/v1/history?count=${PAGE}${query}`);
    if (reply?.status !== 200) return describeReply(reply, () => '');
    const page = reply.body as HistoryBody;
    records.push(...page.records);
    before = page.next;
  } while (before !== null);
  const oldestFirst = records.toReversed();
  const text = oldestFirst.map((record) => JSON.stringify(record)).join('\n');
  return createResult(EXIT.ok, text, oldestFirst);
}

/** The commands on the configuration. */
export const configCommands: readonly Command[] = [
  {
    name: 'config draft',
    operands: 'FILE…',
    summary: 'Check documents and store them as a draft; -service/NAME removes one',
    options: { ...CLIENT_OPTIONS, message: MESSAGE_OPTION },
    run: draft,
  },
  {
    name: 'config diff',
    operands: 'DRAFT',
    summary: 'Show what a draft changes',
    options: CLIENT_OPTIONS,
    run: showDraft,
  },
  {
    name: 'config accept',
    operands: 'DRAFT',
    summary: 'Accept a draft; accepting the same draft again is safe',
    options: {
      ...CLIENT_OPTIONS,
      wait: { type: 'boolean', doc: 'return when it is in force on every entry' },
      timeout: { type: 'string', doc: `seconds to wait, ${DEFAULT_WAIT} unless given` },
    },
    run: accept,
  },
  {
    name: 'config undo',
    operands: 'REVISION',
    summary: 'Draft the change that undoes a revision',
    options: { ...CLIENT_OPTIONS, message: MESSAGE_OPTION },
    run: undo,
  },
  {
    name: 'config show',
    operands: '[NAME]',
    summary: 'List the documents in force, or show one',
    options: CLIENT_OPTIONS,
    run: show,
  },
  {
    name: 'config history',
    operands: '',
    summary: 'Show who accepted what and when, newest first',
    options: {
      ...CLIENT_OPTIONS,
      before: { type: 'string', doc: 'show revisions before this one' },
      count: { type: 'string', doc: 'how many, 20 unless given' },
    },
    run: showHistory,
  },
  {
    name: 'audit export',
    operands: '',
    summary: 'Print every audit record as a line of JSON, oldest first',
    options: CLIENT_OPTIONS,
    run: printAudit,
  },
];
