/** What a command of the command line is. */
import type { ParseArgsConfig } from 'node:util';

/** Exit codes, documented in `docs/CLI.md`. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  invalid: 3,
  conflict: 4,
  denied: 5,
  unavailable: 6,
  notInForce: 7,
} as const;

/** One of {@link EXIT}. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** What a command prints and how it exits. */
export interface CommandResult {
  readonly code: ExitCode;
  /** Lines for people. */
  readonly text: string;
  /** The same for programs, with `--json`. */
  readonly json: unknown;
}

/** Options of a command as `util.parseArgs` takes them. */
export type CommandOptions = NonNullable<ParseArgsConfig['options']>;

/** What a command is called with. */
export interface CommandInput {
  readonly operands: readonly string[];
  readonly options: Readonly<Record<string, string | boolean | undefined>>;
}

/** A command. */
export interface Command {
  /** Words, such as `config accept`. */
  readonly name: string;
  readonly operands: string;
  readonly summary: string;
  readonly options: Readonly<Record<string, OptionDoc>>;
  readonly run: (input: CommandInput) => Promise<CommandResult>;
}

/** An option with its help. */
export interface OptionDoc {
  readonly type: 'string' | 'boolean';
  readonly doc: string;
}

/** Makes a result. */
export function createResult(
  code: ExitCode,
  text: string,
  json: unknown = { text },
): CommandResult {
  return { code, text, json };
}

/** Makes the result of a wrong call: what, and what was expected. */
export function rejectUsage(what: string, expected: string): CommandResult {
  const text = `${what}; expected ${expected}`;
  return createResult(EXIT.usage, text, { error: what, expected });
}
