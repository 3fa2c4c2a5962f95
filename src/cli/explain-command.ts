/** Puts the lines of one request from several daemons' logs in order and says what they mean. */
import { readFileSync } from 'node:fs';
import {
  type Command,
  type CommandInput,
  type CommandResult,
  EXIT,
  createResult,
  rejectUsage,
} from './command.js';

/** One line of a log, read. */
export interface LogLine {
  readonly time: string;
  readonly fields: Readonly<Record<string, string>>;
}

const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Reads a line of key=value pairs; undefined when it has no event. */
export function parseLogLine(text: string): LogLine | undefined {
  const fields: Record<string, string> = {};
  for (const [, key, value] of text.matchAll(PAIR)) {
    fields[key] = value.startsWith('"') ? (JSON.parse(value) as string) : value;
  }
  if (fields.event === undefined || fields.time === undefined) return undefined;
  return { time: fields.time, fields };
}

/** Says in a sentence what a line tells of a request. */
export function explainLine({ fields }: LogLine): string {
  const { vm, target, outcome, reason, took, held, sendings, told, service } = fields;
  const end = fields.ended === 'true' ? ', and has ended' : '';
  switch (fields.event) {
    case 'attempt.failed':
      return (
        `${vm} had sent it to target ${target}: ${outcome} (${reason}) after ${took} ms; ` +
        `the target had ${fields.calls} calls, worked ${fields.slowdown} times as long as usual, ` +
        `and had reported that ${fields.report_age} ms before${end}`
      );
    case 'poison.suspected':
      return (
        `${vm}: target ${target} ended ${fields.ran} ms after it had begun to run it (${fields.path}), ` +
        `${fields.ended} so far under what it is known by (${fields.alike} at its widest)`
      );
    case 'poison.heard':
      return `${vm} heard from ${fields.from} that ${fields.ended} targets have ended under it`;
    case 'poison.tried':
      return `${vm} sent it to target ${target} (release ${fields.release}), apart from others like it`;
    case 'poison.cleared':
      return `${vm}: a target has run it to its end, so nothing is held against it`;
    case 'request.told':
      return (
        `${vm} answered by itself after ${held} ms and ${sendings} sendings to ${service}: ` +
        `${told === 'not-run' ? 'it has not run' : 'nobody knows whether it ran'} (${reason})`
      );
    case 'request.refused':
      return `${vm} turned it away before looking for a target: ${told} for ${fields.path}`;
    case 'request.late':
      return (
        `${vm} passed on the answer of target ${target} after its aim (${fields.why}): ` +
        `${fields.aim_left} ms were left when it came, ${fields.waited} ms until it was sent, ${held} ms in all`
      );
    case 'request.answered':
      return (
        `${vm} passed on the answer of target ${target} after ${held} ms: ${fields.before} ms until ` +
        `the sending, ${fields.head} ms until the answer began, ${sendings} sendings`
      );
    default:
      return `${vm}: ${fields.event}`;
  }
}

/** Reads the lines of log files that have an event. */
export function readLines(files: readonly string[]): readonly LogLine[] {
  return files
    .flatMap((file) => readFileSync(file, 'utf8').split('\n'))
    .map(parseLogLine)
    .filter((line) => line !== undefined);
}

/**
 * Tells the story of a request from lines of any daemons, in the order of their times.
 *
 * @param id that of one try, or a name of the request, by which all its tries are found
 */
export function explainRequest(id: string, lines: readonly LogLine[]): readonly string[] {
  return lines
    .filter(({ fields }) => [fields.id, fields.request, fields.alike].includes(id))
    .sort((a, b) => (a.time < b.time ? -1 : Number(a.time > b.time)))
    .map((line) => `${line.time}  ${explainLine(line)}`);
}

async function runExplain({ operands }: CommandInput): Promise<CommandResult> {
  const [id, ...files] = operands;
  if (id === undefined || files.length === 0) {
    return rejectUsage('no identifier or no file', 'an identifier and log files');
  }
  let lines: readonly LogLine[];
  try {
    lines = readLines(files);
  } catch (error) {
    return rejectUsage((error as Error).message, 'log files that can be read');
  }
  const story = explainRequest(id, lines);
  if (story.length === 0) {
    const text = `no line names ${id}: it was answered well, or its lines were left out (dropped=N)`;
    return createResult(EXIT.failed, text, { id, story });
  }
  return createResult(EXIT.ok, story.join('\n'), { id, story });
}

/** The command. */
export const explainCommand: Command = {
  name: 'explain',
  operands: 'ID FILE…',
  summary: 'tell the story of one request from the logs of several daemons',
  options: {},
  run: runExplain,
};
