import { expect } from 'chai';
import { startTargetAttempt } from '../src/gateway/requests/attempt.js';
import type { ConnectionResult } from '../src/gateway/targets/connections.js';
import { pause } from '../src/demo/index.js';
import { createSystemClock } from '../src/kernel/index.js';
import { KEYS } from '../src/platform/index.js';
import type { RecordingTarget } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { type CallerReply, Site, sendTo } from './helpers/gateways.js';
import { createTargets, createView } from './helpers/targets.js';

/** News of one daemon have reached the others after this long, in milliseconds. */
const SPREAD = 1000;

const WORK = 10;

/** Lets a target take its time, and notes when each request comes. */
function watchArrivals(target: RecordingTarget): readonly number[] {
  const arrivals: number[] = [];
  target.behaviour = (request, response) => {
    arrivals.push(performance.now());
    setTimeout(() => target.answer(request, response), WORK);
  };
  return arrivals;
}

/** Sends requests to each daemon, two at a time, for a while. */
async function sendFor(ips: readonly string[], time: number): Promise<readonly CallerReply[]> {
  const until = performance.now() + time;
  const replies: CallerReply[] = [];
  const sendOn = async (ip: string) => {
    while (performance.now() < until) {
      replies.push(await sendTo(ip));
      await pause(10);
    }
  };
  await Promise.all(ips.flatMap((ip) => [sendOn(ip), sendOn(ip)]));
  return replies;
}

