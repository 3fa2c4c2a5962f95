/**
 * `npm run experiment`: the strategies against each other and against the bound, on the same calls.
 * `--rush` lets each load last for half of the time and then halves
 * the capacity asked for, to show recovery; `--json` for figures, `--out DIR` for the report.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { build as buildHistogram } from 'hdr-histogram-js';
import { STRATEGIES, type Strategy } from '../balance/index.js';
import {
  type Arrival,
  DEPLOYMENTS,
  type Deployment,
  Rig,
  type RunFigures,
  SCENARIOS,
  type Scenario,
  TIME_UNIT,
  computeBound,
  computeFigures,
  computeRatios,
  drawArrivals,
  joinRush,
  formatRatios,
  formatTable,
  measureMeanWork,
  readQuantile,
  writeScript,
} from '../tool/index.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '10' },
    entries: { type: 'string', default: '17' },
    deployments: { type: 'string', default: 'konyvhaz,zvolen' },
    strategies: { type: 'string', default: 'fresh,random,round-robin,least-in-flight' },
    loads: { type: 'string', default: '0.5,0.7,0.85' },
    scenarios: { type: 'string', default: 'noise' },
    rush: { type: 'boolean' },
    json: { type: 'boolean' },
    out: { type: 'string' },
  },
});

const seed = Number(values.seed);
const seconds = Number(values.seconds);
const split = (text: string) => text.split(',').map((part) => part.trim());
const strategies = split(values.strategies).filter((name): name is Strategy =>
  STRATEGIES.some((known) => known === name),
);
const scenarios = split(values.scenarios).filter((name): name is Scenario =>
  SCENARIOS.some((known) => known === name),
);
const loads = split(values.loads).map(Number);

const RECOVERY = 2;
const CALM_LOAD = 0.5;

function drawFor(deployment: Deployment, load: number): readonly Arrival[] {
  const { workers, slots, meanWork, kinds } = deployment;
  const capacity = (workers * slots * 1000) / (meanWork * measureMeanWork(kinds));
  const plan = { seed, rate: capacity * load, seconds, kinds, meanWork };
  if (values.rush !== true) return drawArrivals(plan);
  const half = { ...plan, seconds: seconds / 2 };
  const calm = drawArrivals({ ...half, seed: seed + 1, rate: capacity * CALM_LOAD });
  return joinRush(drawArrivals(half), calm, { seconds: seconds / 2, recovery: RECOVERY });
}

function computeBoundFigures(deployment: Deployment, load: number, scenario: string): RunFigures {
  const arrivals = drawFor(deployment, load);
  const latencies = computeBound(arrivals, deployment.workers * deployment.slots);
  const names = new Set(arrivals.map(({ kind }) => kind));
  const kinds = [...names].map((kind) => {
    const times = buildHistogram({ highestTrackableValue: 1e8, numberOfSignificantValueDigits: 3 });
    for (const [index, arrival] of arrivals.entries()) {
      if (arrival.kind === kind) times.recordValue(latencies[index] * TIME_UNIT);
    }
    return {
      ...{ kind: kind.name, p50: readQuantile(times, 50), p99: readQuantile(times, 99) },
      ...{ p999: readQuantile(times, 99.9), sent: times.totalCount, whole: times.totalCount },
      ...{ errors: 0, notRun: 0, unknown: 0, wrong: 0 },
    };
  });
  return {
    ...{ deployment: deployment.name, scenario, strategy: 'bound', load },
    ...{
      goodput: arrivals.length / seconds,
      retries: 0,
      hedges: 0,
      measuredShare: 0,
      busiest: 0,
      kinds,
    },
  };
}

const runs: RunFigures[] = [];
const say = (text: string) => process.stderr.write(`${text}\n`);

for (const deployment of DEPLOYMENTS.filter(({ name }) => values.deployments.includes(name))) {
  for (const strategy of strategies) {
    const rig = await Rig.create({ deployment, entries: Number(values.entries), strategy });
    try {
      // The first run warms up the processes and is not counted.
      await rig.run(
        drawFor(deployment, 0.5).filter(({ at }) => at < 3000),
        [],
      );
      for (const scenario of scenarios) {
        for (const load of loads) {
          const script = writeScript(scenario, { workers: deployment.workers, seconds, seed });
          const result = await rig.run(drawFor(deployment, load), script);
          const head = { deployment: deployment.name, scenario, strategy, load };
          const figures = computeFigures(head, result, deployment.workers * deployment.slots);
          runs.push(figures);
          const [first] = figures.kinds;
          say(`${deployment.name} ${scenario} ${load} ${strategy}: p99 ${first?.p99.toFixed(1)}`);
        }
      }
    } finally {
      await rig.close();
    }
  }
  for (const scenario of scenarios) {
    for (const load of loads) runs.push(computeBoundFigures(deployment, load, scenario));
  }
}

const ratios = computeRatios(runs, 'lookup');
if (values.json === true) process.stdout.write(`${JSON.stringify(runs, null, 2)}\n`);
else process.stdout.write(`${formatRatios(ratios)}\n\n${formatTable(runs)}\n`);
if (values.out !== undefined) {
  mkdirSync(values.out, { recursive: true });
  writeFileSync(`${values.out}/runs.json`, `${JSON.stringify(runs, null, 2)}\n`);
  writeFileSync(`${values.out}/tables.md`, `${formatRatios(ratios)}\n\n${formatTable(runs)}\n`);
}
process.exit(0);
