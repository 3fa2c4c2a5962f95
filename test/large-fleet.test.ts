/**
 * Hundreds of targets, a quarter of which are several times slower, and some hundred calls a second
 * at one home. The cost of a call and of a probe must not grow with the number of targets.
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
  openTcpSocket,
  scheduleLagTolerantTimeout,
} from '../src/kernel/index.js';
import { decodeConfiguration } from '../src/platform/index.js';
import { writeConfiguration } from '../src/standin/index.js';
import { Site } from './helpers/gateways.js';
import { createTargets, createView } from './helpers/targets.js';

const SLOW_FACTOR = 7;
const SLOW_FRACTION = 0.25;
const DOMAINS = 5;

interface SampleTarget {
  readonly domain: number;
  readonly load: CandidateLoad;
}

describe('the targets that a call considers', () => {
  const random = createSeededRandom(4);

  /** Generates a service's targets: a quarter of them slow, with randomly busy slots. */
  function drawFleet(count: number, busyFraction: number): readonly SampleTarget[] {
    return Array.from({ length: count }, (_, index) => ({
      domain: index % DOMAINS,
      load: {
        ...{
          slots: 6,
          coldFactor: 1,
          failureRatio: 0,
          isSuspect: false,
          isOtherDomain: index % DOMAINS !== 0,
        },
        calls: Array.from({ length: 6 }, () => Number(random.next() < busyFraction)).reduce(
          (sum, busy) => sum + busy,
          0,
        ),
        slowdown: random.next() < SLOW_FRACTION ? SLOW_FACTOR : 1,
      },
    }));
  }

  const isFar = ({ domain }: SampleTarget) => domain !== 0;
  const isUsable = () => true;

  function draw(
    fleet: readonly SampleTarget[],
    isUsableNow: (target: SampleTarget) => boolean = isUsable,
  ) {
    const pool = {
      sameDomain: fleet.filter((target) => !isFar(target)),
      otherDomains: fleet.filter(isFar),
    };
    return drawCandidates(pool, { random, isUsable: isUsableNow });
  }
  const options = { callsAhead: 0, callRatio: 1, random, bodyBytes: 0 };

  function measureTime(candidates: readonly SampleTarget[], targetsPerCandidate: number): number {
    const choice = chooseTarget(candidates, ({ load }) => load, {
      ...options,
      targetsPerCandidate,
    });
    return choice.kind === 'now' ? estimateTime(choice.load) : SLOW_FACTOR;
  }

  it('are all targets of a small service', () => {
    const few = drawFleet(64, 0.5);
    expect(draw(few)).to.have.members([...few]);
  });
  it('are 64 different ones of a large service, most of them near', () => {
    const drawn = draw(drawFleet(416, 0.5));
    expect(drawn).to.have.length(64);
    expect(new Set(drawn).size).to.equal(64);
    expect(drawn.filter((target) => !isFar(target))).to.have.length(40);
  });
  it('include more far ones when few are near, and more near ones when few are far', () => {
    const fleet = drawFleet(300, 0.5);
    const near = fleet.filter((target) => !isFar(target)).slice(0, 5);
    const far = fleet.filter(isFar);
    expect(draw([...near, ...far])).to.have.length(64);
    const pool = { sameDomain: fleet, otherDomains: [] };
    expect(drawCandidates(pool, { random, isUsable })).to.have.length(64);
  });
  it('are only usable ones, however few there are', () => {
    const fleet = drawFleet(300, 0.5);
    const usable = new Set(fleet.filter((_, index) => index % 50 === 0));
    expect(draw(fleet, (target) => usable.has(target))).to.have.members([...usable]);
  });
  for (const busyFraction of [0.3, 0.6, 0.85]) {
    it(`give times within 3% of those of all targets, with ${busyFraction} of the slots busy`, () => {
      let all = 0;
      let sampled = 0;
      for (let call = 0; call < 400; call += 1) {
        const fleet = drawFleet(416, busyFraction);
        const drawn = draw(fleet);
        all += measureTime(fleet, 1);
        sampled += measureTime(drawn, fleet.length / drawn.length);
      }
      expect(sampled / all).to.be.lessThan(1.03);
    });
  }
  it('give waiting calls the pace of the whole service', () => {
    const full = drawFleet(416, 1);
    const drawn = draw(full);
    const whole = chooseTarget(full, ({ load }) => load, { ...options, targetsPerCandidate: 1 });
    const part = chooseTarget(drawn, ({ load }) => load, {
      ...{ ...options, targetsPerCandidate: full.length / drawn.length },
    });
    if (whole.kind !== 'wait' || part.kind !== 'wait') throw new Error('expected to wait');
    expect(part.pace / whole.pace).to.be.within(0.7, 1.4);
  });
});

