/**
 * Many stand-in targets in one process, for experiments. Standard input takes lines of JSON:
 * `{"target": N, "fault": {…}}`; the first line printed lists the addresses.
 */
import { createInterface } from 'node:readline';
import { parseArgs } from 'node:util';
import { createSeededRandom, formatAddress } from '../kernel/index.js';
import { type TargetFault, startTarget } from '../standin/index.js';

/** Header by which an experiment sets the work of a call, in milliseconds. */
const WORK_HEADER = 'x-work';

const { values } = parseArgs({
  options: { count: { type: 'string', default: '1' }, slots: { type: 'string', default: '6' } },
});

const slots = Number(values.slots);
const targets = await Promise.all(
  Array.from({ length: Number(values.count) }, (_, index) =>
    startTarget({
      ...{ address: { host: '127.0.0.1', port: 0 }, slots, serviceTime: 1 },
      ...{ queueLimit: 250, random: createSeededRandom(index + 1) },
      drawTime: (request) => Number(request.headers[WORK_HEADER] ?? 1),
    }),
  ),
);

process.stdout.write(`${JSON.stringify(targets.map(({ address }) => formatAddress(address)))}\n`);

interface Order {
  readonly target: number;
  readonly fault: TargetFault;
}

createInterface({ input: process.stdin }).on('line', (line) => {
  if (line === 'counts') {
    process.stdout.write(`${JSON.stringify(targets.map(({ counts }) => counts))}\n`);
    return;
  }
  const { target, fault } = JSON.parse(line) as Order;
  targets[target]?.setFault(fault);
});
process.stdin.on('end', () => process.exit(0));
