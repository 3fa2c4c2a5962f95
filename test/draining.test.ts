import { expect } from 'chai';
import { startTargetAttempt } from '../src/gateway/requests/attempt.js';
import { NO_BODY } from '../src/gateway/requests/outgoing-request.js';
import type { ConnectionResult } from '../src/gateway/targets/connections.js';
import { pause } from '../src/demo/index.js';
import { createSystemClock } from '../src/kernel/index.js';
import { KEYS } from '../src/platform/index.js';
import type { RecordingTarget } from '../src/standin/index.js';
import { waitUntil } from './helpers/fleet.js';
import { type CallerReply, Site, sendTo } from './helpers/gateways.js';
import { createTargets, createView } from './helpers/targets.js';

/** Time after which a report of one daemon has reached the others, in milliseconds. */
const PROPAGATION_MS = 1000;

const WORK_MS = 10;

/** Makes a target take some time for each request, and records when each arrives. */
function recordArrivals(target: RecordingTarget): readonly number[] {
  const arrivals: number[] = [];
  target.behaviour = (request, response) => {
    arrivals.push(performance.now());
    setTimeout(() => target.answer(request, response), WORK_MS);
  };
  return arrivals;
}

/** Sends requests to each daemon for a while, two concurrently, and returns the replies. */
async function sendFor(ips: readonly string[], time: number): Promise<readonly CallerReply[]> {
  const until = performance.now() + time;
  const replies: CallerReply[] = [];
  const sendRepeatedly = async (ip: string) => {
    while (performance.now() < until) {
      replies.push(await sendTo(ip));
      await pause(10);
    }
  };
  await Promise.all(ips.flatMap((ip) => [sendRepeatedly(ip), sendRepeatedly(ip)]));
  return replies;
}

// Guards against sending requests to a target that announces its shutdown in its responses, while
// its entry still says that it is ready.
describe('a target whose responses state that it is draining', () => {
  let site: Site;
  let target: RecordingTarget;
  let others: RecordingTarget[];
  let arrivals: readonly number[];
  let ips: string[];

  const startSite = async (daemons: number, otherTargets: number) => {
    site = await new Site().start([{ prefix: '/a/', attempts: 3 }]);
    target = await site.addTarget();
    arrivals = recordArrivals(target);
    others = [];
    for (let index = 0; index < otherTargets; index += 1) others.push(await site.addTarget());
    for (const other of others) recordArrivals(other);
    ips = [await site.addGateway()];
    while (ips.length < daemons) ips.push(await site.addGateway([ips[0]]));
    await pause(daemons === 1 ? 0 : 1000);
  };
  const countSince = (since: number) => arrivals.filter((at) => at >= since).length;
  /**
   * Makes the target state that it is draining, and waits until the first daemon has received it
   * and all requests in transit have arrived.
   */
  const stateDraining = async () => {
    target.draining = '1';
    const before = arrivals.length;
    for (let tries = 0; arrivals.length === before && tries < 200; tries += 1) await sendTo(ips[0]);
    expect(arrivals.length, 'requests until it has stated it').to.be.greaterThan(before);
    await pause(3 * WORK_MS);
  };

  afterEach(() => site.stop());

  it('gets no more requests from the daemon that got the response, whatever its entry says', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    await stateDraining();
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
    it(`gets no requests after ${what} that states it`, async () => {
      await startSite(1, 2);
      target.draining = '1';
      const behave = answer(target) as NonNullable<RecordingTarget['behaviour']>;
      const times: number[] = [];
      target.behaviour = (request, response) => {
        times.push(performance.now());
        behave(request, response);
      };
      await sendFor(ips, 1500);
      // Two requests run concurrently: the second may be in transit when the first is answered.
      expect(times.length).to.be.within(1, 2);
    });
  }

  it('gets no requests after a health check that states it', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    target.healthDraining = '1';
    let statedAt = Infinity;
    target.onProbe = () => {
      statedAt = Math.min(statedAt, performance.now());
    };
    await sendFor(ips, 1500);
    expect(statedAt).to.be.lessThan(Infinity);
    expect(countSince(statedAt + 100)).to.equal(0);
  });

  it('gets neither retries of requests that other targets rejected nor hedged attempts', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    await stateDraining();
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

  it('gets no requests when its entry lapses and returns, but gets them after a restart', async () => {
    await startSite(1, 2);
    await sendFor(ips, 300);
    await stateDraining();
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

  it('gets no requests from the other daemons, to which it is reported', async () => {
    await startSite(3, 2);
    await sendFor(ips, 300);
    await stateDraining();
    // From here on its own responses don't state it any more.
    target.draining = undefined;
    await pause(PROPAGATION_MS);
    const since = performance.now();
    await sendFor(ips, 1500);
    expect(countSince(since)).to.equal(0);
  });

  it('gets no request whose connection opens after the draining is known', async () => {
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
    const [drainingTarget] = targets.getService('alpha').targets.values();
    let connect: (result: ConnectionResult) => void = () => undefined;
    drainingTarget.connections.take = () =>
      new Promise((resolve) => {
        connect = resolve;
      });
    const freed: string[] = [];
    const sending = { requestId: '1', method: 'GET', path: '/', headers: [], body: NO_BODY };
    const attempt = startTargetAttempt(drainingTarget, sending, { isRepeatable: false, clock });
    drainingTarget.receiveDraining({ kind: 'draining' });
    const socket = { emit: (event: string) => freed.push(event) };
    connect({ kind: 'connected', connection: { socket } as never });
    expect((await attempt.done).kind).to.equal('withdrawn');
    expect(freed).to.deep.equal(['free']);
  });

  it('and is the last one: callers are refused at once, until a new target starts', async () => {
    await startSite(1, 0);
    await stateDraining();
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

  it('together with others: no other target gets more concurrent requests than its slots', async () => {
    await startSite(1, 5);
    let running = 0;
    let maxRunning = 0;
    const last = others[4];
    last.behaviour = (request, response) => {
      running += 1;
      maxRunning = Math.max(maxRunning, running);
      setTimeout(() => {
        running -= 1;
        last.answer(request, response);
      }, 30);
    };
    for (const it of [target, ...others.slice(0, 4)]) it.draining = '1';
    const all = Array.from({ length: 10 }, () => sendFor(ips, 1000));
    const replies = (await Promise.all(all)).flat();
    expect(maxRunning).to.be.within(1, 4);
    expect(replies.every(({ status }) => status === 200 || status === 503)).to.equal(true);
  });
});
