/**
 * Targets that start under load, or become cold again at any time, can handle only a few requests a
 * second from all daemons together until they are warm.
 *
 * Guards against two faults: a cold target was only taken for slower than others, so nothing
 * limited what it was sent; and a target that became cold again was noticed only after its next
 * heartbeat.
 */
import { expect } from 'chai';
import { RateLimiter, WarmUpState, computeColdRate, computeOwnRate } from '../src/balance/index.js';
import { pause } from '../src/demo/index.js';
import { type Random, createSeededRandom } from '../src/kernel/index.js';
import { COLD_OVERSHOOT, COLD_SLACK, Site, sendTo } from './helpers/gateways.js';
import type { RecordingTarget } from '../src/standin/index.js';

const RULES = [{ prefix: '/a/', attempts: 1 }] as const;

/** Requests a second that a cold target can handle, and the most that it may get in a second. */
const RATE = 4;
const MAX_PER_SECOND = RATE * COLD_OVERSHOOT + COLD_SLACK;

const SECOND_MS = 1000;

/** Records when a target starts to run each request. */
function recordArrivals(target: RecordingTarget): readonly number[] {
  const arrivals: number[] = [];
  target.behaviour = (request, response) => {
    arrivals.push(performance.now());
    target.answer(request, response);
  };
  return arrivals;
}

