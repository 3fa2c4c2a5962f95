// Makes a checkout ready to run: installs the packages when the lock file has changed, then builds.
import { execFileSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

const STAMP = 'node_modules/.orchidbeam-lock';
const lock = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex');
const run = (command, args) =>
  execFileSync(command, args, { stdio: ['ignore', 'ignore', 'inherit'] });

if (!existsSync(STAMP) || readFileSync(STAMP, 'utf8') !== lock) {
  console.error('installing packages');
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  writeFileSync(STAMP, lock);
}
try {
  execFileSync('npx', ['--no-install', 'tsc', '-p', 'tsconfig.json'], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
} catch {
  process.exit(1);
}
execFileSync('node', ['scripts/copy-generated.mjs'], { stdio: 'inherit' });
