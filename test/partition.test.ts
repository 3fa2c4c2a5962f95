import { expect } from 'chai';
import { Site, askDirectory, sendTo } from './helpers/gateways.js';

import type { PartitionFault } from '../src/soak/target-network.js';

const DOMAINS = ['d1', 'd2', 'd3'] as const;
const DAEMONS = 6;
const TARGETS = 6;
const WORK_MS = 20;

/** How long callers of a partitioned daemon may be served worse than others, in milliseconds. */
const CONTACT_MS = 3000;

/** How long requests are observed after that. */
const OBSERVED_MS = 2000;

const MIN_SERVED_SHARE = 0.95;

const ROUTES = [
  { prefix: '/read/', kind: 'safe' as const, timeout: 1500 },
  { prefix: '/post/', kind: 'unsafe' as const, timeout: 1500 },
];

const wait = (time: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, time);
  });

/** Answers to requests, by the daemon that they were sent to. */
type Answers = ReadonlyMap<string, readonly number[]>;

/** Sends requests of all routes to each daemon for a time; the statuses of their first tries. */
async function sendFor(ips: readonly string[], time: number): Promise<Answers> {
  const replies = new Map(ips.map((ip) => [ip, [] as Promise<number>[]] as const));
  const rounds = time / 50;
  for (let round = 0; round < rounds; round += 1) {
    for (const [ip, sent] of replies) {
      const { prefix, timeout, kind } = ROUTES[round % ROUTES.length];
      const sending = { path: `${prefix}1`, deadline: timeout };
      const request = kind === 'safe' ? sending : { ...sending, method: 'POST', body: 'x' };
      sent.push(
        sendTo(ip, request).then(
          ({ status }) => status,
          () => 0,
        ),
      );
    }
    await wait(50);
  }
  const answers = new Map<string, readonly number[]>();
  for (const [ip, sent] of replies) answers.set(ip, await Promise.all(sent));
  return answers;
}

function checkServed(answers: Answers, ips: readonly string[], who: string): void {
  const statuses = ips.flatMap((ip) => answers.get(ip) ?? []);
  const served = statuses.filter((status) => status === 200).length;
  const others = statuses.filter((status) => status !== 200).join(' ');
  expect(served / statuses.length, `${who}: ${others}`).to.be.at.least(MIN_SERVED_SHARE);
}

