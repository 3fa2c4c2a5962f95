/**
 * The cost of probing and of load reports. The whole fleet keeps to one agreed number of probes,
 * whichever daemons take themselves for homes.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { computeProbeInterval } from '../src/balance/index.js';
import { LoadExchange } from '../src/gateway/targets/load-exchange.js';
import { chooseProbingHome } from '../src/gateway/targets/prober.js';
import { ManualClock } from '../src/kernel/index.js';
import type { TargetLoadReport } from '../src/peering/index.js';
import type { TargetRecord } from '../src/platform/index.js';
import { Site, sendTo } from './helpers/gateways.js';
import { createTargets, createView } from './helpers/targets.js';

const HOMES = 3;

describe('the agreed number of probes', () => {
  it('is not exceeded however the fleet is partitioned, even if every daemon is serving', () => {
    const anyGroups = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 });
    fc.assert(
      fc.property(anyGroups, fc.integer({ min: 1, max: 500 }), (groups, limit) => {
        const members = groups.reduce((sum, size) => sum + size, 0);
        let sent = 0;
        for (const present of groups) {
          const others = Math.max(0, present - HOMES);
          const terms = { limit, members, present };
          sent += 1000 / computeProbeInterval({ ...terms, isHome: true });
          sent += (others * 1000) / computeProbeInterval({ ...terms, isHome: false });
        }
        expect(sent).to.be.at.most(limit);
      }),
    );
  });
  // Guards against probes across failure domains: traffic between them is paid for, and nearly all
  // of it was such probes.
  it('is used by homes in the failure domain of the target, if there are any', () => {
    const homes = [
      { ip: 'a', domain: 'd1' },
      { ip: 'b', domain: 'd2' },
      { ip: 'c', domain: 'd2' },
    ];
    const findHome = (domain: string, hash: number) =>
      chooseProbingHome({ hash, record: { domain } as TargetRecord }, homes);
    const findHomes = (domain: string) =>
      new Set(Array.from({ length: 60 }, (_, hash) => findHome(domain, hash)));
    expect([...findHomes('d1')]).to.deep.equal(['a']);
    expect([...findHomes('d2')]).to.have.members(['b', 'c']);
    expect([...findHomes('d3')]).to.have.members(['a', 'b', 'c']);
  });
  it('is mostly available to the homes when the fleet is not partitioned', () => {
    const terms = { limit: 60, members: 17, present: 17, isHome: true };
    expect(computeProbeInterval(terms)).to.be.below(25);
  });
  it('is not exceeded by serving daemons that are not homes', async () => {
    const site = await new Site().start([{ prefix: '/a/' }]);
    site.probesPerSecond = 10;
    const target = await site.addTarget();
    const first = site.createGateway();
    await first.gateway.start();
    const ips = [first.ip];
    for (let count = 0; count < 5; count += 1) ips.push(await site.addGateway([first.ip]));
    const sleep = (time: number) =>
      new Promise((resolve) => {
        setTimeout(resolve, time);
      });
    let isOver = false;
    // Calls are so rare that their responses don't make probes unnecessary.
    const callers = ips.map(async (ip) => {
      while (!isOver) {
        await sendTo(ip);
        await sleep(400);
      }
    });
    // By then all daemons know each other.
    await sleep(2000);
    const before = target.probes;
    await sleep(3000);
    const sent = target.probes - before;
    isOver = true;
    await Promise.all(callers);
    site.stop();
    expect(sent).to.be.within(3, 30);
  });
});

describe('serving daemons that are not homes', () => {
  const HOUR = 3_600_000;
  let clock: ManualClock;
  let sent: {
    readonly from: string;
    readonly to: string;
    readonly reports: readonly TargetLoadReport[];
  }[];
  let controller: AbortController;

  /** Creates the load exchange of one daemon; what it sends reaches the others at once. */
  function createDaemon(
    self: string,
    daemons: Map<string, LoadExchange>,
    isServing: () => boolean,
    homes: readonly string[] = ['home'],
  ) {
    const view = createView();
    const record: TargetRecord = {
      ...{ incarnation: 'i-1', service: 'alpha', address: { host: '127.0.0.1', port: 1 } },
      ...{ domain: 'd1', slots: 3, state: 'ready', coldLeft: 0, born: 0 },
    };
    view.putTarget(record, 1, 0);
    const targets = createTargets(clock);
    targets.update(view);
    const exchange = new LoadExchange({
      ...{ clock, targets, self, isServing, listHomes: () => homes },
      send: (to, reports) => {
        sent.push({ from: self, to, reports });
        daemons.get(to)?.receive(self, reports);
      },
      sendDraining: () => undefined,
    });
    daemons.set(self, exchange);
    exchange.run(controller.signal).catch(() => undefined);
    const target = targets.getService('alpha').targets.get('i-1');
    if (target === undefined) throw new Error('expected the target to be listed');
    return target.load;
  }

  beforeEach(() => {
    clock = new ManualClock();
    sent = [];
    controller = new AbortController();
  });
  afterEach(() => controller.abort());

  it('report their calls to the home, and receive its reports', async () => {
    const daemons = new Map<string, LoadExchange>();
    const atHome = createDaemon('home', daemons, () => true);
    const atOther = createDaemon('other', daemons, () => true);
    atHome.start(0);
    atOther.start(0);
    atOther.start(0);
    await clock.advance(1000);
    expect(atHome.countCalls(1000, 1)).to.equal(3);
    expect(atOther.countCalls(1000, 1)).to.equal(3);
  });
  // Guards against needless traffic: in a large fleet most load reports between homes were repeats
  // for targets without calls.
  it('get no repeated reports of a target without calls, which is known to have none', async () => {
    const daemons = new Map<string, LoadExchange>();
    const homes = ['home', 'second'];
    const atHome = createDaemon('home', daemons, () => true, homes);
    const atSecond = createDaemon('second', daemons, () => true, homes);
    atHome.start(0);
    await clock.advance(1000);
    expect(atSecond.countCalls(1000, 2, daemons.get('second')?.countReportingHomes())).to.equal(1);
    atHome.finish();
    await clock.advance(100);
    sent.length = 0;
    await clock.advance(5000);
    expect(sent.flatMap(({ reports }) => reports)).to.deep.equal([]);
    expect(sent.filter(({ from }) => from === 'home')).to.have.length.within(8, 11);
    atSecond.start(6100);
    expect(atSecond.countCalls(6100, 2, daemons.get('second')?.countReportingHomes())).to.equal(1);
    // Without reports from the other home, it is assumed to have as many calls there as this one.
    expect(atSecond.countCalls(6100, 2)).to.equal(2);
  });
  // Guards against overload of the homes: at an interval of 20 ms these reports used up their
  // processor time.
  it('send at most ten reports a second, however often their calls change', async () => {
    const daemons = new Map<string, LoadExchange>();
    createDaemon('home', daemons, () => true);
    const atOther = createDaemon('other', daemons, () => true);
    for (let step = 0; step < 50; step += 1) {
      atOther.start(step * 20);
      await clock.advance(20);
    }
    expect(sent.filter(({ from }) => from === 'other')).to.have.length.within(5, 10);
  });
  it('get no more reports once they stop serving', async () => {
    const daemons = new Map<string, LoadExchange>();
    createDaemon('home', daemons, () => true);
    let isServing = true;
    createDaemon('other', daemons, () => isServing);
    await clock.advance(1000);
    expect(sent.some(({ to }) => to === 'other')).to.equal(true);
    isServing = false;
    await clock.advance(2000);
    sent = [];
    await clock.advance(HOUR / 1000);
    expect(sent).to.deep.equal([]);
  });
});
