// Generates src/peer/generated from proto/peer.proto; with --check, fails when the committed code differs.
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const check = process.argv.includes('--check');
const committed = 'src/peer/generated';
const target = check ? mkdtempSync(join(tmpdir(), 'orchidbeam-generated-')) : committed;
const js = join(target, 'peer.js');
const dts = join(target, 'peer.d.ts');
const bin = (name) => join('node_modules', '.bin', name);

execFileSync(bin('pbjs'), [
  ...['-t', 'static-module', '-w', 'es6', '--dependency', 'protobufjs/minimal.js'],
  ...['--no-delimited', '--no-verify', '--no-service', '--force-number'],
  ...['-r', 'orchidbeam', '-o', js, 'proto/peer.proto'],
]);
execFileSync(bin('pbts'), ['-o', dts, js]);
if (check) {
  for (const name of ['peer.js', 'peer.d.ts']) {
    if (readFileSync(join(target, name), 'utf8') !== readFileSync(join(committed, name), 'utf8')) {
      console.error(
        `${committed}/${name} is not what proto/peer.proto gives; run npm run generate`,
      );
      process.exit(1);
    }
  }
}
