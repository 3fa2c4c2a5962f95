/**
 * Pattern: targets that start while calls come, or turn cold at any moment, bear a few requests a second until they
 * are warm, from all daemons together. Seen on the users' platform: daemons weighed a cold target as slower than
 * others, and nothing bounded what it was sent; one that turned cold again was learnt of after its heartbeat.
 */
import { expect } from 'chai';
import { RateLimiter, WarmUpState, computeColdRate, computeOwnRate } from '../src/balance/index.js';
import { pause } from '../src/demo/index.js';
import { type Random, createSeededRandom } from '../src/kernel/index.js';
import { COLD_OVERSHOOT, COLD_SLACK, Site, sendTo } from './helpers/gateways.js';
import type { RecordingTarget } from '../src/standin/index.js';

const RULES = [{ prefix: '/a/', attempts: 1 }] as const;

/** Requests a second that a cold target bears, and that it may get. */
const RATE = 4;
const MOST = RATE * COLD_OVERSHOOT + COLD_SLACK;

const SECOND = 1000;

/** Notes when a target begins to run each request. */
function watchArrivals(target: RecordingTarget): readonly number[] {
  const arrivals: number[] = [];
  target.behaviour = (request, response) => {
    arrivals.push(performance.now());
    target.answer(request, response);
  };
  return arrivals;
}

/** Counts the most arrivals in any second, from a moment on. */
function countBusiest(arrivals: readonly number[], since = 0): number {
  const times = arrivals.filter((at) => at >= since);
  const counts = times.map((from) => times.filter((at) => at >= from && at < from + SECOND).length);
  return Math.max(0, ...counts);
}

/** Sends requests to each daemon, some at a time, for a while; returns their statuses. */
async function sendFor(ips: readonly string[], time: number): Promise<readonly number[]> {
  const until = performance.now() + time;
  const statuses: number[] = [];
  const sendOn = async (ip: string) => {
    while (performance.now() < until) {
      statuses.push((await sendTo(ip)).status);
      await pause(10);
    }
  };
  await Promise.all(ips.flatMap((ip) => [sendOn(ip), sendOn(ip)]));
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
    arrivals = watchArrivals(cold);
  });
  afterEach(() => site.stop());

  it('that has just started gets no more than it bears, from all daemons together', async () => {
    const other = await site.addTarget('alpha');
    other.slowdown = 700;
    site.putTarget(cold, { cold: 4000 });
    const first = await site.addGateway();
    const ips = [first, await site.addGateway([first]), await site.addGateway([first])];
    await pause(1800);
    await sendFor(ips, 2000);
    expect(countBusiest(arrivals)).to.be.within(1, MOST);
  }).timeout(15_000);

  it('that is the only one gets what it bears, and callers are told the truth', async () => {
    site.putTarget(cold, { cold: 60_000 });
    const ip = await site.addGateway();
    await pause(1800);
    const statuses = await sendFor([ip], 2500);
    expect(countBusiest(arrivals)).to.be.within(2, MOST);
    expect(statuses.filter((status) => status === 200)).to.have.length(arrivals.length);
  }).timeout(15_000);

  it('that turns cold again is spared once a health answer says so', async () => {
    const ip = await site.addGateway();
    await sendFor([ip], 500);
    const warm = arrivals.length;
    expect(warm).to.be.greaterThan(10);
    cold.coldLeft = 60_000;
    await sendFor([ip], 500);
    const since = performance.now();
    await sendFor([ip], 2000);
    expect(countBusiest(arrivals, since)).to.be.at.most(MOST);
    cold.coldLeft = 0;
    await pause(500);
    const before = arrivals.length;
    await sendFor([ip], 500);
    expect(arrivals.length - before).to.be.greaterThan(10);
  }).timeout(15_000);

  it('that turns cold again is spared once its entry says so', async () => {
    const ip = await site.addGateway();
    await sendFor([ip], 500);
    site.putTarget(cold, { cold: 60_000, seq: 2 });
    await sendFor([ip], 800);
    const since = performance.now();
    await sendFor([ip], 2000);
    expect(countBusiest(arrivals, since)).to.be.at.most(MOST);
  }).timeout(15_000);

  it('in a domain that was evacuated counts as cold until it is known to be warm', async () => {
    const ip = await site.addGateway();
    await sendFor([ip], 500);
    site.store.put('op/evacuate/d1', '{}');
    await pause(SECOND);
    cold.coldLeft = 60_000;
    const since = performance.now();
    site.store.remove('op/evacuate/d1');
    await sendFor([ip], 2500);
    expect(countBusiest(arrivals, since)).to.be.within(1, MOST);
  }).timeout(15_000);

  it('bears what its service does not limit', async () => {
    site.configure(RULES, { coldRate: 'many' });
    site.putTarget(cold, { cold: 60_000 });
    const ip = await site.addGateway();
    await pause(500);
    await sendFor([ip], 500);
    expect(arrivals.length).to.be.greaterThan(10);
    const told = site.events.filter(({ event }) => event === 'configuration.unreadable');
    // One for each service.
    expect(told).to.have.length(2);
    expect(told[0].fields.what).to.contain('warmup_per_s');
  }).timeout(15_000);
});

