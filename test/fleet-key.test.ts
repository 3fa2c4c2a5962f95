import { expect } from 'chai';
import { FleetKey } from '../src/gateway/carrying/fleet-key.js';
import { ManualClock, createSeededRandom, createSilentLog } from '../src/kernel/index.js';
import { KEYS, type ItemAnswer, type KvStore } from '../src/platform/index.js';

const KEY = 'ab'.repeat(32);

const ABSENT: ItemAnswer = { kind: 'absent' };
const PRESENT: ItemAnswer = {
  ...{ kind: 'item', storeRevision: 7 },
  item: { key: KEYS.fleetKey, text: KEY, revision: 7 },
};

describe('the key of the fleet', () => {
  let clock: ManualClock;
  let answer: ItemAnswer;
  let reads: number;
  let fleetKey: FleetKey;
  let stop: AbortController;

  beforeEach(() => {
    clock = new ManualClock();
    reads = 0;
    answer = ABSENT;
    stop = new AbortController();
    const store = {
      readItem: () => {
        reads += 1;
        return Promise.resolve(answer);
      },
    } satisfies Pick<KvStore, 'readItem'>;
    fleetKey = new FleetKey({
      ...{ store: store as unknown as KvStore, clock, random: createSeededRandom(1) },
      ...{ log: createSilentLog(), isFirstStart: false, isWriter: () => false },
    });
  });
  afterEach(() => stop.abort());

  it('is read at once when a call needs it', async () => {
    answer = PRESENT;
    await fleetKey.refresh();
    expect(fleetKey.value).to.equal(KEY);
  });

  it('is read once for all calls that need it at the same time', async () => {
    answer = PRESENT;
    await Promise.all(Array.from({ length: 50 }, () => fleetKey.refresh()));
    expect([reads, fleetKey.value]).to.deep.equal([1, KEY]);
  });

  it('is read five times a second at most while it is absent', async () => {
    for (let time = 0; time < 5000; time += 10) {
      fleetKey.refresh().catch(() => undefined);
      await clock.advance(10);
    }
    // The first one, and five in each second.
    expect(reads).to.be.within(20, 26);
  });

  it('is read soon after a read that found none', async () => {
    await fleetKey.refresh();
    answer = PRESENT;
    const refreshed = fleetKey.refresh();
    await clock.advance(200);
    await refreshed;
    expect(fleetKey.value).to.equal(KEY);
  });

  it('is read again every ten seconds at most once it is known', async () => {
    answer = PRESENT;
    for (let time = 0; time < 60_000; time += 100) {
      await fleetKey.refresh();
      await clock.advance(100);
    }
    expect(reads).to.equal(6);
  });

  it('is read without a call within two seconds after it was written', async () => {
    const running = fleetKey.run(stop.signal);
    await clock.advance(3000);
    answer = PRESENT;
    await clock.advance(2000);
    expect(fleetKey.value).to.equal(KEY);
    stop.abort();
    await running;
  });
});
