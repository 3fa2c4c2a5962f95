/**
 * Audit records under faults: the record in the manifest (transactional outbox) against a second write
 * after the change, on the same drawn faults. Counts accepted changes that have no record.
 */
import { createSeededRandom, createSystemClock } from '../kernel/index.js';
import { ConfigStore } from '../config/index.js';
import type { Platform, WriteResult } from '../platform/index.js';
import { Store, createStorePlatform } from '../standin/index.js';

const CHANGES = 400;
const clock = createSystemClock();

/** Each write is lost before it arrives, or its reply is, with a chance of `share` each. */
function breakWrites(inner: Platform, share: number, seed: number): Platform {
  const random = createSeededRandom(seed);
  return {
    ...inner,
    async swap(swap): Promise<WriteResult> {
      const draw = random.next();
      if (draw < share) return { kind: 'unknown', reason: 'lost before' };
      const result = await inner.swap(swap);
      return draw < 2 * share ? { kind: 'unknown', reason: 'reply lost' } : result;
    },
  };
}

const SERVICE = (turn: number) =>
  `[service]\nqueue_limit = ${turn + 1}\n[pool]\ntargets = 127.0.0.1:9\n`;

/** Accepts changes by a daemon that may end after any of them, and counts those without a record. */
async function countMissing(share: number): Promise<readonly [number, number]> {
  const store = new Store(clock, { reads: 1e9, writes: 1e9 });
  const clean = createStorePlatform(store, clock);
  const broken = breakWrites(clean, share, 7);
  const config = new ConfigStore(broken, clock, createSeededRandom(3));
  let accepted = 0;
  let withoutSecondWrite = 0;
  for (let turn = 0; turn < CHANGES; turn += 1) {
    const header = { id: `c${turn}`, author: 'a', message: '' };
    const drafted = await config.draft(header, new Map([['service/a', SERVICE(turn)]]));
    if (drafted.kind !== 'drafted') continue;
    const result = await config.accept(drafted.change, 'a');
    if (result.kind !== 'accepted') continue;
    accepted += 1;
    // The second write that the alternative would do, once, as a request handler would.
    const key = `audit/${result.record.revision}`;
    await broken.swap({ key, value: JSON.stringify(result.record), expect: 0 });
    if (store.read(key).kind === 'absent') withoutSecondWrite += 1;
  }
  const history = new ConfigStore(clean, clock, createSeededRandom(4));
  const recorded = await history.readHistory(undefined, CHANGES * 2);
  const records = recorded.kind === 'history' ? recorded.records.length : 0;
  return [accepted - records, withoutSecondWrite];
}

process.stdout.write(
  '| writes lost before arriving | accepted changes without a record: in the manifest | by a second write |\n|---|---|---|\n',
);
for (const share of [0, 0.01, 0.05, 0.2]) {
  const [outbox, second] = await countMissing(share);
  process.stdout.write(`| ${share * 100}% | ${outbox} | ${second} |\n`);
}
process.exit(0);
