/** Commands that show how the system is doing. */
import { request } from 'undici';
import type { EntryStatus, ServiceStatus } from '../entry/index.js';
import {
  type Command,
  type CommandInput,
  type CommandResult,
  EXIT,
  createResult,
  rejectUsage,
} from './command.js';
import { CLIENT_OPTIONS, callAdmin, describeReply } from './client.js';

const MEGABYTE = 1024 * 1024;

function formatService(service: ServiceStatus): readonly string[] {
  const { counts } = service;
  const ended = `answered=${counts.answered} not-run=${counts.notRun} unknown=${counts.unknown} cut=${counts.cut}`;
  const place = service.isHome ? 'home here' : `home at ${service.homes.join(', ')}`;
  const lines = [
    `service ${service.name}: ${place}, ${Math.round(service.rate)}/s, ${ended} relayed=${counts.relayed} retries=${service.retries} hedges=${service.hedges}`,
  ];
  for (const pool of service.pools) {
    const busy = Math.round(pool.busy * 100);
    lines.push(
      `  pool ${pool.name}: busy ${busy}%, waiting ${pool.waiting}, measuring spent ${pool.measured} ms`,
    );
    for (const target of pool.targets) {
      const load = `${target.inFlight}/${target.limit}`;
      const latency = `${target.latency.toFixed(1)} ms`;
      lines.push(`    ${target.address} ${load} ${latency} ${target.state}: ${target.why}`);
    }
  }
  return lines;
}

function formatStatus(body: unknown): string {
  const status = body as EntryStatus;
  const proof =
    status.proofAge === null ? 'never shown current' : `shown current ${status.proofAge} ms ago`;
  const lines = [
    `entry ${status.name} in ${status.domain}: ${status.state}, revision ${status.revision}, ${proof}`,
    `calls ${status.active}, connections ${status.connections}, memory ${Math.round(status.memory / MEGABYTE)} MB`,
    ...status.members.map(
      (member) =>
        `member ${member.name} in ${member.domain}: ${member.state}, callers at ${member.callers}`,
    ),
    ...status.services.flatMap(formatService),
  ];
  if (status.configFault !== undefined) lines.push(`configuration refused: ${status.configFault}`);
  return lines.join('\n');
}

async function showStatus(input: CommandInput): Promise<CommandResult> {
  return describeReply(await callAdmin(input, 'GET', '/v1/status'), formatStatus);
}

async function listEntries(input: CommandInput): Promise<CommandResult> {
  const [service] = input.operands;
  const { callers } = input.options;
  if (service === undefined || typeof callers !== 'string') {
    return rejectUsage('a service and --callers are needed', 'entries SERVICE --callers ADDRESS');
  }
  const url = `http://${callers}/.well-known/orchidbeam/entries?service=${encodeURIComponent(service)}`;
  try {
    const reply = await request(url);
    const body = await reply.body.json();
    const code = reply.statusCode === 200 ? EXIT.ok : EXIT.failed;
    return createResult(code, JSON.stringify(body, null, 2), body);
  } catch {
    return createResult(EXIT.unavailable, `${callers} does not answer; expected an entry there`);
  }
}

/** The commands that show the state of entries. */
export const statusCommands: readonly Command[] = [
  {
    name: 'status',
    operands: '',
    summary: 'Show an entry: members, configuration, services, targets and why each is used or not',
    options: CLIENT_OPTIONS,
    run: showStatus,
  },
  {
    name: 'entries',
    operands: 'SERVICE',
    summary: 'Ask which entry addresses callers of a service use',
    options: { callers: { type: 'string', doc: "any entry's address for callers" } },
    run: listEntries,
  },
];
