/** Figures of runs, as a table and as plots. */
import type { Histogram } from 'hdr-histogram-js';
import { type RunResult, TIME_UNIT } from './rig.js';

/** Figures of one kind of call in one run; times in milliseconds. */
export interface KindFigures {
  readonly kind: string;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly sent: number;
  readonly whole: number;
  readonly errors: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly wrong: number;
}

/** Figures of one run. */
export interface RunFigures {
  readonly deployment: string;
  readonly scenario: string;
  readonly strategy: string;
  /** Offered load as a share of capacity. */
  readonly load: number;
  /** Whole answers a second. */
  readonly goodput: number;
  readonly retries: number;
  readonly hedges: number;
  /** Target time spent on being measured, as a share of capacity. */
  readonly measuredShare: number;
  /** Share of a core that the busiest entry used. */
  readonly busiest: number;
  readonly kinds: readonly KindFigures[];
}

/** Reads a quantile in milliseconds. */
export function readQuantile(times: Histogram, percent: number): number {
  return times.getValueAtPercentile(percent) / TIME_UNIT;
}

/** Works out the figures of a run. */
export function computeFigures(
  head: Pick<RunFigures, 'deployment' | 'scenario' | 'strategy' | 'load'>,
  result: RunResult,
  slots: number,
): RunFigures {
  let whole = 0;
  const kinds: KindFigures[] = [];
  for (const [kind, { times, ...counts }] of result.kinds) {
    whole += counts.whole;
    kinds.push({
      ...{ kind, ...counts, p50: readQuantile(times, 50) },
      ...{ p99: readQuantile(times, 99), p999: readQuantile(times, 99.9) },
    });
  }
  const capacity = slots * result.seconds * 1000;
  return {
    ...{ ...head, goodput: whole / result.seconds, retries: result.retries, hedges: result.hedges },
    ...{ measuredShare: result.measured / capacity, busiest: result.busiest, kinds },
  };
}

function formatTime(value: number): string {
  return value.toFixed(1);
}

/** Writes runs as a Markdown table, a row for each kind of call. */
export function formatTable(runs: readonly RunFigures[]): string {
  const head = [
    '| deployment | scenario | load | strategy | kind | p50 ms | p99 ms | p99.9 ms | whole | errors | not run | unknown | wrong | goodput/s | retries | hedges | measured | busiest core |',
    '|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|',
  ];
  const rows = runs.flatMap((run) =>
    run.kinds.map((kind) => {
      const cells = [
        ...[
          run.deployment,
          run.scenario,
          `${Math.round(run.load * 100)}%`,
          run.strategy,
          kind.kind,
        ],
        ...[formatTime(kind.p50), formatTime(kind.p99), formatTime(kind.p999)],
        ...[kind.whole, kind.errors, kind.notRun, kind.unknown, kind.wrong],
        ...[
          run.goodput.toFixed(0),
          run.retries,
          run.hedges,
          `${(run.measuredShare * 100).toFixed(3)}%`,
          run.busiest.toFixed(2),
        ],
      ];
      return `| ${cells.join(' | ')} |`;
    }),
  );
  return [...head, ...rows].join('\n');
}

/** A line of ratios: a strategy's p99 of a kind against others, in the same conditions. */
export interface RatioRow {
  readonly deployment: string;
  readonly scenario: string;
  readonly load: number;
  readonly kind: string;
  readonly ratios: ReadonlyMap<string, number>;
}

/** Compares the p99 of `fresh` with that of each other strategy in the same conditions. */
export function computeRatios(runs: readonly RunFigures[], kind: string): readonly RatioRow[] {
  const rows: RatioRow[] = [];
  for (const own of runs.filter(({ strategy }) => strategy === 'fresh')) {
    const same = runs.filter(
      (run) =>
        run.deployment === own.deployment &&
        run.scenario === own.scenario &&
        run.load === own.load &&
        run.strategy !== 'fresh',
    );
    const readP99 = (run: RunFigures) => run.kinds.find((figures) => figures.kind === kind)?.p99;
    const mine = readP99(own) ?? NaN;
    const ratios = new Map(same.map((run) => [run.strategy, mine / (readP99(run) ?? NaN)]));
    rows.push({ deployment: own.deployment, scenario: own.scenario, load: own.load, kind, ratios });
  }
  return rows;
}

/** Writes ratios as a Markdown table. */
export function formatRatios(rows: readonly RatioRow[]): string {
  const names = [...new Set(rows.flatMap(({ ratios }) => [...ratios.keys()]))];
  const head = [
    `| deployment | scenario | load | kind | ${names.map((name) => `/ ${name}`).join(' | ')} |`,
    `|---|---|---|---|${names.map(() => '---|').join('')}`,
  ];
  const lines = rows.map(({ deployment, scenario, load, kind, ratios }) => {
    const cells = names.map((name) => ratios.get(name)?.toFixed(2) ?? '');
    return `| ${deployment} | ${scenario} | ${Math.round(load * 100)}% | ${kind} | ${cells.join(' | ')} |`;
  });
  return [...head, ...lines].join('\n');
}
