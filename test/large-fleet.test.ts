/**
 * Pattern: hundreds of targets, a quarter of which work several times as long, and some hundred calls a second
 * at one home. What a call and a probe cost must not grow with the targets.
 */
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { expect } from 'chai';
import {
  type CandidateLoad,
  chooseTarget,
  drawCandidates,
  estimateTime,
} from '../src/balance/index.js';
import { TargetConnections } from '../src/gateway/targets/connections.js';
import { Prober } from '../src/gateway/targets/prober.js';
import {
  ManualClock,
  createSeededRandom,
  createSystemClock,
  scheduleLagTolerantTimeout,
} from '../src/kernel/index.js';
import { decodeConfiguration } from '../src/platform/index.js';
import { writeConfiguration } from '../src/standin/index.js';
import { Site } from './helpers/gateways.js';
import { createTargets, createView } from './helpers/targets.js';

const SLOW = 7;
const SLOW_PART = 0.25;
const DOMAINS = 5;

interface Sample {
  readonly domain: number;
  readonly prospect: CandidateLoad;
}

describe('targets that a call looks at', () => {
  const random = createSeededRandom(4);

  /** Draws a service's targets: a quarter slow, busy slots spread at random. */
  function drawFleet(count: number, busyPart: number): readonly Sample[] {
    return Array.from({ length: count }, (_, index) => ({
      domain: index % DOMAINS,
      prospect: {
        ...{
          slots: 6,
          coldFactor: 1,
          failureRatio: 0,
          isSuspect: false,
          isOtherDomain: index % DOMAINS !== 0,
        },
        calls: Array.from({ length: 6 }, () => Number(random.next() < busyPart)).reduce(
          (sum, busy) => sum + busy,
          0,
        ),
        slowdown: random.next() < SLOW_PART ? SLOW : 1,
      },
    }));
  }

  const isFar = ({ domain }: Sample) => domain !== 0;
  const isUsable = () => true;

  function draw(fleet: readonly Sample[], isUsableNow: (target: Sample) => boolean = isUsable) {
    const pool = {
      sameDomain: fleet.filter((target) => !isFar(target)),
      otherDomains: fleet.filter(isFar),
    };
    return drawCandidates(pool, { random, isUsable: isUsableNow });
  }
  const terms = { callsAhead: 0, callRatio: 1, random, bodyBytes: 0 };

  function measurePlace(looked: readonly Sample[], standsFor: number): number {
    const advice = chooseTarget(looked, ({ prospect }) => prospect, {
      ...terms,
      targetsPerCandidate: standsFor,
    });
    return advice.kind === 'now' ? estimateTime(advice.load) : SLOW;
  }

  it('are all of them where they are few', () => {
    const few = drawFleet(64, 0.5);
    expect(draw(few)).to.have.members([...few]);
  });
  it('are 64, most of them near, each once', () => {
    const drawn = draw(drawFleet(416, 0.5));
    expect(drawn).to.have.length(64);
    expect(new Set(drawn).size).to.equal(64);
    expect(drawn.filter((target) => !isFar(target))).to.have.length(40);
  });
  it('are drawn from elsewhere where few are near, and the other way round', () => {
    const fleet = drawFleet(300, 0.5);
    const near = fleet.filter((target) => !isFar(target)).slice(0, 5);
    const far = fleet.filter(isFar);
    expect(draw([...near, ...far])).to.have.length(64);
    const pool = { sameDomain: fleet, otherDomains: [] };
    expect(drawCandidates(pool, { random, isUsable })).to.have.length(64);
  });
  it('are such that the call may go to, however few', () => {
    const fleet = drawFleet(300, 0.5);
    const usable = new Set(fleet.filter((_, index) => index % 50 === 0));
    expect(draw(fleet, (target) => usable.has(target))).to.have.members([...usable]);
  });
  for (const busyPart of [0.3, 0.6, 0.85]) {
    it(`end a call within 3% of the time that all of them would, at ${busyPart} of the slots`, () => {
      let all = 0;
      let some = 0;
      for (let call = 0; call < 400; call += 1) {
        const fleet = drawFleet(416, busyPart);
        const drawn = draw(fleet);
        all += measurePlace(fleet, 1);
        some += measurePlace(drawn, fleet.length / drawn.length);
      }
      expect(some / all).to.be.lessThan(1.03);
    });
  }
  it('tell the pace of the whole service to calls that wait', () => {
    const full = drawFleet(416, 1);
    const drawn = draw(full);
    const whole = chooseTarget(full, ({ prospect }) => prospect, {
      ...terms,
      targetsPerCandidate: 1,
    });
    const part = chooseTarget(drawn, ({ prospect }) => prospect, {
      ...{ ...terms, targetsPerCandidate: full.length / drawn.length },
    });
    if (whole.kind !== 'wait' || part.kind !== 'wait') throw new Error('expected to wait');
    expect(part.pace / whole.pace).to.be.within(0.7, 1.4);
  });
});

