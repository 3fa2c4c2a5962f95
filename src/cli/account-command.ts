/** Counts from the logs of several daemons what became of requests that were not served well, and why. */
import { type Command, type CommandInput, type CommandResult, EXIT } from './command.js';
import { createResult, rejectUsage } from './command.js';
import { type LogLine, readLines } from './explain-command.js';

/** How many requests of a service met one cause in one span of time. */
export interface AccountRow {
  /** Start of the span, as seconds since 1970. */
  readonly from: number;
  readonly service: string;
  readonly cause: string;
  readonly count: number;
}

/** Length of a span in seconds: the users judge their worst times by as much. */
const SPAN = 2;

/** Names the cause that a line tells of; undefined for lines that tell of none. */
function nameCause({ fields }: LogLine): string | undefined {
  switch (fields.event) {
    case 'request.late':
      return `late: ${fields.why}`;
    case 'request.told':
      return `${fields.told}: ${fields.reason}${fields.sendings === '0' ? ', never sent' : ''}`;
    case 'request.refused':
      return `turned away: ${fields.told}`;
    case 'attempt.failed':
      return `attempt ${fields.outcome}`;
    case 'loop.late':
      return 'event loop late';
    case 'accept.late':
      return 'connections accepted late';
    default:
      return undefined;
  }
}

/** Counts lines by span, service and cause; a line stands for those left out before it as well. */
export function countCauses(lines: readonly LogLine[]): readonly AccountRow[] {
  const rows = new Map<string, AccountRow>();
  for (const line of lines) {
    const cause = nameCause(line);
    const at = Date.parse(line.time) / 1000;
    if (cause === undefined || Number.isNaN(at)) continue;
    const from = Math.floor(at / SPAN) * SPAN;
    const service = line.fields.service ?? '';
    const key = `${from} ${service} ${cause}`;
    const count = (rows.get(key)?.count ?? 0) + 1 + Number(line.fields.dropped ?? 0);
    rows.set(key, { from, service, cause, count });
  }
  return [...rows.values()].sort((a, b) => a.from - b.from || b.count - a.count);
}

function formatRow({ from, service, cause, count }: AccountRow): string {
  const time = new Date(from * 1000).toISOString().slice(11, 19);
  return `${time}  ${String(count).padStart(5)}  ${service.padEnd(16)} ${cause}`;
}

async function runAccount({ operands }: CommandInput): Promise<CommandResult> {
  if (operands.length === 0) return rejectUsage('no file', 'log files of daemons');
  let lines: readonly LogLine[];
  try {
    lines = readLines(operands);
  } catch (error) {
    return rejectUsage((error as Error).message, 'log files that can be read');
  }
  const rows = countCauses(lines);
  const text = rows.length === 0 ? 'no line tells of a request that was not served well' : '';
  return createResult(EXIT.ok, text || rows.map(formatRow).join('\n'), { rows });
}

/** The command. */
export const accountCommand: Command = {
  name: 'account',
  operands: 'FILE…',
  summary: 'count by time, service and cause the requests that were not served well, from logs',
  options: {},
  run: runAccount,
};
