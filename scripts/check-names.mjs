// Checks that declared functions begin with a verb of docs/VERBS.md.
import { readFileSync, readdirSync } from 'node:fs';

const QUESTIONS = ['is', 'has', 'may', 'allows', 'supersedes', 'matches'];
const table = readFileSync('docs/VERBS.md', 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('| ') && !line.startsWith('| verbs'));
const verbs = new Set([
  ...QUESTIONS,
  ...table.flatMap((line) =>
    line
      .split('|')[1]
      .split(',')
      .map((verb) => verb.trim()),
  ),
]);
const files = ['src', 'test'].flatMap((root) =>
  readdirSync(root, { recursive: true })
    .filter((name) => name.endsWith('.ts') && !name.includes('generated'))
    .map((name) => `${root}/${name}`),
);

let failed = false;
for (const file of files) {
  for (const [index, line] of readFileSync(file, 'utf8').split('\n').entries()) {
    const name = /^\s*(?:export )?(?:async )?function\*? (\w+)/.exec(line)?.[1];
    if (name === undefined) continue;
    const [verb] = /^[a-z]+/.exec(name) ?? [''];
    if (verbs.has(verb)) continue;
    console.error(
      `${file}:${index + 1}: ${name} begins with "${verb}"; expected a verb of docs/VERBS.md`,
    );
    failed = true;
  }
}
process.exit(failed ? 1 : 0);
