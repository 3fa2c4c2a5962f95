import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import { Availability } from '../src/balance/index.js';
import type { RecordingTarget } from '../src/standin/index.js';
import { type CallerReply, Site, sendTo } from './helpers/gateways.js';

const SECOND_MS = 1000;

/** Sends requests to each daemon for a while, two concurrently, and returns the replies. */
async function sendFor(
  ips: readonly string[],
  time: number,
  deadline = 4000,
): Promise<readonly CallerReply[]> {
  const until = performance.now() + time;
  const replies: CallerReply[] = [];
  const sendRepeatedly = async (ip: string) => {
    while (performance.now() < until) {
      replies.push(await sendTo(ip, { deadline }));
      await pause(10);
    }
  };
  await Promise.all(ips.flatMap((ip) => [sendRepeatedly(ip), sendRepeatedly(ip)]));
  return replies;
}

// Guards against sending requests to a target that has rejected one and asked for a back-off of
// some seconds.
describe('a target that asks for a back-off', () => {
  let site: Site;
  let target: RecordingTarget;
  let others: RecordingTarget[];
  let arrivals: number[];
  let ips: string[];
  /** How the target rejects its next requests; it answers well when the list is empty. */
  let rejections: ((response: Parameters<RecordingTarget['reject']>[0]) => void)[];

  const startSite = async (otherTargets: number, daemons = 1) => {
    site = await new Site().start([{ prefix: '/a/', attempts: 3 }]);
    target = await site.addTarget();
    arrivals = [];
    rejections = [];
    target.behaviour = (request, response) => {
      arrivals.push(performance.now());
      const reject = rejections.shift();
      if (reject === undefined) setTimeout(() => target.answer(request, response), 10);
      else reject(response);
    };
    others = [];
    for (let index = 0; index < otherTargets; index += 1) others.push(await site.addTarget());
    ips = [await site.addGateway()];
    while (ips.length < daemons) ips.push(await site.addGateway([ips[0]]));
    if (daemons > 1) await pause(SECOND_MS);
    await sendFor(ips, 300);
    arrivals.length = 0;
  };
  /** Requests that arrive later than this after the rejection were sent when it had been read. */
  const READ_DELAY_MS = 50;
  const countBetween = (from: number, to: number) =>
    arrivals.filter((at) => at >= arrivals[0] + from && at < arrivals[0] + to).length;

  afterEach(() => site.stop());

  for (const [what, headers] of [
    ['that states the request was not run', { 'Not-Executed': '1' }],
    ['that does not state whether the request was run', { 'Server-Signature': 's' }],
  ] as const) {
    it(`by a rejection ${what} gets no requests meanwhile, and its share soon after`, async () => {
      await startSite(2);
      rejections.push((response) =>
        response.writeHead(503, { ...headers, 'Retry-After': '1.5' }).end(),
      );
      const replies = await sendFor(ips, 4 * SECOND_MS);
      expect(countBetween(READ_DELAY_MS, 1500)).to.equal(0);
      expect(countBetween(2500, 3500)).to.be.greaterThan(20);
      const served = replies.filter(({ status }) => status === 200).length;
      expect(served).to.be.within(replies.length - 1, replies.length);
    });
  }

  it('gets neither retries of requests that other targets rejected nor hedged attempts', async () => {
    await startSite(2);
    rejections.push((response) => target.reject(response, '3'));
    await sendFor(ips, 300);
    for (const other of others) other.behaviour = (_request, response) => other.reject(response);
    await sendFor(ips, 500);
    for (const other of others) {
      other.behaviour = (request, response) => {
        setTimeout(() => other.answer(request, response), 500);
      };
    }
    await sendFor(ips, 1500);
    expect(countBetween(READ_DELAY_MS, 2900)).to.equal(0);
  });

  it('gets no requests from the daemon that it asked, but still gets them from others', async () => {
    await startSite(2, 2);
    rejections.push((response) => target.reject(response, '2'));
    await sendFor([ips[0]], 500);
    // A second request may have been in transit when the first was rejected.
    expect(arrivals.length).to.be.within(1, 2);
    expect(countBetween(READ_DELAY_MS, 2000)).to.equal(0);
    await sendFor([ips[1]], SECOND_MS);
    expect(arrivals.length).to.be.greaterThan(5);
  });

  it('gets no requests until the latest end when it asks several times', async () => {
    await startSite(0);
    let first: ServerResponse | undefined;
    rejections.push(
      (response) => {
        first = response;
      },
      (response) => {
        if (first !== undefined) target.reject(first, '2');
        setTimeout(() => target.reject(response, '0.5'), 30);
      },
    );
    // Both are sent before either is rejected.
    await Promise.all([sendTo(ips[0]), sendTo(ips[0])]);
    expect(arrivals).to.have.length(2);
    const [, rejectedAt] = arrivals;
    await sendFor(ips, 3500, 800);
    const count = (from: number, to: number) =>
      arrivals.filter((at) => at >= rejectedAt + from && at < rejectedAt + to).length;
    expect(count(READ_DELAY_MS, 2000)).to.equal(0);
    expect(count(2000, 3000)).to.be.greaterThan(1);
  });

  it('and is the only one: callers are refused at once, with the time of its return', async () => {
    await startSite(0);
    rejections.push((response) => target.reject(response, '3'));
    await sendTo(ips[0]);
    const replies = await sendFor(ips, SECOND_MS, 800);
    expect(replies.length).to.be.greaterThan(50);
    for (const { status, took, headers } of replies) {
      expect(status).to.equal(503);
      expect(took).to.be.lessThan(200);
      expect(Number(headers['retry-after'])).to.be.within(1.5, 4.5);
    }
    expect(countBetween(READ_DELAY_MS, 3000)).to.equal(0);
  });

  it('and is the only one: a request waits if the back-off ends in time', async () => {
    await startSite(0);
    rejections.push((response) => target.reject(response, '0.3'));
    await sendTo(ips[0]);
    const { status, took } = await sendTo(ips[0]);
    expect(status).to.equal(200);
    expect(took).to.be.within(200, 1000);
  });

  for (const text of ['0', '-1', 'NaN', 'Infinity', 'Thu, 03 Dec 2026 10:00:00 GMT', 'soon']) {
    it(`with an invalid time (${JSON.stringify(text)}) gets requests as before`, async () => {
      await startSite(2);
      // A rejection counts as a failure, so the others are preferred unless they are slow.
      for (const other of others) other.slowdown = 700;
      rejections.push((response) => target.reject(response, text));
      await sendFor(ips, 1500);
      expect(arrivals.length).to.be.greaterThan(5);
    });
  }

  it('with a status other than that of a rejection gets requests as before', async () => {
    await startSite(2);
    for (const other of others) other.slowdown = 700;
    rejections.push((response) =>
      response.writeHead(500, { 'Server-Signature': 's', 'Retry-After': '60' }).end(),
    );
    await sendFor(ips, 1500);
    expect(arrivals.length).to.be.greaterThan(5);
  });
});