describe('a timeout that is late because the event loop was blocked', () => {
  const blockEventLoop = (time: number) => {
    const until = performance.now() + time;
    while (performance.now() < until);
  };
  let server: http.Server;

  before((done) => {
    server = http.createServer((_request, response) => response.end('ok'));
    server.listen(0, '127.0.0.1', done);
  });
  after(() => server.close());

  it('does not discard a response that has arrived but was not read yet', async () => {
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
    // The server shares this event loop, so it has to write the response before the loop is
    // blocked.
    await new Promise((resolve) => {
      server.once('request', () => setImmediate(resolve));
    });
    blockEventLoop(60);
    expect(await ended).to.equal('answered');
    socket.destroy();
  });
  it('does not give up a connection that has been established', async () => {
    const { port } = server.address() as AddressInfo;
    const connections = new TargetConnections(
      { host: '127.0.0.1', port },
      {
        ...{ clock: createSystemClock(), openSocket: openTcpSocket },
        ...{ onOpened: () => undefined, onFailed: () => undefined },
      },
    );
    const taken = connections.take(0);
    blockEventLoop(300);
    const result = await taken;
    expect(result.kind).to.equal('connected');
    if (result.kind === 'connected') result.connection.socket.destroy();
  });
});

describe('probes of hundreds of targets', () => {
  const TARGETS = 400;

  /** Counts the targets that one daemon probes in the seconds after its first calls. */
  async function countProbes(self: string, perSecond: number, seconds: number): Promise<number> {
    const clock = new ManualClock();
    const view = createView();
    const targets = createTargets(clock);
    for (let index = 0; index < TARGETS; index += 1) {
      // No process listens there; a probe counts once it is started.
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
    const controller = new AbortController();
    prober.run(controller.signal).catch(() => undefined);
    const service = targets.getService('alpha');
    for (let at = 0; at < seconds * 1000; at += 10) {
      if (Math.floor((at * perSecond) / 1000) > Math.floor(((at - 10) * perSecond) / 1000)) {
        service.recordCall();
      }
      await clock.advance(10);
    }
    controller.abort();
    return [...service.targets.values()].filter(({ lastProbeAt }) => lastProbeAt > -Infinity)
      .length;
  }

  // Guards against probing every target on the first calls: on three calls within a second, each of
  // 312 daemons probed all of 503 targets.
  it('are limited by the few calls of a daemon that is not a home', async () => {
    expect(await countProbes('other', 5, 3)).to.be.within(1, 50);
  });
  it('reach all targets within a few seconds from a home', async () => {
    expect(await countProbes('home', 60, 5)).to.equal(TARGETS);
  });
});

describe('the first start of the whole fleet', () => {
  /**
   * Counts the calls to the store while daemons start together, before and after the first
   * configuration.
   */
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

  // Guards against every daemon reading three keys and the list of targets, and most of them
  // watching the store as well.
  it('takes no more calls to the store with twelve daemons than with four, except by the readers', async () => {
    const [few, many] = [await countCalls(4), await countCalls(12)];
    expect(many - few).to.be.lessThan(8);
  }).timeout(30_000);
});
