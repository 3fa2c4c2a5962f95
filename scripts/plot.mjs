// Plots the runs of an experiment: `node scripts/plot.mjs RUNS.json OUT.svg [KIND]` draws the p99 of one
// kind of call (lookup unless given) in each strategy, as a multiple of the bound.
import { readFileSync, writeFileSync } from 'node:fs';
import { View, parse } from 'vega';
import { compile } from 'vega-lite';

const [file, out, kind = 'lookup'] = process.argv.slice(2);
const runs = JSON.parse(readFileSync(file, 'utf8'));
const readP99 = (run) => run.kinds.find((figures) => figures.kind === kind)?.p99;
const values = [];
for (const run of runs) {
  const bound = runs.find(
    (other) =>
      other.strategy === 'bound' &&
      other.deployment === run.deployment &&
      other.scenario === run.scenario &&
      other.load === run.load,
  );
  if (run.strategy === 'bound' || bound === undefined || readP99(run) === undefined) continue;
  values.push({
    deployment: `${run.deployment}, ${run.scenario}`,
    load: `${Math.round(run.load * 100)}%`,
    strategy: run.strategy,
    ratio: readP99(run) / readP99(bound),
  });
}

const { spec } = compile({
  title: `p99 of ${kind}s as a multiple of the bound`,
  data: { values },
  facet: { field: 'deployment', type: 'nominal', columns: 2, title: null },
  spec: {
    width: 260,
    height: 200,
    mark: 'bar',
    encoding: {
      x: { field: 'load', type: 'nominal', title: 'offered load' },
      xOffset: { field: 'strategy', type: 'nominal' },
      y: { field: 'ratio', type: 'quantitative', title: 'p99 / bound' },
      color: { field: 'strategy', type: 'nominal' },
    },
  },
});
const view = new View(parse(spec), { renderer: 'none' });
writeFileSync(out, await view.toSVG());
