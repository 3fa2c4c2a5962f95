/** The measuring budget: its total for the whole system holds under all faults. */
import { expect } from 'chai';
import { InvariantError, ManualClock } from '../src/kernel/index.js';
import { GRANT_DURATION_MS, MeasuringGrant, buildGrantKey } from '../src/measure/index.js';
import { Store, createStorePlatform } from '../src/standin/index.js';

const BUDGET = 2;
const COST = 6;
const SECONDS = 300;

function openGrant(store: Store, clock: ManualClock): MeasuringGrant {
  const platform = createStorePlatform(store, clock);
  return new MeasuringGrant(buildGrantKey('ledger', 'main'), BUDGET, platform, clock);
}

/** Lets every daemon spend as much as it can for {@link SECONDS}; returns the total spent. */
async function spendGreedily(
  clock: ManualClock,
  daemons: () => readonly MeasuringGrant[],
  onSecond: (second: number) => void = () => undefined,
): Promise<number> {
  let spent = 0;
  for (let second = 0; second < SECONDS; second += 1) {
    onSecond(second);
    for (const daemon of daemons()) {
      if (await daemon.spend(COST)) spent += COST;
    }
    await clock.advance(1000);
  }
  return spent;
}

describe('measuring budget', () => {
  let clock: ManualClock;
  let store: Store;

  beforeEach(() => {
    clock = new ManualClock();
    store = new Store(clock);
  });

  // A grant may reach beyond either end of the observed time, which adds up to one grant.
  const maxSpent = BUDGET * (SECONDS + GRANT_DURATION_MS / 1000);

  describe('is never exceeded', () => {
    it('by seventeen daemons', async () => {
      const daemons = Array.from({ length: 17 }, () => openGrant(store, clock));
      const spent = await spendGreedily(clock, () => daemons);
      expect(spent).to.be.within(1, maxSpent);
    });

    it('by daemons that restart every second', async () => {
      const spent = await spendGreedily(clock, () => [
        openGrant(store, clock),
        openGrant(store, clock),
      ]);
      expect(spent).to.be.within(1, maxSpent);
    });

    it('while the platform is down at times', async () => {
      const daemons = [openGrant(store, clock), openGrant(store, clock)];
      const spent = await spendGreedily(
        clock,
        () => daemons,
        (second) => {
          store.setFault({ kind: second % 7 < 3 ? 'down' : 'none' });
        },
      );
      expect(spent).to.be.within(1, maxSpent);
    });

    it('while replies to writes are lost', async () => {
      const daemons = [openGrant(store, clock), openGrant(store, clock)];
      const spent = await spendGreedily(
        clock,
        () => daemons,
        (second) => {
          store.setFault({ kind: second % 5 === 0 ? 'lose-write-replies' : 'none' });
        },
      );
      expect(spent).to.be.within(0, maxSpent);
    });

    it('by a daemon that was paused until after its grant ended', async () => {
      const paused = openGrant(store, clock);
      expect(await paused.spend(COST)).to.equal(true);
      await clock.advance(GRANT_DURATION_MS * 2);
      const other = openGrant(store, clock);
      expect(await other.spend(COST)).to.equal(true);
      expect(await paused.spend(COST)).to.equal(false);
    });
  });

  it('is not spent at all without the platform', async () => {
    store.setFault({ kind: 'down' });
    expect(await openGrant(store, clock).spend(COST)).to.equal(false);
  });

  it('throws an InvariantError when more was spent than granted', async () => {
    const daemon = openGrant(store, clock);
    await daemon.spend(COST);
    daemon.granted = 0;
    let caught: unknown;
    await daemon.spend(COST).catch((error: unknown) => {
      caught = error;
    });
    expect(caught).to.be.instanceOf(InvariantError);
  });
});