describe('what falls to each daemon of what a cold target bears', () => {
  const DAEMONS = 12;

  /** A fleet in which everybody looks to some daemons, and turns to others all the time. */
  class LookingFleet {
    readonly #asked: number[][];

    /** When each daemon was last asked by each other one, and among how many. */
    readonly #askers = Array.from(
      { length: DAEMONS },
      () => new Map<number, { readonly at: number; readonly among: number }>(),
    );

    constructor(private readonly random: Random) {
      this.#asked = Array.from({ length: DAEMONS }, () => this.#drawAsked());
    }

    step(now: number): void {
      for (let daemon = 0; daemon < DAEMONS; daemon += 1) {
        if (this.random.next() < 0.02) this.#asked[daemon] = this.#drawAsked();
        const asked = this.#asked[daemon];
        for (const to of asked) this.#askers[to].set(daemon, { at: now, among: asked.length + 1 });
      }
    }

    /** The part as a daemon measures it: who asked of late, and itself. */
    measurePart(daemon: number, now: number): number {
      let part = 1 / (this.#asked[daemon].length + 1);
      for (const { at, among } of this.#askers[daemon].values()) {
        if (now - at < 1200) part += 1 / among;
      }
      return Math.min(1, part / DAEMONS);
    }

    #drawAsked(): number[] {
      return Array.from({ length: 1 + Math.floor(this.random.next() * 2) }, () =>
        // Few are looked to by most, as homes are.
        Math.floor(this.random.next() ** 3 * DAEMONS),
      );
    }
  }

  it('never sums up to more than it may get in a second, whoever looks to whom', () => {
    const bound = { rate: 4.5, overshoot: 1.5, slack: 8 };
    const most = bound.rate * bound.overshoot + bound.slack;
    for (let history = 0; history < 300; history += 1) {
      const random = createSeededRandom(history);
      const fleet = new LookingFleet(random);
      const buckets = Array.from({ length: DAEMONS }, () => new RateLimiter());
      const shared = computeColdRate(bound);
      if (shared === undefined) throw new Error('a stated rate is one that is shared');
      const arrivals: number[] = [];
      for (let now = 0; now < 8000; now += 50) {
        fleet.step(now);
        for (const [daemon, bucket] of buckets.entries()) {
          // Whatever others say, each takes itself for the only home.
          const share = { part: fleet.measurePart(daemon, now), homes: ['self'], self: 'self' };
          while (bucket.maySend(now, computeOwnRate(shared, share, 1))) {
            bucket.take();
            arrivals.push(now + random.next() * 250);
          }
        }
      }
      expect(countBusiest(arrivals), `history ${history}`).to.be.at.most(most);
    }
  });

  it('leaves room for daemons that are counted twice and for what is saved up', () => {
    const shared = computeColdRate({ rate: 4.5, overshoot: 1.5, slack: 8 });
    expect(shared?.maxSenders).to.equal(3);
    expect(shared?.rate).to.be.within(4, 4.5);
    // What is sent in 1.25 s may arrive in one.
    expect(2 * 1.25 * (shared?.rate ?? 0) + 3).to.be.at.most(4.5 * 1.5 + 8);
    expect(computeColdRate({ rate: 100, overshoot: 1, slack: 1000 })?.rate).to.equal(100);
    expect(computeColdRate({ rate: Infinity, overshoot: 1.5, slack: 8 })).to.equal(undefined);
  });

  it('is none of it for a daemon that is no home or that nobody looks to, and all for the only one', () => {
    const shared = { rate: 6, maxSenders: 4 };
    const homes = ['a', 'b', 'c'];
    expect(computeOwnRate(shared, { part: 1 / 3, homes, self: 'd' }, 1)).to.equal(0);
    expect(computeOwnRate(shared, { part: 0, homes, self: 'a' }, 1)).to.equal(0);
    expect(computeOwnRate(shared, { part: 1 / 3, homes, self: 'a' }, 1)).to.equal(2);
    expect(computeOwnRate(shared, { part: 1, homes: ['a'], self: 'a' }, 1)).to.equal(6);
  });
});

describe('what is known of how warm a target is', () => {
  it("its own later word holds; an entry's word may be older and only ever lengthens it", () => {
    const warmth = new WarmUpState();
    expect(warmth.isCold(0)).to.equal(false);
    warmth.suspectCold(3000);
    expect(warmth.isCold(2999)).to.equal(true);
    expect(warmth.observe(0, 1000)).to.equal(true);
    expect(warmth.isCold(1000)).to.equal(false);
    expect(warmth.observe(500, 900)).to.equal(false);
    expect(warmth.isCold(1000)).to.equal(false);
    warmth.observe(500, 1100);
    warmth.suspectCold(1200);
    expect(warmth.isCold(1599)).to.equal(true);
    expect(warmth.isCold(1600)).to.equal(false);
  });
});
