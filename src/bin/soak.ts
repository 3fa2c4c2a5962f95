/** `npm run soak -- --seed N --runs R --seconds S`: real daemons under drawn faults; exits 1 on a break. */
import { parseArgs } from 'node:util';
import { runSoak } from '../soak/index.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '30' },
    daemons: { type: 'string', default: '5' },
    targets: { type: 'string', default: '8' },
    callers: { type: 'string', default: '20' },
    'lose-all': { type: 'boolean' },
    organisations: { type: 'boolean' },
    verbose: { type: 'boolean' },
  },
});

const first = Number(values.seed);
let breaks = 0;
for (let seed = first; seed < first + Number(values.runs); seed += 1) {
  const report = await runSoak({
    ...{ seed, duration: Number(values.seconds) * 1000, daemons: Number(values.daemons) },
    ...{ targets: Number(values.targets), callers: Number(values.callers) },
    endsWithLossOfAll: values['lose-all'] === true,
    hasOrganisations: values.organisations === true,
    onEvent: values.verbose === true ? (text) => process.stderr.write(`${text}\n`) : undefined,
  });
  breaks += report.breaks.length;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.exit(breaks === 0 ? 0 : 1);
