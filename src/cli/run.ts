/** Finds the command that the words name, parses its options, and runs it. */
import { parseArgs } from 'node:util';
import { suggestName } from '../settings/index.js';
import { type Command, type CommandResult, EXIT, createResult, rejectUsage } from './command.js';
import { configCommands } from './config-commands.js';
import { accountCommand } from './account-command.js';
import { explainCommand } from './explain-command.js';
import { localCommands } from './local-commands.js';
import { statusCommands } from './status-commands.js';

/** All commands. */
export const COMMANDS: readonly Command[] = [
  ...statusCommands,
  ...configCommands,
  ...localCommands,
  explainCommand,
  accountCommand,
];

const COMMON_OPTIONS = {
  json: { type: 'boolean', doc: 'print JSON' },
  help: { type: 'boolean', doc: 'show this help' },
} as const;

function formatOverview(): string {
  const rows = COMMANDS.map(({ name, operands, summary }) => {
    const call = `${name} ${operands}`.trim();
    return `  ${call.padEnd(30)} ${summary}`;
  });
  return ['usage: orchidbeam COMMAND [OPTION]…', ...rows].join('\n');
}

function formatHelp(command: Command): string {
  const options = { ...command.options, ...COMMON_OPTIONS };
  const rows = Object.entries(options).map(([name, { type, doc }]) => {
    const call = (type as string) === 'string' ? `--${name} VALUE` : `--${name}`;
    return `  ${call.padEnd(20)} ${doc}`;
  });
  const call = `orchidbeam ${command.name} ${command.operands}`.trim();
  return [`usage: ${call}`, command.summary, ...rows].join('\n');
}

function findCommand(words: readonly string[]): Command | undefined {
  return COMMANDS.find(({ name }) => {
    const parts = name.split(' ');
    return parts.every((part, index) => words[index] === part);
  });
}

function rejectOption(command: Command, message: string): CommandResult {
  const known = Object.keys({ ...command.options, ...COMMON_OPTIONS });
  const option = /'--?([\w-]+)/.exec(message)?.[1] ?? '';
  return known.includes(option)
    ? rejectUsage(`option --${option}`, 'a value as in --help')
    : rejectUsage(`unknown option --${option}`, suggestName(option, known));
}

/** Runs the command line. */
export async function runCommand(words: readonly string[]): Promise<CommandResult> {
  if (words.length === 0 || words[0] === '--help') return createResult(EXIT.ok, formatOverview());
  const command = findCommand(words);
  if (command === undefined) {
    const given = words
      .filter((word) => !word.startsWith('-'))
      .slice(0, 2)
      .join(' ');
    const names = COMMANDS.map(({ name }) => name);
    return rejectUsage(`unknown command "${given}"`, suggestName(given, names));
  }
  const rest = words.slice(command.name.split(' ').length);
  const removals = rest.filter((word) => /^-(service|operator)\//.test(word));
  try {
    const { values, positionals } = parseArgs({
      args: rest.filter((word) => !removals.includes(word)),
      options: { ...command.options, ...COMMON_OPTIONS },
      allowPositionals: true,
    });
    if (values.help === true) return createResult(EXIT.ok, formatHelp(command));
    const result = await command.run({
      operands: [...positionals, ...removals],
      options: values,
    });
    return values.json === true
      ? { ...result, text: JSON.stringify(result.json, null, 2) }
      : result;
  } catch (error) {
    if (!(error instanceof TypeError)) throw error;
    return rejectOption(command, error.message);
  }
}
