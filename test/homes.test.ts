import { expect } from 'chai';
import { BusyMeter } from '../src/gateway/busy-meter.js';
import { ManualClock } from '../src/kernel/index.js';
import { HomePlan, Roster } from '../src/peering/index.js';

describe('how many homes there are', () => {
  it('grows while they are busy, as fast as callers move', () => {
    const plan = new HomePlan();
    let homes = 3;
    const counts: number[] = [];
    for (let now = 0; now < 12_500; now += 500) {
      homes = plan.plan({ homes, least: 3, busy: [0.7, 0.6, 0.8], now });
      counts.push(homes);
    }
    expect(new Set(counts)).to.deep.equal(new Set([5, 8, 12]));
  });
  it('stays where the load is moderate, and where one alone is busy for a moment', () => {
    const plan = new HomePlan();
    for (let now = 0; now < 60_000; now += 500) {
      expect(plan.plan({ homes: 4, least: 3, busy: [0.3, 0.9, 0.2, 0.3], now })).to.equal(4);
    }
  });
  it('shrinks one by one after a long time of little load', () => {
    const plan = new HomePlan();
    let homes = plan.plan({ homes: 6, least: 4, busy: [0.3], now: 0 });
    const shrunkAt: number[] = [];
    for (let now = 500; now < 50_000; now += 500) {
      const next = plan.plan({ homes, least: 4, busy: [0.1, 0.05], now });
      if (next < homes) shrunkAt.push(now);
      homes = next;
    }
    expect(shrunkAt).to.deep.equal([15_000, 30_000]);
    expect(homes).to.equal(4);
  });
  it('is followed by the roster, and never below what the settings want', () => {
    const clock = new ManualClock();
    const makeInfo = (index: number) => ({
      ...{ ip: `10.0.0.${index}`, domain: `d${index % 3}`, capacity: 0.5, isSenior: true },
    });
    const roster = new Roster({
      ...{ clock, self: makeInfo(1), selfState: () => 'ready' as const, homes: 3, capacity: 1 },
    });
    for (let index = 2; index <= 9; index += 1) roster.hear(makeInfo(index), 'ready', index / 10);
    expect(roster.listHomes()).to.have.length(3);
    roster.setWanted(5);
    const homes = roster.listHomes();
    expect(homes).to.have.length(5);
    const others = homes.filter(({ ip }) => ip !== '10.0.0.1');
    expect(roster.listBusy()).to.deep.equal(others.map(({ ip }) => Number(ip.slice(-1)) / 10));
    roster.setWanted(1);
    expect(roster.listHomes()).to.have.length(3);
  });
});

describe('how busy a daemon is', () => {
  it('follows the part of its time that was work', async () => {
    const clock = new ManualClock();
    let utilization = 0.2;
    const meter = new BusyMeter(clock, () => utilization);
    expect(meter.read()).to.equal(0.2);
    utilization = 0.8;
    await clock.advance(500);
    expect(meter.read()).to.be.closeTo(0.5, 0.01);
  });
});
