/**
 * Guards the rate limit of a target when the rate is below one request a second per daemon and
 * daemons disagree on the homes: homes come and go, the fleet is partitioned, callers pause and
 * return all at once.
 */
import { expect } from 'chai';
import { AdvertisedRate, RateLimiter, computeOwnRate } from '../src/balance/index.js';
import { type Random, createSeededRandom } from '../src/kernel/index.js';
import { decodeDatagram, encodeDatagram } from '../src/peering/datagram.js';
import { parseRate } from '../src/platform/index.js';

const SECOND = 1000;

/** The agreed limit: the requests allowed in any span of this length, in milliseconds. */
const SPAN_MS = 4 * SECOND;
const computeMaxRequests = (rate: number) => 1.5 * rate * 4 + 5;

/** Simulation step, in milliseconds. */
const STEP_MS = 25;

/** Maximum time to open a connection, in milliseconds. */
const MAX_CONNECT_MS = 250;

/** How often a daemon recomputes its part of the fleet, in milliseconds. */
const SHARE_INTERVAL_MS = 100;

const QUERY_INTERVAL_MS = 250;
const QUERY_LIFETIME_MS = 1200;
const MAX_QUERIED_HOMES = 2;

interface Query {
  readonly at: number;
  readonly queriedCount: number;
}

/**
 * A fleet in which every daemon queries those that it takes for homes. Each daemon's view of the
 * homes follows the real ones with a delay; each side of a partition has its own homes.
 */
class Fleet {
  readonly names: readonly string[];

  readonly #views: (readonly string[])[];

  #changes: readonly { readonly daemon: number; readonly at: number }[] = [];

  readonly #indexes: ReadonlyMap<string, number>;

  readonly #queriers: Map<number, Query>[];

  #homes: readonly string[];

  /** Whether a daemon is on the smaller side of a partition. */
  #isOutside: (daemon: number) => boolean = () => false;

  #changeAt: number;

  constructor(
    private readonly random: Random,
    size: number,
    private readonly homes: number,
  ) {
    this.names = Array.from({ length: size }, (_, index) => `vm-${index}`);
    this.#indexes = new Map(this.names.map((name, index) => [name, index] as const));
    this.#homes = this.names.slice(0, homes);
    this.#views = this.names.map((_, daemon) => this.#listHomes(daemon));
    this.#queriers = this.names.map(() => new Map<number, Query>());
    this.#changeAt = 5 * SECOND * random.next();
  }

