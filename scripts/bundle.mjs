// Bundles the gateway daemon, and its variant for soaks, into one file each: loading many files costs a starting daemon its first second.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/bin/gateway.ts', 'src/bin/soak-gateway.ts'],
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: false,
  treeShaking: true,
  logLevel: 'warning',
});
