import { expect } from 'chai';
import { GRANT_DURATION_MS, MeasuringGrant, buildGrantKey } from '../src/measure/index.js';
import { ManualClock, SuspensionMeter, createSystemClock } from '../src/kernel/index.js';
import { Store, createStorePlatform } from '../src/standin/index.js';

/** A machine whose clocks are told what happens to it. */
class Machine {
  #steady = 5000;

  #wall = 1_700_000_000_000;

  #boot = 90_000_000;

  /** How fast the time since boot runs; not as fast as the others where it is another machine's. */
  bootPace = 1;

  readonly sources = {
    steady: () => this.#steady,
    wall: () => this.#wall,
    // Read in steps of ten milliseconds, as the system gives it.
    sinceBoot: () => Math.floor(this.#boot / 10) * 10,
  };

  run(time: number): void {
    this.#steady += time;
    this.#wall += time;
    this.#boot += time * this.bootPace;
  }

  suspend(time: number): void {
    this.#wall += time;
    this.#boot += time;
  }

  setTime(step: number): void {
    this.#wall += step;
  }
}

describe('a machine that is suspended', () => {
  let machine: Machine;
  let meter: SuspensionMeter;
  beforeEach(() => {
    machine = new Machine();
    meter = new SuspensionMeter(machine.sources);
  });

  /** Lets the machine run and looks at the meter as a daemon does. */
  const run = (time: number): number => {
    let suspended = 0;
    for (let at = 0; at < time; at += 20) {
      machine.run(20);
      suspended = meter.read(machine.sources.steady());
    }
    return suspended;
  };

  it('knows at once for how long', () => {
    expect(run(10_000)).to.equal(0);
    machine.suspend(4000);
    expect(run(20)).to.be.closeTo(4000, 20);
    machine.suspend(700);
    expect(run(60_000)).to.be.closeTo(4700, 30);
  });
  it('is not taken for one whose time of day was set, either way', () => {
    run(10_000);
    machine.setTime(2000);
    expect(run(5000)).to.equal(0);
    machine.setTime(-2000);
    expect(run(5000)).to.equal(0);
  });
  it('is not believed in where the time since boot is another machine’s', () => {
    for (const pace of [0.4, 0.9, 1.5]) {
      machine.bootPace = pace;
      expect(run(20_000), String(pace)).to.equal(0);
      machine.setTime(2000);
      expect(run(20_000), String(pace)).to.equal(0);
    }
  });
  it('has a clock that goes on meanwhile, and never goes back', () => {
    const clock = createSystemClock(machine.sources);
    let before = clock.now();
    for (let turn = 0; turn < 1000; turn += 1) {
      machine.run(20);
      if (turn === 500) machine.suspend(3000);
      if (turn === 700) machine.setTime(-5000);
      expect(clock.now()).to.be.at.least(before);
      before = clock.now();
    }
    expect(before - 5000).to.be.closeTo(23_000, 20);
  });
  it('spends no grant whose lease has lapsed meanwhile, while another daemon spends its own', async () => {
    const clock = createSystemClock(machine.sources);
    const world = new ManualClock();
    const platform = createStorePlatform(new Store(world), world);
    const makeGrant = (time: typeof clock | ManualClock) =>
      new MeasuringGrant(buildGrantKey('ledger', 'main'), 100, platform, time);
    for (let turn = 0; turn < 500; turn += 1) {
      machine.run(20);
      clock.now();
    }
    const sleeper = makeGrant(clock);
    expect(await sleeper.spend(6)).to.equal(true);
    machine.suspend(GRANT_DURATION_MS + 500);
    await world.advance(GRANT_DURATION_MS + 500);
    const other = makeGrant(world);
    expect(await other.spend(6)).to.equal(true);
    machine.run(20);
    expect(await sleeper.spend(6)).to.equal(false);
  });
});