describe('daemons that are partitioned from all targets', () => {
  let site: Site;
  let ips: readonly string[];

  beforeEach(async () => {
    site = await new Site().start(ROUTES);
    site.isPartitionable = true;
    for (let index = 0; index < TARGETS; index += 1) {
      const target = await site.addTarget('alpha', { domain: DOMAINS[index % 3] });
      target.behaviour = (request, response) => {
        request.resume();
        setTimeout(() => target.answer(request, response), WORK_MS);
      };
    }
    for (let index = 0; index < DAEMONS; index += 1) {
      const seeds = site.gateways.map(({ ip }) => ip);
      site.createGateway(seeds, '', { domain: DOMAINS[index % 3] });
    }
    await Promise.all(site.gateways.map(({ gateway }) => gateway.start()));
    ips = site.gateways.map(({ ip }) => ip);
    // Until all daemons know each other.
    await wait(1600);
  });
  afterEach(() => site.stop());

  /** The homes first, as the directories name them. */
  const listByRank = async (): Promise<readonly string[]> => {
    const homes = new Set<string>();
    for (const domain of DOMAINS) {
      const { addresses } = await askDirectory(ips[0], { domain });
      for (const address of addresses) homes.add(address.split(':', 1)[0]);
    }
    return [...homes, ...ips.filter((ip) => !homes.has(ip))];
  };

  // Guards against a daemon that refuses its callers for as long as it reaches no target.
  describe('serve their callers as well as the others', () => {
    const cases: readonly (readonly [string, PartitionFault, number])[] = [
      ['one home, silent connections', 'silent', 1],
      ['one home, connections reset', 'reset', 1],
      ['one home, connections refused', 'refused', 1],
      ['one home, answers lost', 'one-way', 1],
      ['one home, only new connections refused', 'new-refused', 1],
      ['four of six, silent connections', 'silent', 4],
      ['four of six, connections reset', 'reset', 4],
      ['four of six, connections refused', 'refused', 4],
      ['four of six, answers lost', 'one-way', 4],
      ['four of six, only new connections refused', 'new-refused', 4],
    ];
    for (const [what, fault, count] of cases) {
      it(what, async () => {
        const ranked = await listByRank();
        const cut = ranked.slice(0, count);
        const others = ranked.slice(count);
        await sendFor(ips, 500);
        for (const ip of cut) site.partition(ip, fault);
        const atOnce = await sendFor(ips, CONTACT_MS);
        const answers = await sendFor(ips, OBSERVED_MS);
        checkServed(answers, cut, 'partitioned');
        checkServed(answers, others, 'others');
        checkServed(atOnce, others, 'others at once');
      }).timeout(15_000);
    }
  });

  it('are not named to callers', async () => {
    const [cut] = await listByRank();
    await sendFor(ips, 500);
    site.partition(cut, 'silent');
    await sendFor(ips, CONTACT_MS);
    for (const ip of ips) {
      for (const domain of DOMAINS) {
        const { addresses } = await askDirectory(ip, { domain });
        expect(addresses.join(' '), `directory of ${ip}`).not.to.contain(`${cut}:`);
      }
    }
  }).timeout(15_000);

  // Guards against calls that only homes are asked to carry, of which none reaches the service.
  it('reach one service over daemons that are no homes', async () => {
    const [first, second, third, ...others] = await listByRank();
    const beta = await site.addTarget('beta');
    site.configure([...ROUTES, { prefix: '/beta/', kind: 'safe', service: 'beta', timeout: 1500 }]);
    await wait(500);
    for (const ip of [first, second, third]) site.partitionFrom(ip, beta.address, 'silent');
    const send = () =>
      Promise.all(
        [first, second, third].map((ip) => sendTo(ip, { path: '/beta/1', deadline: 1500 })),
      );
    for (let round = 0; round < 20; round += 1) {
      await send().catch(() => undefined);
      await wait(50);
    }
    const replies = await send();
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
    expect(others.length).to.equal(3);
  }).timeout(20_000);

  // Guards against recording a partition as a failure of the targets.
  describe('teach nobody anything wrong', () => {
    const countEvents = (event: string, ip?: string) =>
      site.events.filter((entry) => entry.event === event && (ip ?? entry.ip) === entry.ip).length;

    it('blame no request for the end of targets', async () => {
      const [cut] = await listByRank();
      for (const target of site.targets) target.behaviour = (request) => request.resume();
      const sent = sendFor([cut], 500);
      await wait(400);
      site.partition(cut, 'refused');
      await sent;
      expect(countEvents('poison.suspected')).to.equal(0);
      expect(countEvents('poison.heard')).to.equal(0);
    }).timeout(15_000);

    it('keep no record of failures after it', async () => {
      const [cut] = await listByRank();
      await sendFor([cut], 500);
      site.partition(cut, 'refused');
      await sendFor([cut], 2000);
      site.partition(cut, 'none');
      await sendFor([cut], 1000);
      const failing = countEvents('target.failing', cut) - countEvents('target.recovered', cut);
      expect(failing).to.equal(0);
      const gateway = site.gateways.find(({ ip }) => ip === cut);
      expect(gateway).not.to.equal(undefined);
      const answers = await sendFor([cut], 1000);
      checkServed(answers, [cut], 'after the partition');
    }).timeout(15_000);

    it('report no calls that hang as load of the targets', async () => {
      const [cut, other] = await listByRank();
      for (const target of site.targets) target.behaviour = (request) => request.resume();
      const sent = sendFor([cut], 2500);
      await wait(300);
      site.partition(cut, 'silent');
      await wait(1400);
      for (const target of site.targets) {
        target.behaviour = (request, response) => target.answer(request, response);
      }
      // Six targets, each with the slots of its entry: all are taken if hanging calls count.
      const replies = await Promise.all(
        Array.from({ length: 24 }, () => sendTo(other, { path: '/read/1', deadline: 1500 })),
      );
      expect(Math.max(...replies.map(({ took }) => took))).to.be.below(300);
      await sent;
    }).timeout(15_000);
  });

  // Guards against callers that are moved with every change of an unsteady link.
  it('serve their callers, and move them once, while links come and go', async () => {
    const [cut, ...others] = await listByRank();
    await sendFor(ips, 500);
    let isRunning = true;
    const named: boolean[] = [];
    const watch = async () => {
      while (isRunning) {
        const { addresses } = await askDirectory(others[0], { domain: 'd1' });
        named.push(addresses.some((address) => address.startsWith(`${cut}:`)));
        await wait(50);
      }
    };
    const watching = watch();
    const sent = sendFor(ips, 8000);
    for (let turn = 0; turn < 4; turn += 1) {
      site.partition(cut, 'silent');
      await wait(1200);
      site.partition(cut, 'none');
      await wait(800);
    }
    const answers = await sent;
    isRunning = false;
    await watching;
    checkServed(answers, others, 'others');
    const statuses = answers.get(cut) ?? [];
    const served = statuses.filter((status) => status === 200).length;
    expect(served / statuses.length, statuses.join(' ')).to.be.at.least(2 / 3);
    const moves = named.filter((isNamed, at) => at > 0 && isNamed !== named[at - 1]).length;
    expect(moves).to.be.at.most(1);
  }).timeout(20_000);

  it('refuse at once what no daemon can serve', async () => {
    await sendFor(ips, 500);
    for (const ip of ips) site.partition(ip, 'silent');
    await sendFor(ips, CONTACT_MS);
    for (const ip of ips) {
      const { status, took } = await sendTo(ip, { path: '/read/1', deadline: 1500 });
      expect(status).to.equal(503);
      expect(took).to.be.below(300);
    }
  }).timeout(15_000);

  it('serve by themselves again two seconds after the partition', async () => {
    const ranked = await listByRank();
    await sendFor(ips, 500);
    for (const ip of ranked.slice(0, 4)) site.partition(ip, 'silent');
    await sendFor(ips, CONTACT_MS);
    for (const ip of ranked) site.partition(ip, 'none');
    await sendFor(ips, 2000);
    const answers = await sendFor(ips, 1000);
    checkServed(answers, ips, 'all');
  }).timeout(15_000);
});
