/** Typed descriptions of INI sections, and a check that reports all mistakes at once. */
import { Either, Left, Right } from 'purify-ts';
import { type Address, formatAddress, parseAddress } from '../kernel/index.js';
import type { IniSection, Mistake } from './ini.js';
import { suggestName } from './suggest.js';

/** One key: how its text is parsed, and its value when the key is absent. */
export interface Field<T> {
  readonly doc: string;
  /** What is expected, for messages and for the reference. */
  readonly expected: string;
  /** The value of an absent key; a field without one is required. */
  readonly fallback: T | undefined;
  /** Parses the text; undefined when it is not valid. */
  readonly read: (text: string) => T | undefined;
}

/** The keys of one section. */
export type Fields = Readonly<Record<string, Field<unknown>>>;

/** The checked values of a section with the fields `F`. */
export type FieldValues<F extends Fields> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never;
};

/** Describes a key that holds any text. */
export function describeText(doc: string, fallback?: string): Field<string> {
  return { doc, expected: 'a text', fallback, read: (text) => (text === '' ? undefined : text) };
}

/** Describes a key that may be empty or absent. */
export function describeOptionalText(doc: string): Field<string> {
  return { doc, expected: 'a text or nothing', fallback: '', read: (text) => text };
}

/** Describes a key that holds a short name: letters, digits, dot, dash and slash. */
export function describeName(doc: string, fallback?: string): Field<string> {
  const read = (text: string) => (/^[\w./-]{1,64}$/.test(text) ? text : undefined);
  return { doc, expected: 'a name of letters, digits, ".", "-", "/"', fallback, read };
}

/** Describes a number between `min` and `max`, both included. */
export function describeNumber(
  doc: string,
  [min, max]: readonly [number, number],
  fallback?: number,
): Field<number> {
  const read = (text: string) => {
    const value = Number(text);
    return text !== '' && value >= min && value <= max ? value : undefined;
  };
  return { doc, expected: `a number from ${min} to ${max}`, fallback, read };
}

/** Describes a whole number between `min` and `max`, both included. */
export function describeInteger(
  doc: string,
  [min, max]: readonly [number, number],
  fallback?: number,
): Field<number> {
  const number = describeNumber(doc, [min, max], fallback);
  const read = (text: string) => {
    const value = number.read(text);
    return Number.isInteger(value) ? value : undefined;
  };
  return { ...number, expected: `a whole number from ${min} to ${max}`, read };
}

const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 };

/** Describes a duration such as `250ms`, `5s`, `2m` or `1h`; its value is in milliseconds. */
export function describeDuration(doc: string, fallback?: number): Field<number> {
  const read = (text: string) => {
    const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text);
    if (match === null) return undefined;
    const [, amount = '', unit = ''] = match;
    return Number(amount) * (UNIT_MS[unit] ?? 0);
  };
  return { doc, expected: 'a duration such as 250ms, 5s, 2m or 1h', fallback, read };
}

/** Describes an address, `a.b.c.d:port`. */
export function describeAddress(doc: string, fallback?: Address): Field<Address> {
  return { doc, expected: 'an address a.b.c.d:port', fallback, read: parseAddress };
}

/** Describes an address that may be left out. */
export function describeOptionalAddress(doc: string): Field<Address | 'none'> {
  const read = (text: string) => (text === 'none' ? 'none' : parseAddress(text));
  return { doc, expected: 'an address a.b.c.d:port, or none', fallback: 'none', read };
}

/** Describes a choice between fixed words. */
export function describeChoice<const T extends string>(
  doc: string,
  choices: readonly T[],
  fallback?: T,
): Field<T> {
  const read = (text: string) => choices.find((choice) => choice === text);
  return { doc, expected: `one of ${choices.join(', ')}`, fallback, read };
}

/** Describes a list of items separated by commas; an empty text is an empty list. */
export function describeList<T>(item: Field<T>, fallback?: readonly T[]): Field<readonly T[]> {
  const read = (text: string) => {
    const parts = text.split(',').map((part) => part.trim());
    const values: T[] = [];
    for (const part of parts) {
      if (part === '') continue;
      const value = item.read(part);
      if (value === undefined) return undefined;
      values.push(value);
    }
    return values;
  };
  return { doc: item.doc, expected: `${item.expected}, separated by commas`, fallback, read };
}

function findUnknownKeys(file: string, section: IniSection, fields: Fields): readonly Mistake[] {
  const known = Object.keys(fields);
  return section.entries
    .filter(({ key }) => !known.includes(key))
    .map(({ key, line }) => {
      const expected = suggestName(key, known);
      return { file, line, what: `unknown key "${key}" in [${section.name}]`, expected };
    });
}

/** Checks one section against its fields and reports all mistakes at once. */
export function checkSection<F extends Fields>(
  file: string,
  section: IniSection,
  fields: F,
): Either<readonly Mistake[], FieldValues<F>> {
  const mistakes: Mistake[] = [...findUnknownKeys(file, section, fields)];
  const values: Record<string, unknown> = {};
  for (const [key, field] of Object.entries(fields)) {
    const entry = section.entries.find((candidate) => candidate.key === key);
    if (entry === undefined) {
      if (field.fallback === undefined) {
        const what = `[${section.name}] lacks the key "${key}"`;
        mistakes.push({ file, line: section.line, what, expected: field.expected });
      }
      values[key] = field.fallback;
      continue;
    }
    const value = field.read(entry.value);
    if (value === undefined) {
      const what = `[${section.name}] ${key} = "${entry.value}"`;
      mistakes.push({ file, line: entry.line, what, expected: field.expected });
    }
    values[key] = value;
  }
  return mistakes.length > 0 ? Left(mistakes) : Right(values as FieldValues<F>);
}

function formatFallback(value: unknown): string {
  if (Array.isArray(value)) return value.length === 0 ? 'empty' : value.join(', ');
  if (typeof value === 'object' && value !== null) return formatAddress(value as Address);
  return value === '' ? 'empty' : String(value);
}

/** Formats the reference of a section as Markdown, in the order of its fields. */
export function formatReference(section: string, fields: Fields): string {
  const rows = Object.entries(fields).map(([key, { doc, expected, fallback }]) => {
    const absent = fallback === undefined ? 'required' : formatFallback(fallback);
    return `| \`${key}\` | ${doc} | ${expected} | ${absent} |`;
  });
  return [
    `### [${section}]`,
    '',
    '| key | meaning | expected | when absent |',
    '|---|---|---|---|',
    ...rows,
  ].join('\n');
}
