import { expect } from 'chai';
import { UtilisationMeter } from '../src/gateway/fleet/utilisation-meter.js';
import { HomePlanner } from '../src/gateway/fleet/home-planner.js';
import { ManualClock } from '../src/kernel/index.js';
import { type HomeUtilisation, HomeScaler, Roster } from '../src/peering/index.js';

/** Homes with half a core each. */
function makeHomes(...parts: readonly number[]): readonly HomeUtilisation[] {
  return parts.map((utilisation) => ({ utilisation, capacity: 0.5 }));
}

describe('the number of homes', () => {
  it('grows while homes are busy, as fast as callers move to new ones', () => {
    const scaler = new HomeScaler();
    let homes = 3;
    const counts: number[] = [];
    for (let now = 0; now < 12_500; now += 500) {
      homes = scaler.plan({ homes, minHomes: 3, utilisations: makeHomes(0.7, 0.6, 0.8), now });
      counts.push(homes);
    }
    expect(new Set(counts)).to.deep.equal(new Set([5, 8, 12]));
  });
  it('stays the same under moderate load, even if a single home is busy', () => {
    const scaler = new HomeScaler();
    for (let now = 0; now < 60_000; now += 500) {
      expect(
        scaler.plan({ homes: 4, minHomes: 3, utilisations: makeHomes(0.3, 0.9, 0.2, 0.3), now }),
      ).to.equal(4);
    }
  });
  // Guards against growth by weak homes: machines with a fifth of a core became homes and were
  // always busy, so the plan grew from 3 to 27 homes by more of them, while the strong ones had
  // half of their time left.
  it('does not grow while only weak homes are saturated', () => {
    const scaler = new HomeScaler();
    const strong = [0.3, 0.4, 0.35].map((utilisation) => ({ utilisation, capacity: 1.35 }));
    const weak = [1, 0.98, 1].map((utilisation) => ({ utilisation, capacity: 0.27 }));
    for (let now = 0; now < 30_000; now += 500) {
      expect(
        scaler.plan({ homes: 6, minHomes: 3, utilisations: [...strong, ...weak], now }),
      ).to.equal(6);
    }
  });
  it('shrinks one home at a time after a long period of low load', () => {
    const scaler = new HomeScaler();
    let homes = scaler.plan({ homes: 6, minHomes: 4, utilisations: makeHomes(0.3), now: 0 });
    const shrunkAt: number[] = [];
    for (let now = 500; now < 50_000; now += 500) {
      const next = scaler.plan({ homes, minHomes: 4, utilisations: makeHomes(0.1, 0.05), now });
      if (next < homes) shrunkAt.push(now);
      homes = next;
    }
    expect(shrunkAt).to.deep.equal([15_000, 30_000]);
    expect(homes).to.equal(4);
  });
  it('is applied by the roster, but not below the minimum of the settings', () => {
    const clock = new ManualClock();
    const makeInfo = (index: number) => ({
      ...{ ip: `10.0.0.${index}`, domain: `d${index % 3}`, capacity: 0.5, isSenior: true },
    });
    const roster = new Roster({
      ...{
        clock,
        self: makeInfo(1),
        readSelfState: () => 'ready' as const,
        minHomes: 3,
        minHomeCapacity: 1,
      },
    });
    for (let index = 2; index <= 9; index += 1) {
      roster.recordStatus(makeInfo(index), { state: 'ready', utilisation: index / 10, pollers: 1 });
    }
    expect(roster.listHomes()).to.have.length(3);
    roster.setDesiredHomes(5);
    const homes = roster.listHomes();
    expect(homes).to.have.length(5);
    const others = homes.filter(({ ip }) => ip !== '10.0.0.1');
    expect(roster.listHomeUtilisations()).to.deep.equal(
      others.map(({ ip }) => ({ utilisation: Number(ip.slice(-1)) / 10, capacity: 0.5 })),
    );
    roster.setDesiredHomes(1);
    expect(roster.listHomes()).to.have.length(3);
  });
  // Guards against needless log lines: a fleet with fewer daemons than homes in its settings logged
  // a plan twice a second.
  it('is logged only when it changes, and never while there are fewer daemons than wanted homes', async () => {
    const clock = new ManualClock();
    const self = { ip: '10.0.0.1', domain: 'd1', capacity: 0.5, isSenior: true };
    const roster = new Roster({
      ...{ clock, self, readSelfState: () => 'ready' as const, minHomes: 3, minHomeCapacity: 1 },
    });
    const logged: string[] = [];
    const recordEvent = (event: string) => logged.push(event);
    const planner = new HomePlanner({
      ...{ clock, roster, self: self.ip, capacity: self.capacity, readMinHomes: () => 3 },
      log: { debug: recordEvent, info: recordEvent, warn: recordEvent, error: recordEvent },
    });
    const running = new AbortController();
    planner.run(running.signal).catch(() => undefined);
    await clock.advance(10_000);
    running.abort();
    expect(logged).to.deep.equal([]);
  });
  it('is limited by the number of strong machines', () => {
    const clock = new ManualClock();
    const makeInfo = (index: number, capacity: number) => ({
      ...{ ip: `10.0.0.${index}`, domain: `d${index % 3}`, capacity, isSenior: true },
    });
    const roster = new Roster({
      ...{ clock, self: makeInfo(1, 1.35), readSelfState: () => 'ready' as const },
      ...{ minHomes: 3, minHomeCapacity: 1 },
    });
    for (let index = 2; index <= 6; index += 1) roster.addMember(makeInfo(index, 1.35));
    for (let index = 7; index <= 60; index += 1) roster.addMember(makeInfo(index, 0.27));
    expect(roster.countHomeCandidates()).to.equal(6);
  });
});

