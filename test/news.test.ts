import { expect } from 'chai';
import { computeMaxPropagationDelay, planPropagation } from '../src/view/index.js';
import { type FleetFaults, TestFleet, PROPAGATION_LIMIT_MS } from './helpers/news-fleet.js';

/** A change is to be in force at least this long before the limit. */
const MARGIN_MS = 100;

/** The propagation limit holds again this long after an outage of the store. */
const RECOVERY_MS = 3000;

const SEEDS = [1, 2, 3];

const PHASES_MS = [0, 170, 340, 510, 680, 850];

/** What happens to the store and the daemons before a change is written. */
interface Scenario {
  readonly faults?: FleetFaults;
  /** Causes the fault; returns the time before which the propagation limit does not hold. */
  readonly run: (fleet: TestFleet) => Promise<number> | number;
  /** Time from the fault to the change, in milliseconds; the phase comes on top. */
  readonly pause: number;
}

async function breakStore(fleet: TestFleet, time: number): Promise<number> {
  for (const { ip } of fleet.daemons) fleet.store.disconnect(ip);
  await fleet.clock.advance(time);
  for (const { ip } of fleet.daemons) fleet.store.reconnect(ip);
  return fleet.clock.now() + RECOVERY_MS;
}

function cutOffReaders(fleet: TestFleet): number {
  for (const { ip } of fleet.listReaders()) fleet.store.disconnect(ip);
  return 0;
}

function stopReaders(fleet: TestFleet): number {
  for (const daemon of fleet.listReaders()) {
    daemon.isGone = true;
    fleet.store.disconnect(daemon.ip);
  }
  return 0;
}

const SLOW: FleetFaults = { link: 15, store: 30, lag: 20 };

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'without faults': { run: () => 0, pause: 0 },
  'over slow links and on slow machines': { run: () => 0, pause: 0, faults: SLOW },
  'after an outage of the store': { run: (fleet) => breakStore(fleet, 6000), pause: 2000 },
  'after a short outage of the store': {
    run: (fleet) => breakStore(fleet, 700),
    pause: 1000,
  },
  'after an outage of the store, over slow links': {
    ...{ run: (fleet: TestFleet) => breakStore(fleet, 6000), pause: 2000, faults: SLOW },
  },
  'when the readers are cut off from the store': { run: cutOffReaders, pause: 0 },
  'when the readers are cut off from the store, over slow links': {
    run: cutOffReaders,
    pause: 0,
    faults: SLOW,
  },
  'when the readers have just been killed': { run: stopReaders, pause: 0 },
  'when the readers have just been killed, over slow links': {
    ...{ run: stopReaders, pause: 0, faults: SLOW },
  },
};

// Guards against a change that comes into force late on some daemon, because the daemons that read
// the store for all don't get it and no other daemon notices.
describe('a change in the store', () => {
  for (const [what, { faults, run, pause }] of Object.entries(SCENARIOS)) {
    it(`is in force in time ${what}`, async () => {
      for (const seed of SEEDS) {
        for (const phase of PHASES_MS) {
          const fleet = new TestFleet(seed, faults);
          try {
            await fleet.clock.advance(4000 + phase);
            const disconnected = new Set(run === cutOffReaders ? fleet.listReaders() : []);
            const holdsFrom = await run(fleet);
            await fleet.clock.advance(pause + (holdsFrom > 0 ? phase : 0));
            const writtenAt = fleet.clock.now();
            fleet.configure(2);
            await fleet.clock.advance(300);
            // A second change within the same second, which reaches the daemons after the first.
            fleet.configure(3);
            fleet.drain();
            const due = Math.max(writtenAt + PROPAGATION_LIMIT_MS, holdsFrom) - MARGIN_MS;
            await fleet.clock.advance(due - fleet.clock.now());
            for (const daemon of fleet.daemons) {
              if (daemon.isGone || disconnected.has(daemon)) continue;
              const label = `${daemon.ip}, seed ${seed}, phase ${phase}`;
              expect(daemon.view.table?.version ?? 0, label).to.be.at.least(2);
            }
            await fleet.clock.advance(300);
            for (const daemon of fleet.daemons) {
              if (daemon.isGone || disconnected.has(daemon)) continue;
              const label = `${daemon.ip}, seed ${seed}, phase ${phase}`;
              expect(daemon.view.table?.version, label).to.equal(3);
              const [{ record }] = daemon.view.listTargets();
              expect(record.state, label).to.equal('draining');
            }
          } finally {
            fleet.stop();
          }
        }
      }
    }).timeout(60_000);
  }
});

describe('the propagation times', () => {
  /** A slow machine behind a slow link, and a busy store; in milliseconds. */
  const DELAYS = { hop: 35, storeCall: 110 };

  for (const promised of [2000, 2500, 3000, 18_000]) {
    const times = planPropagation(promised);

    it(`bring a change to every daemon within 90% of ${promised} ms although the readers have failed`, () => {
      expect(computeMaxPropagationDelay(times, DELAYS)).to.be.lessThan(0.9 * promised);
    });
    it(`don't take a working reader for a failed one: ${promised} ms`, () => {
      const oldest =
        times.watchTimeout + DELAYS.storeCall + times.nearPollInterval + 2 * DELAYS.hop;
      expect(oldest).to.be.lessThan(times.nearMaxAge);
      expect(oldest + times.remotePollInterval + 2 * DELAYS.hop).to.be.lessThan(times.remoteMaxAge);
    });
  }

  it('let only two daemons call the store while nothing fails, at most twice a second each', async () => {
    const fleet = new TestFleet(1);
    await fleet.clock.advance(3000);
    fleet.store.calls.clear();
    await fleet.clock.advance(10_000);
    fleet.stop();
    expect([...fleet.store.calls.keys()]).to.have.members(fleet.listReaders().map(({ ip }) => ip));
    for (const calls of fleet.store.calls.values()) expect(calls).to.be.within(10, 20);
  });
});
