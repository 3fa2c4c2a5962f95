/**
 * Parsing of INI texts with line numbers.
 *
 * The `ini` library reads the values, but keeps no line numbers and drops lines that it cannot
 * read. A scan of the lines finds the line of each key and reports the lines that the library would
 * drop.
 */
import { parse } from 'ini';

/** A mistake in a text: where it is, what is wrong, and what was expected. */
export interface Mistake {
  readonly file: string;
  /** Line number from 1; 0 when the mistake belongs to no line. */
  readonly line: number;
  readonly what: string;
  readonly expected: string;
}

/** One `key = value` line. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** One `[section]` with its entries in order. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** A parsed text: its sections, and the mistakes of lines that are not INI. */
export interface IniText {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly mistakes: readonly Mistake[];
}

const COMMENT_LINE = /^\s*(?:[;#].*)?$/;
const SECTION_LINE = /^\s*\[([^\]]+)\]\s*$/;
const ENTRY_LINE = /^\s*([^=[\]\s][^=]*?)\s*=(.*)$/;

/** Formats a mistake as `file:line: what; expected …`. */
export function formatMistake({ file, line, what, expected }: Mistake): string {
  const place = line > 0 ? `${file}:${line}` : file;
  return `${place}: ${what}; expected ${expected}`;
}

const QUOTED_VALUE = /^\s*(["']).*\1\s*$/;

/**
 * Escapes `;` and `#` in an unquoted value: comments have lines of their own, and the library would
 * end the value there.
 */
function readValue(text: string): string {
  const escaped = QUOTED_VALUE.test(text) ? text : text.replace(/[;#]/g, '\\$&');
  const parsed = parse(`value =${escaped}`) as Readonly<Record<string, unknown>>;
  const { value } = parsed;
  return value === undefined || value === null ? '' : String(value);
}

interface OpenSection {
  readonly name: string;
  readonly line: number;
  readonly entries: IniEntry[];
}

/** Parses an INI text; every line that cannot be read becomes a mistake. */
export function readIni(file: string, text: string): IniText {
  const sections: OpenSection[] = [];
  const mistakes: Mistake[] = [];
  const report = (line: number, what: string, expected: string) =>
    mistakes.push({ file, line, what, expected });
  const lines = text.split(/\r?\n/);
  for (const [index, content] of lines.entries()) {
    const line = index + 1;
    if (COMMENT_LINE.test(content)) continue;
    const header = SECTION_LINE.exec(content)?.[1]?.trim();
    if (header !== undefined) {
      const earlier = sections.find((section) => section.name === header);
      if (earlier !== undefined) {
        report(
          line,
          `section [${header}] appears twice`,
          `one [${header}], as on line ${earlier.line}`,
        );
      }
      sections.push({ name: header, line, entries: [] });
      continue;
    }
    const match = ENTRY_LINE.exec(content);
    if (match === null) {
      report(line, `"${content.trim()}" cannot be read`, 'a [section], key = value, or ; comment');
      continue;
    }
    const [, key = '', rest = ''] = match;
    const section = sections.at(-1);
    if (section === undefined) {
      report(line, `key "${key}" appears before any section`, 'a [section] line first');
      continue;
    }
    if (section.entries.some((entry) => entry.key === key)) {
      report(line, `key "${key}" appears twice in [${section.name}]`, 'each key once');
      continue;
    }
    section.entries.push({ key, value: readValue(rest), line });
  }
  return { file, sections, mistakes };
}