  step(now: number): void {
    if (now >= this.#changeAt) this.#changeFleet(now);
    const due = this.#changes.filter(({ at }) => at <= now);
    if (due.length > 0) this.#changes = this.#changes.filter(({ at }) => at > now);
    for (const { daemon } of due) this.#views[daemon] = this.#listHomes(daemon);
    for (let daemon = 0; daemon < this.names.length; daemon += 1) {
      if ((now + daemon * STEP_MS) % QUERY_INTERVAL_MS === 0) this.#sendQueries(daemon, now);
    }
  }

  readShare(daemon: number, now: number) {
    const homes = this.#views[daemon];
    const self = this.names[daemon];
    const queried = this.#listQueried(daemon).length + 1;
    let reportingWeight = homes.includes(self) ? 1 / queried : 0;
    for (const [querier, { at, queriedCount }] of this.#queriers[daemon]) {
      const isHome = homes.includes(this.names[querier]);
      if (now - at < QUERY_LIFETIME_MS)
        reportingWeight += 1 / (isHome ? queriedCount : Math.max(1, queriedCount - 1));
    }
    return { part: Math.min(1, reportingWeight / this.names.length), homes, self };
  }

  /** Replaces one home, or begins or ends a partition. */
  #changeFleet(now: number): void {
    const { random, names } = this;
    this.#changeAt = now + (2 + 4 * random.next()) * SECOND;
    if (random.next() < 0.3) {
      const firstOutside = random.next() < 0.5 ? 0 : Math.floor(names.length * random.next() * 0.5);
      this.#isOutside = (daemon) => daemon < firstOutside;
    } else {
      const next = names[Math.floor(random.next() * names.length)];
      const removed = Math.floor(random.next() * this.#homes.length);
      if (this.#homes.includes(next)) return;
      this.#homes = this.#homes.map((home, index) => (index === removed ? next : home));
    }
    const changes = names.map((_, daemon) => ({ daemon, at: now + SECOND * random.next() }));
    this.#changes = [...this.#changes, ...changes];
  }

  #listHomes(daemon: number): readonly string[] {
    const isReachable = (name: string) =>
      this.#isOutside(this.#findIndex(name)) === this.#isOutside(daemon);
    const successors = this.names.filter((name) => !this.#homes.includes(name));
    return [...this.#homes, ...successors].filter(isReachable).slice(0, this.homes);
  }

  #findIndex(name: string): number {
    return this.#indexes.get(name) ?? expect.fail(name);
  }

  #listQueried(daemon: number): readonly string[] {
    const homes = this.#views[daemon];
    const self = this.names[daemon];
    if (homes.includes(self)) return homes.filter((name) => name !== self);
    const start = daemon % Math.max(1, homes.length);
    return [...homes.slice(start), ...homes.slice(0, start)].slice(0, MAX_QUERIED_HOMES);
  }

  #sendQueries(daemon: number, now: number): void {
    const queried = this.#listQueried(daemon);
    for (const name of queried) {
      const to = this.#findIndex(name);
      if (this.#isOutside(to) !== this.#isOutside(daemon)) continue;
      this.#queriers[to].set(daemon, { at: now, queriedCount: queried.length + 1 });
    }
  }
}

/** Returns the maximum number of arrivals in any span. */
function countMaxArrivals(arrivals: readonly number[]): number {
  const times = [...arrivals].sort((a, b) => a - b);
  let max = 0;
  let first = 0;
  for (const [index, at] of times.entries()) {
    while (at - times[first] >= SPAN_MS) first += 1;
    max = Math.max(max, index - first + 1);
  }
  return max;
}

describe('a rate that all daemons share', () => {
  const DURATION_MS = 30 * SECOND;

  for (const rate of [0.5, 1, 2.9, 4.6, 10]) {
    it(`of ${rate} a second is kept in any four seconds, even if daemons disagree on the homes`, () => {
      for (let history = 0; history < 120; history += 1) {
        const random = createSeededRandom(history);
        const homes = 1 + Math.floor(random.next() * 8);
        const fleet = new Fleet(random, 9 + Math.floor(random.next() * 30), homes);
        const advertised = new AdvertisedRate();
        advertised.observe({ rate, at: 0 }, 0, true);
        const shared = advertised.read(0) ?? expect.fail('the rate is announced');
        const limiters = fleet.names.map(() => new RateLimiter());
        const arrivals: number[] = [];
        let rates: readonly number[] = [];
        let isPaused = false;
        for (let now = 0; now < DURATION_MS; now += STEP_MS) {
          fleet.step(now);
          if (now % SHARE_INTERVAL_MS === 0) {
            rates = limiters.map((_, daemon) =>
              computeOwnRate(shared, fleet.readShare(daemon, now), 7),
            );
          }
          if (random.next() < 0.01) isPaused = !isPaused;
          for (const [daemon, limiter] of limiters.entries()) {
            if (!limiter.maySend(now, rates[daemon]) || isPaused) continue;
            limiter.take();
            arrivals.push(now + MAX_CONNECT_MS * random.next());
          }
        }
        expect(countMaxArrivals(arrivals), `history ${history}`).to.be.at.most(
          computeMaxRequests(rate),
        );
      }
    }).timeout(60_000);

    it(`of ${rate} a second is used for the most part while homes do not change`, () => {
      const advertised = new AdvertisedRate();
      advertised.observe({ rate, at: 0 }, 0, true);
      const shared = advertised.read(0) ?? expect.fail('the rate is announced');
      for (let homes = 1; homes <= 8; homes += 1) {
        // Simulates only the time before the first change.
        const fleet = new Fleet({ ...createSeededRandom(1), next: () => 1 }, 20, homes);
        const limiters = fleet.names.map(() => new RateLimiter());
        let sent = 0;
        for (let now = 0; now < 40 * SECOND; now += STEP_MS) {
          if (now < 2 * SECOND) fleet.step(now);
          // The queries stay valid, because daemons repeat them.
          const at = Math.min(now, 2 * SECOND);
          for (const [daemon, limiter] of limiters.entries()) {
            if (!limiter.maySend(now, computeOwnRate(shared, fleet.readShare(daemon, at), 7)))
              continue;
            limiter.take();
            sent += 1;
          }
        }
        expect(sent, `${homes} homes`).to.be.within(rate * 40 * 0.75 - homes, rate * 40 + homes);
      }
    });
  }
});

describe('the rate that a target announces', () => {
  it('is the one that the target announced last, whichever daemon reports it', () => {
    const advertised = new AdvertisedRate();
    expect(advertised.observe({ rate: 3, at: 1000 }, 1000, true)).to.deep.equal({
      ...{ before: undefined, rate: 3 },
    });
    // An older announcement from another daemon, and an answer to a call sent before.
    expect(advertised.observe({ rate: 8, at: 900 }, 1100, false)).to.equal(undefined);
    expect(advertised.observe({ rate: undefined, at: 950 }, 1200, true)).to.equal(undefined);
    expect(advertised.read(1200)?.rate).to.equal(3);
    expect(advertised.observe({ rate: 5, at: 1300 }, 1400, false)?.rate).to.equal(5);
    expect(advertised.read(1400)?.rate).to.equal(5);
  });

  it('ramps up for two seconds once the target announces none any more', () => {
    const advertised = new AdvertisedRate();
    advertised.observe({ rate: 2, at: 0 }, 0, true);
    advertised.observe({ rate: undefined, at: 900 }, 1000, true);
    const rates = [1000, 1200, 1400, 2000, 2999].map((now) => advertised.read(now)?.rate);
    expect(rates.slice(0, 3)).to.deep.equal([2, 4, 8]);
    expect(rates[3]).to.be.within(60, 70);
    expect(advertised.read(3000)).to.equal(undefined);
  });

  it('leaves one request in four seconds, from one home, if it is zero', () => {
    const advertised = new AdvertisedRate();
    advertised.observe({ rate: 0, at: 0 }, 0, true);
    expect(advertised.read(10)).to.deep.equal({ rate: 0.25, maxSenders: 1 });
  });

  it('is passed on only by daemons that got it from the target, and for a while after it ends', () => {
    const advertised = new AdvertisedRate();
    expect(advertised.readAnnouncement(0)).to.equal(undefined);
    advertised.observe({ rate: 3, at: 10 }, 10, false);
    expect(advertised.readAnnouncement(10)).to.equal(undefined);
    advertised.observe({ rate: 3, at: 20 }, 20, true);
    advertised.observe({ rate: 3, at: 25 }, 30, false);
    expect(advertised.readAnnouncement(30)?.rate).to.equal(3);
    advertised.observe({ rate: undefined, at: 40 }, 50, true);
    expect(advertised.readAnnouncement(60)).to.deep.equal({ rate: undefined, at: 40 });
    expect(advertised.readAnnouncement(2050)).to.equal(undefined);
  });

  it('is a plain decimal number', () => {
    expect(parseRate(undefined)).to.deep.equal({ kind: 'silent' });
    for (const [text, rate] of [
      ...([['0', 0] as const, ['3.9', 3.9] as const] as const),
      ...([['10', 10] as const, ['.5', 0.5] as const, ['7.', 7] as const] as const),
    ]) {
      expect(parseRate(text), text).to.deep.equal({ kind: 'named', rate });
    }
    for (const text of ['', '-1', '+1', 'NaN', 'Infinity', '0x10', '1e3', '3, 4', '٣', '.']) {
      expect(parseRate(text).kind, text).to.equal('unreadable');
    }
    expect(parseRate('9'.repeat(400))).to.deep.equal({ kind: 'unreadable', text: '9'.repeat(20) });
  });

  it('is transferred in load datagrams, beside load reports without a rate', () => {
    const loadReport = { target: 1, inFlight: 2, slowdown: 1, age: 3 };
    const loadReports = [
      loadReport,
      { ...loadReport, target: 2, advertisedRate: { rate: 3.9, age: 40 } },
      { ...loadReport, target: 3, advertisedRate: { rate: undefined, age: 0 } },
    ];
    expect(decodeDatagram(encodeDatagram({ kind: 'load', loadReports }))).to.deep.equal({
      ...{ kind: 'load', loadReports },
    });
    const bad = { ...loadReport, advertisedRate: { rate: -1, age: 0 } };
    expect(decodeDatagram(encodeDatagram({ kind: 'load', loadReports: [bad] }))).to.equal(
      undefined,
    );
  });
});