describe('a back-off', () => {
  const MINUTE_MS = 60_000;

  it('is limited to ten minutes, so that a wrong value does not disable a service', () => {
    const standing = new Availability();
    expect(standing.recordBackoff(7200 * SECOND_MS, 0)).to.equal(true);
    expect(standing.isBackedOff(10 * MINUTE_MS - 1)).to.equal(true);
    expect(standing.isBackedOff(10 * MINUTE_MS)).to.equal(false);
  });
  it('that ends earlier than the known one changes nothing', () => {
    const standing = new Availability();
    expect(standing.recordBackoff(2000, 0)).to.equal(true);
    expect(standing.recordBackoff(500, 100)).to.equal(false);
    expect(standing.recordBackoff(0, 5000)).to.equal(false);
    expect(standing.backoffUntil).to.equal(2000);
  });
  it('is followed by a rising rate limit that is lifted after a second', () => {
    const standing = new Availability();
    expect(standing.readRampRate(0)).to.equal(undefined);
    standing.recordBackoff(1000, 0);
    const rates = [1000, 1300, 1600, 1900].map((at) => standing.readRampRate(at) ?? Infinity);
    expect(rates[0]).to.equal(4);
    expect([...rates].sort((a, b) => a - b)).to.deep.equal(rates);
    expect(standing.readRampRate(2000)).to.equal(undefined);
  });
});
