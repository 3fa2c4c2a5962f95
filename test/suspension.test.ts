import { expect } from 'chai';
import { GRANT_DURATION_MS, MeasuringGrant, buildGrantKey } from '../src/measure/index.js';
import { ManualClock, SuspensionMeter, createSystemClock } from '../src/kernel/index.js';
import { Store, createStorePlatform } from '../src/standin/index.js';

/** A machine whose clocks the test controls. */
class Machine {
  #monotonic = 5000;

  #wall = 1_700_000_000_000;

  #boot = 90_000_000;

  /** How fast the time since boot runs; another machine's runs at a different speed. */
  bootSpeed = 1;

  readonly sources = {
    monotonic: () => this.#monotonic,
    wall: () => this.#wall,
    // In steps of ten milliseconds, like the system's.
    sinceBoot: () => Math.floor(this.#boot / 10) * 10,
  };

  run(time: number): void {
    this.#monotonic += time;
    this.#wall += time;
    this.#boot += time * this.bootSpeed;
  }

  suspend(time: number): void {
    this.#wall += time;
    this.#boot += time;
  }

  setTime(step: number): void {
    this.#wall += step;
  }
}

describe('the suspension of a machine', () => {
  let machine: Machine;
  let meter: SuspensionMeter;
  beforeEach(() => {
    machine = new Machine();
    meter = new SuspensionMeter(machine.sources);
  });

  /** Lets the machine run and reads the meter as often as a daemon does. */
  const run = (time: number): number => {
    let suspended = 0;
    for (let at = 0; at < time; at += 20) {
      machine.run(20);
      suspended = meter.read(machine.sources.monotonic());
    }
    return suspended;
  };

  it('is measured at once', () => {
    expect(run(10_000)).to.equal(0);
    machine.suspend(4000);
    expect(run(20)).to.be.closeTo(4000, 20);
    machine.suspend(700);
    expect(run(60_000)).to.be.closeTo(4700, 30);
  });
  it('is not confused with a wall clock that is set forward or back', () => {
    run(10_000);
    machine.setTime(2000);
    expect(run(5000)).to.equal(0);
    machine.setTime(-2000);
    expect(run(5000)).to.equal(0);
  });
  it('is not detected wrongly where the time since boot belongs to another machine', () => {
    for (const pace of [0.4, 0.9, 1.5]) {
      machine.bootSpeed = pace;
      expect(run(20_000), String(pace)).to.equal(0);
      machine.setTime(2000);
      expect(run(20_000), String(pace)).to.equal(0);
    }
  });
  it('is included in the monotonic time, which never goes back', () => {
    const clock = createSystemClock(machine.sources);
    let before = clock.now();
    for (let iteration = 0; iteration < 1000; iteration += 1) {
      machine.run(20);
      if (iteration === 500) machine.suspend(3000);
      if (iteration === 700) machine.setTime(-5000);
      expect(clock.now()).to.be.at.least(before);
      before = clock.now();
    }
    expect(before - 5000).to.be.closeTo(23_000, 20);
  });
  it('stops a daemon from spending a grant whose lease has lapsed, while another daemon spends its own', async () => {
    const clock = createSystemClock(machine.sources);
    const worldClock = new ManualClock();
    const platform = createStorePlatform(new Store(worldClock), worldClock);
    const createGrant = (time: typeof clock | ManualClock) =>
      new MeasuringGrant(buildGrantKey('ledger', 'main'), 100, platform, time);
    for (let iteration = 0; iteration < 500; iteration += 1) {
      machine.run(20);
      clock.now();
    }
    const suspendedDaemon = createGrant(clock);
    expect(await suspendedDaemon.spend(6)).to.equal(true);
    machine.suspend(GRANT_DURATION_MS + 500);
    await worldClock.advance(GRANT_DURATION_MS + 500);
    const otherDaemon = createGrant(worldClock);
    expect(await otherDaemon.spend(6)).to.equal(true);
    machine.run(20);
    expect(await suspendedDaemon.spend(6)).to.equal(false);
  });
});
