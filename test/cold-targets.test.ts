/**
 * Pattern: targets that start while calls come, or turn cold at any moment, bear a few requests a second until they
 * are warm, from all daemons together. Seen on the users' platform: daemons weighed a cold target as slower than
 * others, and nothing bounded what it was sent; one that turned cold again was learnt of after its heartbeat.
 */
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import { COLD_OVERSHOOT, COLD_SLACK, Site, sendTo } from './helpers/gateways.js';
import type { SiteTarget } from '../src/standin/index.js';

const RULES = [{ prefix: '/a/', attempts: 1 }] as const;

/** Requests a second that a cold target bears, and that it may get. */
const RATE = 4;
const MOST = RATE * COLD_OVERSHOOT + COLD_SLACK;

const SECOND = 1000;

/** Notes when a target begins to run each request. */
function watchArrivals(target: SiteTarget): readonly number[] {
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
  let cold: SiteTarget;
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
    site.describeTarget(cold, { cold: 4000 });
    const first = await site.addGateway();
    const ips = [first, await site.addGateway([first]), await site.addGateway([first])];
    await pause(1800);
    await sendFor(ips, 2000);
    expect(countBusiest(arrivals)).to.be.within(1, MOST);
  }).timeout(15_000);

  it('that is the only one gets what it bears, and callers are told the truth', async () => {
    site.describeTarget(cold, { cold: 60_000 });
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
    site.describeTarget(cold, { cold: 60_000, seq: 2 });
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
    site.describeTarget(cold, { cold: 60_000 });
    const ip = await site.addGateway();
    await pause(500);
    await sendFor([ip], 500);
    expect(arrivals.length).to.be.greaterThan(10);
    const told = site.events.filter(({ event }) => event === 'configuration.unreadable');
    expect(told).to.have.length(1);
    expect(told[0].fields.what).to.contain('warmup_per_s');
  }).timeout(15_000);
});
