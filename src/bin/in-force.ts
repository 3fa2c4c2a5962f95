/**
 * `npm run in-force`: time from the acceptance of a change until it is in force on the last of several
 * daemons in this process, in quiet and under faults. Polled every 2 ms.
 */
import { parseArgs } from 'node:util';
import { build as buildHistogram } from 'hdr-histogram-js';
import { Fleet, pause, putDocuments, writeService } from '../demo/index.js';
import type { Platform } from '../platform/index.js';

const { values } = parseArgs({
  options: {
    daemons: { type: 'string', default: '12' },
    changes: { type: 'string', default: '30' },
  },
});

const DOWN = { kind: 'unavailable', reason: 'cut' } as const;
const TARGET = { host: '127.0.0.1', port: 9 };
const LIMIT = 30_000;

/** Which daemons are cut off from the platform, by their number. */
type CutOff = (daemon: number) => boolean;

interface Condition {
  readonly name: string;
  readonly apply: (fleet: Fleet) => void;
  readonly cutOff: CutOff;
}

const nobody: CutOff = () => false;

const CONDITIONS: readonly Condition[] = [
  { name: 'quiet', apply: () => undefined, cutOff: nobody },
  {
    name: 'the platform takes 200 ms',
    apply: ({ store }) => store.setFault({ kind: 'slow', delay: 200 }),
    cutOff: nobody,
  },
  {
    name: 'watches skip changes',
    apply: ({ store }) => store.setFault({ kind: 'skip-watches' }),
    cutOff: nobody,
  },
  {
    name: 'two of three daemons cut off from the platform',
    apply: () => undefined,
    cutOff: (n) => n % 3 !== 0,
  },
  {
    name: 'every second daemon cut off from its peers',
    apply: ({ transports }) => {
      const isAlone = (address: string) => Number(address.split(':')[0]?.split('.')[3]) % 2 === 0;
      transports.isLinkCut = (from, to) => isAlone(from) || isAlone(to);
    },
    cutOff: nobody,
  },
];

function cutPlatform(inner: Platform, isCut: () => boolean): Platform {
  return {
    ...inner,
    read: async (key) => (isCut() ? DOWN : inner.read(key)),
    vms: async () => (isCut() ? DOWN : inner.vms()),
    watch: async (prefix, after, signal) => (isCut() ? DOWN : inner.watch(prefix, after, signal)),
  };
}

async function measure(condition: Condition): Promise<string> {
  const fleet = new Fleet();
  const state = { isCutting: false };
  putDocuments(fleet.store, { 'service/a': writeService([TARGET]) });
  for (let daemon = 0; daemon < Number(values.daemons); daemon += 1) {
    const isCut = () => state.isCutting && condition.cutOff(daemon);
    await fleet.start(`hu/${daemon % 3}`, (inner) => cutPlatform(inner, isCut));
  }
  await pause(3000);
  condition.apply(fleet);
  state.isCutting = true;
  await pause(2000);
  const times = buildHistogram();
  let late = 0;
  for (let change = 0; change < Number(values.changes); change += 1) {
    const revision = change + 2;
    const started = performance.now();
    putDocuments(fleet.store, { 'service/a': writeService([TARGET], `queue_limit = ${revision}`) });
    const isBehind = () =>
      fleet.entries.some(({ follower }) => follower.configuration.revision < revision);
    while (isBehind() && performance.now() - started < LIMIT) await pause(2);
    if (isBehind()) late += 1;
    times.recordValue(Math.round(performance.now() - started));
    await pause(100 + Math.random() * 400);
  }
  fleet.close();
  const quantile = (percent: number) => times.getValueAtPercentile(percent);
  return `| ${condition.name} | ${quantile(50)} | ${quantile(99)} | ${times.maxValue} | ${late} |`;
}

process.stdout.write(`${values.daemons} daemons, ${values.changes} changes each\n\n`);
process.stdout.write(
  '| condition | p50 ms | p99 ms | max ms | not within 30 s |\n|---|---|---|---|---|\n',
);
for (const condition of CONDITIONS) process.stdout.write(`${await measure(condition)}\n`);
process.exit(0);