// Guards against sending requests to a target whose answers say that it leaves, while its entry says that it is ready.
describe('a target whose answers say that it drains', () => {
  let site: Site;
  let target: RecordingTarget;
  let others: RecordingTarget[];
  let arrivals: readonly number[];
  let ips: string[];

  const startSite = async (daemons: number, besides: number) => {
    site = await new Site().start([{ prefix: '/a/', attempts: 3 }]);
    target = await site.addTarget();
    arrivals = watchArrivals(target);
    others = [];
    for (let index = 0; index < besides; index += 1) others.push(await site.addTarget());
    for (const other of others) watchArrivals(other);
    ips = [await site.addGateway()];
    while (ips.length < daemons) ips.push(await site.addGateway([ips[0]]));
    await pause(daemons === 1 ? 0 : 1000);
  };
  const countSince = (since: number) => arrivals.filter((at) => at >= since).length;
  /** Lets the target say so once to the first daemon; what was on its way then has arrived. */
  const letSay = async () => {
    target.draining = '1';
    const before = arrivals.length;
    for (let turn = 0; arrivals.length === before && turn < 200; turn += 1) await sendTo(ips[0]);
    expect(arrivals.length, 'requests until it has said so').to.be.greaterThan(before);
    await pause(3 * WORK);
  };

  afterEach(() => site.stop());

  it('gets no request any more from the daemon that it told, whatever its entry says', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    await letSay();
    const since = performance.now();
    for (let seq = 10; seq < 14; seq += 1) {
      site.putTarget(target, { seq });
      const replies = await sendFor(ips, 300);
      expect(replies.every(({ status }) => status === 200)).to.equal(true);
    }
    expect(countSince(since)).to.equal(0);
  });

  for (const [what, answer] of [
    ['a rejection', (it: RecordingTarget) => (_: unknown, response: never) => it.reject(response)],
    [
      'a failure',
      () => (_: unknown, response: { writeHead(...it: unknown[]): { end(): void } }) =>
        response.writeHead(500, { 'Server-Leaving': '1', 'Server-Signature': 's' }).end(),
    ],
  ] as const) {
    it(`gets none after ${what} that says so`, async () => {
      await startSite(1, 2);
      target.draining = '1';
      const behave = answer(target) as NonNullable<RecordingTarget['behaviour']>;
      const times: number[] = [];
      target.behaviour = (request, response) => {
        times.push(performance.now());
        behave(request, response);
      };
      await sendFor(ips, 1500);
      // Two callers at a time: the second one may be on its way when the first is answered.
      expect(times.length).to.be.within(1, 2);
    });
  }

  it('gets none after a health answer that says so', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    target.healthDraining = '1';
    let toldAt = Infinity;
    target.onProbe = () => {
      toldAt = Math.min(toldAt, performance.now());
    };
    await sendFor(ips, 1500);
    expect(toldAt).to.be.lessThan(Infinity);
    expect(countSince(toldAt + 100)).to.equal(0);
  });

  it('gets none by repeats of what the others reject, nor by second attempts', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    await letSay();
    const since = performance.now();
    for (const other of others) other.behaviour = (_request, response) => other.reject(response);
    await sendFor(ips, 500);
    for (const other of others) {
      other.behaviour = (request, response) => {
        setTimeout(() => other.answer(request, response), 500);
      };
    }
    await sendFor(ips, 1500);
    expect(countSince(since)).to.equal(0);
  });

  it('gets none when its entry lapses and comes back, and is used again after a new start', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    await letSay();
    const since = performance.now();
    site.store.remove(KEYS.targets + target.incarnation);
    await sendFor(ips, 500);
    site.putTarget(target, { seq: 50 });
    await sendFor(ips, 1000);
    expect(countSince(since)).to.equal(0);
    target.draining = undefined;
    site.putTarget(target, { born: 1_700_000_000_000 });
    await sendFor(ips, 1000);
    expect(countSince(since)).to.be.greaterThan(5);
  });

  it('gets none from the other daemons, which are told', async () => {
    await startSite(3, 2);
    await sendFor(ips, 300);
    await letSay();
    // What it says itself from here on tells nobody anything.
    target.draining = undefined;
    await pause(SPREAD);
    const since = performance.now();
    await sendFor(ips, 1500);
    expect(countSince(since)).to.equal(0);
  });

  it('gets no request whose connection came up after that was known', async () => {
    const clock = createSystemClock();
    const targets = createTargets(clock);
    const view = createView();
    view.putTarget(
      {
        ...{ incarnation: 'i', service: 'alpha', address: { host: '127.0.0.1', port: 1 } },
        ...{ domain: 'd1', slots: 1, state: 'ready', coldLeft: 0, born: 0 },
      },
      1,
      0,
    );
    targets.update(view);
    const [slow] = targets.getService('alpha').targets.values();
    let connect: (result: ConnectionResult) => void = () => undefined;
    slow.connections.take = () =>
      new Promise((resolve) => {
        connect = resolve;
      });
    const freed: string[] = [];
    const sending = { requestId: '1', method: 'GET', path: '/', headers: [], body: undefined };
    const attempt = startTargetAttempt(slow, sending, { isRepeatable: false, clock });
    slow.receiveDraining({ kind: 'draining' });
    const socket = { emit: (event: string) => freed.push(event) };
    connect({ kind: 'connected', connection: { socket } as never });
    expect((await attempt.done).kind).to.equal('withdrawn');
    expect(freed).to.deep.equal(['free']);
  });

  it('and is the last one leaves callers told so at once, until a new one comes', async () => {
    await startSite(1, 0);
    await letSay();
    for (const { status, took, headers } of await sendFor(ips, 500)) {
      expect(status).to.equal(503);
      expect(took).to.be.lessThan(200);
      expect(Number(headers['retry-after'])).to.be.greaterThan(0);
    }
    expect(site.events.some(({ event }) => event === 'service.deserted')).to.equal(true);
    await site.addTarget();
    const startedAt = performance.now();
    let status = 0;
    await waitUntil(() => {
      sendTo(ips[0])
        .then((reply) => {
          status = reply.status;
        })
        .catch(() => undefined);
      return status === 200;
    }, 'the new target serves');
    expect(performance.now() - startedAt).to.be.lessThan(1000);
  });

  it('and others with it leave no target with more than its slots at once', async () => {
    await startSite(1, 5);
    let running = 0;
    let most = 0;
    const last = others[4];
    last.behaviour = (request, response) => {
      running += 1;
      most = Math.max(most, running);
      setTimeout(() => {
        running -= 1;
        last.answer(request, response);
      }, 30);
    };
    for (const it of [target, ...others.slice(0, 4)]) it.draining = '1';
    const all = Array.from({ length: 10 }, () => sendFor(ips, 1000));
    const replies = (await Promise.all(all)).flat();
    expect(most).to.be.within(1, 4);
    expect(replies.every(({ status }) => status === 200 || status === 503)).to.equal(true);
  });
});
