import { expect } from 'chai';
import {
  KneeEstimate,
  SlowdownHistory,
  RouteTime,
  SlowdownModel,
  findLatenessCause,
} from '../src/balance/index.js';
import { createSeededRandom } from '../src/kernel/index.js';

/**
 * Returns the speed of one target over time: slow for a share of the periods of `life`
 * milliseconds.
 */
function drawSpeeds(life: number, { share = 0.25, slowdown = 5, seed = 1 } = {}) {
  const random = createSeededRandom(seed);
  const drawn = new Map<number, number>();
  return (at: number) => {
    const index = Math.floor(at / life);
    if (!drawn.has(index)) drawn.set(index, random.next() < share ? 1 / slowdown : 1);
    return drawn.get(index) as number;
  };
}

describe('the lifetime of a reported slowdown', () => {
  const learnParameters = (life: number, interval: number) => {
    const model = new SlowdownModel();
    const targets = Array.from({ length: 24 }, (_, index) => ({
      readSpeed: drawSpeeds(life, { seed: index + 1 }),
      history: new SlowdownHistory(model),
    }));
    for (let at = 0; at < 12_000; at += interval) {
      for (const [index, { readSpeed, history }] of targets.entries()) {
        const reportedAt = at + index;
        history.record(1 / readSpeed(reportedAt), reportedAt);
        model.record(1 / readSpeed(reportedAt), reportedAt);
      }
    }
    return model.read(12_000);
  };
  for (const [life, min, max] of [
    [150, 110, 200],
    [500, 360, 670],
    [1500, 900, 2400],
  ] as const) {
    it(`is learned from reports every 100 ms: ${life} ms`, () => {
      const parameters = learnParameters(life, 100);
      expect(parameters.life).to.be.within(min, max);
      expect(parameters.mean).to.be.within(1.3, 2.7);
      expect(parameters.slow).to.be.closeTo(5, 0.01);
    });
  }
  it('is the initial value until there are enough samples, and where slowdowns never change', () => {
    const model = new SlowdownModel();
    expect(model.read(0).life).to.equal(500);
    const history = new SlowdownHistory(model);
    for (let at = 0; at < 9000; at += 50) history.record(1, at);
    expect(model.read(9000).life).to.equal(500);
  });
});

describe('the estimated slowdown of a target at a given time', () => {
  const parameters = { mean: 2, slow: 5, life: 150 };
  const makeHistory = (...reports: readonly (readonly [number, number])[]) => {
    const history = new SlowdownHistory(new SlowdownModel());
    for (const [at, slowdown] of reports) history.record(slowdown, at);
    return history;
  };
  it('follows the last report, less so the older that is', () => {
    const history = makeHistory([1000, 5]);
    expect(history.estimate(1000, parameters)).to.equal(5);
    expect(history.estimate(1075, parameters)).to.equal(3.5);
    expect(history.estimate(1150, parameters)).to.equal(2);
    expect(history.estimate(900, parameters)).to.equal(5 / 3 + 2 * (2 / 3));
  });
  it('follows the reports just before and after that time, not later ones', () => {
    const history = makeHistory([1000, 1], [1100, 1], [1200, 1], [1300, 5], [1400, 5]);
    expect(history.estimate(1050, parameters)).to.equal(1);
    expect(history.estimate(1250, parameters)).to.be.closeTo(3, 1e-9);
  });
  it('is the mean where there is no report', () => {
    expect(makeHistory().estimate(10, parameters)).to.equal(2);
    expect(makeHistory([1000, 5], [1000, 1]).estimate(1000, parameters)).to.equal(5);
  });
});

describe('the duration of the calls of a route', () => {
  it('has a spread that covers most calls and ignores calls that met a fault', () => {
    const time = new RouteTime();
    const random = createSeededRandom(2);
    for (let index = 0; index < 3000; index += 1) {
      time.recordWork(200, index * 10);
      time.recordRatio(0.5 + random.next());
    }
    expect(time.readWork()).to.be.closeTo(200, 1);
    expect(time.readSpread()).to.be.within(1.25, 1.45);
    for (let index = 0; index < 300; index += 1) time.recordRatio(20);
    expect(time.readSpread()).to.be.within(1.25, 1.45);
  });
  it('excludes what a crowded target added to a call', () => {
    const knee = new KneeEstimate();
    for (let index = 0; index < 60; index += 1) {
      knee.observe(1, [0.2, 0.5], index);
      knee.observe(1.7, [1, 1], index);
    }
    expect(knee.observe(1.7, [1, 1], 100)).to.be.closeTo(1.7, 0.01);
    expect(knee.observe(1, [0.2, 0.5], 100)).to.equal(1);
  });
});

describe('the cause of a late answer', () => {
  const timings = { aimLeft: 500, waited: 0, held: 900, attempts: 1 };
  for (const [changes, cause] of [
    [{ held: 500 }, 'in-time'],
    [{ aimLeft: -30 }, 'came-late'],
    [{ aimLeft: 150 }, 'came-late'],
    [{ waited: 350 }, 'waited'],
    [{ attempts: 2 }, 'second-attempt'],
    [{}, 'slow-target'],
  ] as const) {
    it(`${JSON.stringify(changes)}: ${cause}`, () => {
      expect(findLatenessCause({ ...timings, ...changes }, 200)).to.equal(cause);
    });
  }
});