/** Hundreds of daemons: the polls must not grow with their number, nor with the number of homes. */
describe('the daemons that a daemon polls', () => {
  const DOMAINS = 5;
  const DAEMONS = 312;
  const READY = { state: 'ready', utilisation: 0.1, pollers: 1 } as const;
  let clock: ManualClock;

  /** Three strong daemons in each failure domain; the others are weak. */
  const makeInfo = (index: number) => ({
    ip: `10.${index % DOMAINS}.${Math.floor(index / 250)}.${index % 250}`,
    domain: `d${index % DOMAINS}`,
    ...{ capacity: index < 3 * DOMAINS ? 1.35 : 0.27, isSenior: true },
  });

  function createRoster(self: number): Roster {
    const options = { readSelfState: () => 'ready' as const, minHomes: 3, minHomeCapacity: 1 };
    const roster = new Roster({ ...options, clock, self: makeInfo(self) });
    for (let index = 0; index < DAEMONS; index += 1) roster.addMember(makeInfo(index));
    return roster;
  }

  beforeEach(() => {
    clock = new ManualClock();
  });

  it('are a few in each round while none answers, and others in the next', async () => {
    const roster = createRoster(200);
    const polled = new Set<string>();
    for (let round = 0; round < 10; round += 1) {
      const listed = roster.listToPoll(500);
      expect(listed).to.have.length.within(1, 6);
      for (const { ip } of listed) polled.add(ip);
      await clock.advance(100);
    }
    expect(polled.size).to.be.greaterThan(10);
  });
  it('are a few while all daemons are starting and none is ready', () => {
    const roster = createRoster(200);
    for (let index = 0; index < DAEMONS; index += 1) {
      roster.recordStatus(makeInfo(index), { ...READY, state: 'starting' });
    }
    expect(roster.listToPoll()).to.have.length.within(1, 6);
  });
  it('are two homes, one of its own failure domain, when it is not a home itself', () => {
    const counts = new Map<string, number>();
    for (let self = 100; self < 300; self += 1) {
      const roster = createRoster(self);
      for (let index = 0; index < 15; index += 1) roster.recordStatus(makeInfo(index), READY);
      const listed = roster.listToPoll();
      expect(listed).to.have.length(2);
      expect(listed[0].domain).to.equal(makeInfo(self).domain);
      for (const { ip } of listed) counts.set(ip, (counts.get(ip) ?? 0) + 1);
    }
    // Each of the five homes gets its part of the polls.
    expect(counts.size).to.equal(5);
    expect(Math.max(...counts.values())).to.be.lessThan(120);
  });
  it('are all homes and two successors, when it is a home itself', () => {
    const [first] = createRoster(0).listHomes();
    const self = Array.from({ length: 15 }, (_, index) => index).find(
      (index) => makeInfo(index).ip === first?.ip,
    );
    const roster = createRoster(self ?? 0);
    for (let index = 0; index < 15; index += 1) roster.recordStatus(makeInfo(index), READY);
    expect(roster.listHomes()).to.have.length(DOMAINS);
    expect(roster.listToPoll()).to.have.length(DOMAINS - 1 + 2);
  });
  it('relay the states of other homes, with the age of that information', async () => {
    const roster = createRoster(200);
    const source = createRoster(0);
    for (let index = 0; index < 15; index += 1) source.recordStatus(makeInfo(index), READY);
    await clock.advance(500);
    for (const presence of source.listPresences()) roster.mergePresence(presence);
    expect(roster.listHomes()).to.have.length(DOMAINS);
    await clock.advance(750);
    // Information that is 1250 ms old is not valid any more, whoever received it.
    const homes = roster.listHomes().filter(({ ip }) => ip !== makeInfo(200).ip);
    expect(homes).to.deep.equal([]);
  });
  it('relay states of which the latest counts, whoever reported the earlier one', async () => {
    const roster = createRoster(200);
    const { ip } = makeInfo(1);
    await clock.advance(1000);
    roster.recordStatus(makeInfo(1), { ...READY, state: 'stopping' });
    roster.mergePresence({ ip, state: 'ready', age: 50 });
    expect(roster.listHomes().map((home) => home.ip)).to.not.include(ip);
    await clock.advance(100);
    roster.mergePresence({ ip, state: 'ready', age: 50 });
    expect(roster.listHomes().map((home) => home.ip)).to.include(ip);
  });
});

describe('the utilisation of a daemon', () => {
  it('follows the fraction of time in which its event loop was busy', async () => {
    const clock = new ManualClock();
    let utilisation = 0.2;
    const meter = new UtilisationMeter(clock, () => utilisation);
    expect(meter.read()).to.equal(0.2);
    utilisation = 0.8;
    await clock.advance(500);
    expect(meter.read()).to.be.closeTo(0.5, 0.01);
  });
});
