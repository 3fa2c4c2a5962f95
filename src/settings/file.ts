/** Checks a whole settings file against the sections that a program knows. */
import { type Either, Left, Right } from 'purify-ts';
import { type Mistake, readIni } from './ini.js';
import { type Fields, type FieldValues, checkSection } from './schema.js';
import { suggestName } from './suggest.js';

/** The sections of a program's settings, by name and in the order of the reference. */
export type Sections = Readonly<Record<string, Fields>>;

/** The checked values of all sections. */
export type SectionValues<S extends Sections> = {
  readonly [N in keyof S]: FieldValues<S[N]>;
};

/**
 * Checks the text of a file and reports all mistakes at once. A missing section gets its defaults.
 */
export function checkSettingsFile<S extends Sections>(
  file: string,
  text: string,
  sections: S,
): Either<readonly Mistake[], SectionValues<S>> {
  const ini = readIni(file, text);
  const mistakes: Mistake[] = [...ini.mistakes];
  const known = Object.keys(sections);
  for (const { name, line } of ini.sections) {
    if (known.includes(name)) continue;
    const expected = suggestName(name, known);
    mistakes.push({ file, line, what: `unknown section [${name}]`, expected });
  }
  const checked: Record<string, unknown> = {};
  for (const [name, fields] of Object.entries(sections)) {
    const section = ini.sections.find((candidate) => candidate.name === name);
    checkSection(file, section ?? { name, line: 0, entries: [] }, fields)
      .ifLeft((found) => mistakes.push(...found))
      .ifRight((values) => {
        checked[name] = values;
      });
  }
  return mistakes.length > 0 ? Left(mistakes) : Right(checked as SectionValues<S>);
}
