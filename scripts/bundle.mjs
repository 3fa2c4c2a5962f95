// Bundles the gateway daemon into one file: loading many files costs a starting daemon its first second.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/bin/gateway.ts'],
  outfile: 'target/gateway.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: false,
  treeShaking: true,
  logLevel: 'warning',
});