describe('a time-out of a late event loop', () => {
  const work = (time: number) => {
    const until = performance.now() + time;
    while (performance.now() < until);
  };
  let server: http.Server;

  before((done) => {
    server = http.createServer((_request, response) => response.end('ok'));
    server.listen(0, '127.0.0.1', done);
  });
  after(() => server.close());

  it('does not end what has come and was not read yet', async () => {
    const { port } = server.address() as AddressInfo;
    const socket = net.connect({ host: '127.0.0.1', port });
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    const ended = new Promise<string>((resolve) => {
      const timer = scheduleLagTolerantTimeout(30, () => resolve('timed out'));
      socket.once('data', () => {
        timer.cancel();
        resolve('answered');
      });
    });
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    // The answer is written by this very loop, so it has to come round before it is late.
    await new Promise((resolve) => {
      server.once('request', () => setImmediate(resolve));
    });
    work(60);
    expect(await ended).to.equal('answered');
    socket.destroy();
  });
  it('does not give up a connection that is there', async () => {
    const { port } = server.address() as AddressInfo;
    const connections = new TargetConnections(
      { host: '127.0.0.1', port },
      createSystemClock(),
      () => undefined,
    );
    const taken = connections.take(0);
    work(300);
    const result = await taken;
    expect(result.kind).to.equal('connected');
    if (result.kind === 'connected') result.connection.socket.destroy();
  });
});

describe('probes of hundreds of targets', () => {
  const TARGETS = 400;

  /** Counts the probes of one daemon in the seconds after its first calls. */
  async function countProbes(self: string, perSecond: number, seconds: number): Promise<number> {
    const clock = new ManualClock();
    const view = createView();
    const targets = createTargets(clock);
    for (let index = 0; index < TARGETS; index += 1) {
      // Nobody listens there: only what is begun is counted.
      const address = { host: '127.0.0.1', port: 1 };
      const record = { incarnation: `i-${index}`, service: 'alpha', address, domain: 'd1' };
      const state = 'ready' as const;
      view.putTarget({ ...record, slots: 6, state, coldLeft: 0, born: 0 }, index + 1, 0);
    }
    targets.update(view);
    const table = decodeConfiguration(writeConfiguration(1, [{ prefix: '/a/' }]));
    if ('kind' in table) throw new Error('expected a configuration');
    const prober = new Prober({
      ...{ targets, clock, interval: 100, self, readTable: () => table, readUtilisation: () => 0 },
      listHomes: () => [{ ip: 'home', domain: 'd1' }],
      readProbeLimit: () => 60,
      countDaemons: () => ({ members: 300, present: 300 }),
    });
    const ends = new AbortController();
    prober.run(ends.signal).catch(() => undefined);
    const service = targets.getService('alpha');
    for (let at = 0; at < seconds * 1000; at += 10) {
      if (Math.floor((at * perSecond) / 1000) > Math.floor(((at - 10) * perSecond) / 1000)) {
        service.recordCall();
      }
      await clock.advance(10);
    }
    ends.abort();
    return [...service.targets.values()].filter(({ lastProbeAt: probedAt }) => probedAt > -Infinity)
      .length;
  }

  // Each of 312 daemons asked all of 503 targets when three callers came to it within a second.
  it('are no more than its few calls are worth where a daemon is no home', async () => {
    expect(await countProbes('other', 5, 3)).to.be.within(1, 50);
  });
  it('reach all of its targets within some seconds where it is a home', async () => {
    expect(await countProbes('home', 60, 5)).to.equal(TARGETS);
  });
});

describe('the first start of the whole system', () => {
  /** Counts the calls to the store while daemons start together, before and after the first configuration. */
  async function countCalls(daemons: number): Promise<number> {
    const site = await new Site().start([{ prefix: '/a/' }]);
    site.isFirstStart = true;
    await site.addTarget();
    const first = site.createGateway();
    const others = Array.from({ length: daemons - 1 }, () => site.createGateway([first.ip]));
    await Promise.all([first, ...others].map(({ gateway }) => gateway.start()));
    await new Promise((resolve) => {
      setTimeout(resolve, 2000);
    });
    const calls = Object.values(site.store.calls).reduce((sum, count) => sum + count, 0);
    site.stop();
    return calls;
  }

  // Each daemon read three keys and the list of targets, and most of them watched as well.
  it('takes no more calls to the store with twelve daemons than with four, but for their readers', async () => {
    const [few, many] = [await countCalls(4), await countCalls(12)];
    expect(many - few).to.be.lessThan(8);
  }).timeout(30_000);
});
