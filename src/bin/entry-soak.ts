/** `npm run soak:entry -- --seed N --minutes M`: the product on its own platform, in one process; exits 1 on a broken promise. */
import { parseArgs } from 'node:util';
import { runSoak } from '../tool/index.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '2' },
    rate: { type: 'string', default: '150' },
    entries: { type: 'string', default: '5' },
    targets: { type: 'string', default: '6' },
    verbose: { type: 'boolean' },
  },
});

const report = await runSoak({
  seed: Number(values.seed),
  seconds: Number(values.minutes) * 60,
  rate: Number(values.rate),
  entries: Number(values.entries),
  targets: Number(values.targets),
  onEvent: values.verbose === true ? (text) => process.stderr.write(`${text}\n`) : undefined,
});
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exit(report.violations.length === 0 ? 0 : 1);