/** Returns the largest number of arrivals within one second, from a point in time on. */
function countMaxPerSecond(arrivals: readonly number[], since = 0): number {
  const times = arrivals.filter((at) => at >= since);
  const counts = times.map(
    (from) => times.filter((at) => at >= from && at < from + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

/** Sends requests to each daemon for a while, two concurrently, and returns the statuses. */
async function sendFor(ips: readonly string[], time: number): Promise<readonly number[]> {
  const until = performance.now() + time;
  const statuses: number[] = [];
  const sendRepeatedly = async (ip: string) => {
    while (performance.now() < until) {
      statuses.push((await sendTo(ip)).status);
      await pause(10);
    }
  };
  await Promise.all(ips.flatMap((ip) => [sendRepeatedly(ip), sendRepeatedly(ip)]));
  return statuses;
}

describe('a cold target', () => {
  let site: Site;
  let cold: RecordingTarget;
  let arrivals: readonly number[];
  beforeEach(async () => {
    site = await new Site().start(RULES);
    site.configure(RULES, { coldRate: RATE });
    cold = await site.addTarget('alpha');
    arrivals = recordArrivals(cold);
  });
  afterEach(() => site.stop());

  it('that has just started gets no more than its limit from all daemons together', async () => {
    const other = await site.addTarget('alpha');
    other.slowdown = 700;
    site.putTarget(cold, { cold: 4000 });
    const first = await site.addGateway();
    const ips = [first, await site.addGateway([first]), await site.addGateway([first])];
    await pause(1800);
    await sendFor(ips, 2000);
    expect(countMaxPerSecond(arrivals)).to.be.within(1, MAX_PER_SECOND);
  }).timeout(15_000);

  it('that is the only one gets requests up to its limit, and exactly those succeed', async () => {
    site.putTarget(cold, { cold: 60_000 });
    const ip = await site.addGateway();
    await pause(1800);
    const statuses = await sendFor([ip], 2500);
    expect(countMaxPerSecond(arrivals)).to.be.within(2, MAX_PER_SECOND);
    expect(statuses.filter((status) => status === 200)).to.have.length(arrivals.length);
  }).timeout(15_000);

  it('that becomes cold again is limited once a health check states it', async () => {
    const ip = await site.addGateway();
    await sendFor([ip], 500);
    const arrivalsWhileWarm = arrivals.length;
    expect(arrivalsWhileWarm).to.be.greaterThan(10);
    cold.coldLeft = 60_000;
    await sendFor([ip], 500);
    const since = performance.now();
    await sendFor([ip], 2000);
    expect(countMaxPerSecond(arrivals, since)).to.be.at.most(MAX_PER_SECOND);
    cold.coldLeft = 0;
    await pause(500);
    const before = arrivals.length;
    await sendFor([ip], 500);
    expect(arrivals.length - before).to.be.greaterThan(10);
  }).timeout(15_000);

  it('that becomes cold again is limited once its entry states it', async () => {
    const ip = await site.addGateway();
    await sendFor([ip], 500);
    site.putTarget(cold, { cold: 60_000, seq: 2 });
    await sendFor([ip], 800);
    const since = performance.now();
    await sendFor([ip], 2000);
    expect(countMaxPerSecond(arrivals, since)).to.be.at.most(MAX_PER_SECOND);
  }).timeout(15_000);

  it('in a failure domain that was evacuated counts as cold until it is known to be warm', async () => {
    const ip = await site.addGateway();
    await sendFor([ip], 500);
    site.store.put('op/evacuate/d1', '{}');
    await pause(SECOND_MS);
    cold.coldLeft = 60_000;
    const since = performance.now();
    site.store.remove('op/evacuate/d1');
    await sendFor([ip], 2500);
    expect(countMaxPerSecond(arrivals, since)).to.be.within(1, MAX_PER_SECOND);
  }).timeout(15_000);

  it('gets any number of requests if its service states no valid limit', async () => {
    site.configure(RULES, { coldRate: 'many' });
    site.putTarget(cold, { cold: 60_000 });
    const ip = await site.addGateway();
    await pause(500);
    await sendFor([ip], 500);
    expect(arrivals.length).to.be.greaterThan(10);
    const reported = site.events.filter(({ event }) => event === 'configuration.unreadable');
    // One for each service.
    expect(reported).to.have.length(2);
    expect(reported[0].fields.what).to.contain('warmup_per_s');
  }).timeout(15_000);
});

describe('the part of each daemon in the rate limit of a cold target', () => {
  const DAEMONS = 12;

  /** A fleet in which every daemon polls some others, and changes them all the time. */
  class PollingFleet {
    readonly #polled: number[][];

    /**
     * When each daemon was last polled by each other one, and how many that one reports to,
     * including itself.
     */
    readonly #pollers = Array.from(
      { length: DAEMONS },
      () => new Map<number, { readonly at: number; readonly among: number }>(),
    );

    constructor(private readonly random: Random) {
      this.#polled = Array.from({ length: DAEMONS }, () => this.#drawPolled());
    }

    step(now: number): void {
      for (let daemon = 0; daemon < DAEMONS; daemon += 1) {
        if (this.random.next() < 0.02) this.#polled[daemon] = this.#drawPolled();
        const polled = this.#polled[daemon];
        for (const to of polled)
          this.#pollers[to].set(daemon, { at: now, among: polled.length + 1 });
      }
    }

    /**
     * Returns the part that a daemon measures, from the daemons that polled it recently and itself.
     */
    measurePart(daemon: number, now: number): number {
      let part = 1 / (this.#polled[daemon].length + 1);
      for (const { at, among } of this.#pollers[daemon].values()) {
        if (now - at < 1200) part += 1 / among;
      }
      return Math.min(1, part / DAEMONS);
    }

    #drawPolled(): number[] {
      return Array.from({ length: 1 + Math.floor(this.random.next() * 2) }, () =>
        // Most daemons poll the same few, as they do with homes.
        Math.floor(this.random.next() ** 3 * DAEMONS),
      );
    }
  }

  it('never adds up to more than the target may get in a second, whichever daemons report to which', () => {
    const bound = { rate: 4.5, overshoot: 1.5, slack: 8 };
    const maxPerSecond = bound.rate * bound.overshoot + bound.slack;
    for (let history = 0; history < 300; history += 1) {
      const random = createSeededRandom(history);
      const fleet = new PollingFleet(random);
      const limiters = Array.from({ length: DAEMONS }, () => new RateLimiter());
      const shared = computeColdRate(bound);
      if (shared === undefined) throw new Error('expected a rate that daemons share');
      const arrivals: number[] = [];
      for (let now = 0; now < 8000; now += 50) {
        fleet.step(now);
        for (const [daemon, limiter] of limiters.entries()) {
          // Each daemon takes itself for the only home, whatever the others report.
          const share = { part: fleet.measurePart(daemon, now), homes: ['self'], self: 'self' };
          while (limiter.maySend(now, computeOwnRate(shared, share, 1))) {
            limiter.take();
            arrivals.push(now + random.next() * 250);
          }
        }
      }
      expect(countMaxPerSecond(arrivals), `history ${history}`).to.be.at.most(maxPerSecond);
    }
  });

  it('leaves a margin for daemons that are counted twice and for saved-up requests', () => {
    const shared = computeColdRate({ rate: 4.5, overshoot: 1.5, slack: 8 });
    expect(shared?.maxSenders).to.equal(3);
    expect(shared?.rate).to.be.within(4, 4.5);
    // Requests that are sent within 1.25 s may arrive within 1 s.
    expect(2 * 1.25 * (shared?.rate ?? 0) + 3).to.be.at.most(4.5 * 1.5 + 8);
    expect(computeColdRate({ rate: 100, overshoot: 1, slack: 1000 })?.rate).to.equal(100);
    expect(computeColdRate({ rate: Infinity, overshoot: 1.5, slack: 8 })).to.equal(undefined);
  });

  it('is nothing for a daemon that is not a home or to which none reports, and all for the only one', () => {
    const shared = { rate: 6, maxSenders: 4 };
    const homes = ['a', 'b', 'c'];
    expect(computeOwnRate(shared, { part: 1 / 3, homes, self: 'd' }, 1)).to.equal(0);
    expect(computeOwnRate(shared, { part: 0, homes, self: 'a' }, 1)).to.equal(0);
    expect(computeOwnRate(shared, { part: 1 / 3, homes, self: 'a' }, 1)).to.equal(2);
    expect(computeOwnRate(shared, { part: 1, homes: ['a'], self: 'a' }, 1)).to.equal(6);
  });
});

describe('the known cold state of a target', () => {
  it("follows the target's own latest report; an entry may be older and only extends it", () => {
    const warmUp = new WarmUpState();
    expect(warmUp.isCold(0)).to.equal(false);
    warmUp.suspectCold(3000);
    expect(warmUp.isCold(2999)).to.equal(true);
    expect(warmUp.observe(0, 1000)).to.equal(true);
    expect(warmUp.isCold(1000)).to.equal(false);
    expect(warmUp.observe(500, 900)).to.equal(false);
    expect(warmUp.isCold(1000)).to.equal(false);
    warmUp.observe(500, 1100);
    warmUp.suspectCold(1200);
    expect(warmUp.isCold(1599)).to.equal(true);
    expect(warmUp.isCold(1600)).to.equal(false);
  });
});
