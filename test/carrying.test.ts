import { expect } from 'chai';
import http from 'node:http';
import { type CallSituation, chooseCallPath, chooseCarrier } from '../src/balance/index.js';
import {
  type CarriedTerms,
  checkCarriedHeader,
  composeCarriedHeader,
} from '../src/gateway/carrying/carried-terms.js';
import { createSeededRandom } from '../src/kernel/index.js';
import { KEYS } from '../src/platform/index.js';
import { type Behaviour, HOST, type RecordingTarget } from '../src/standin/index.js';
import {
  type CallerRequest,
  Site,
  beginLongAnswer,
  callersPort,
  sendTo,
} from './helpers/gateways.js';

/** The port for carried calls, next to that for the exchange of state. */
const CARRY_PORT = 18_161;

const ROUTES = [
  { prefix: '/read/', kind: 'safe' as const, timeout: 2000 },
  { prefix: '/post/', kind: 'unsafe' as const, timeout: 2000 },
  { prefix: '/upload/', kind: 'upload' as const, timeout: 4000 },
];

const POST: CallerRequest = { path: '/post/1', method: 'POST', body: 'x', deadline: 2000 };
const READ: CallerRequest = { path: '/read/1?q=1', deadline: 2000 };

/** How long the fleet takes to settle, and a partition to be found. */
const SETTLE_MS = 2600;
const FOUND_MS = 1500;

const MEGABYTE = 1_048_576;

const wait = (time: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, time);
  });

describe('the path of a call', () => {
  const situation = (overrides: Partial<CallSituation>): CallSituation => ({
    ...{ isReached: true, connectionFailures: 0, isExhausted: false },
    ...{ isCarried: false, hasCarrier: () => true },
    ...overrides,
  });
  const noCarrier = { hasCarrier: () => false };
  const cases: readonly (readonly [string, Partial<CallSituation>, string])[] = [
    ['is direct while targets are reached', {}, 'direct'],
    ['is direct after one failed connection', { connectionFailures: 1 }, 'direct'],
    ['leads over a carrier after one if there is no other', { isExhausted: true }, 'carry'],
    ['leads over a carrier after two', { connectionFailures: 2 }, 'carry'],
    ['is direct after two without a carrier', { connectionFailures: 2, ...noCarrier }, 'direct'],
    [
      'is direct after two for a carried call',
      { connectionFailures: 2, isCarried: true },
      'direct',
    ],
    ['leads over a carrier while no target is reached', { isReached: false }, 'carry'],
    ['is a refusal without a carrier', { isReached: false, ...noCarrier }, 'refuse'],
    ['is a refusal for a carried call', { isReached: false, isCarried: true }, 'refuse'],
  ];
  for (const [what, overrides, path] of cases) {
    it(what, () => expect(chooseCallPath(situation(overrides))).to.equal(path));
  }
});

describe('the choice of a carrier', () => {
  const carriers = [
    { name: 'near', domain: 'd1', capacity: 1, inFlight: 0 },
    { name: 'far', domain: 'd2', capacity: 1, inFlight: 0 },
    { name: 'weak', domain: 'd1', capacity: 0.25, inFlight: 0 },
  ];

  it('follows capacity, nearness and the calls that each carries', () => {
    const random = createSeededRandom(3);
    const counts = new Map(carriers.map(({ name }) => [name, 0]));
    const busy = carriers.map((carrier) => ({ ...carrier }));
    for (let call = 0; call < 700; call += 1) {
      const chosen = chooseCarrier(busy, { random, domain: 'd1' });
      if (chosen === undefined) expect.fail('no carrier');
      chosen.inFlight += 1;
      counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
    }
    expect(counts.get('near')).to.be.within(360, 440);
    expect(counts.get('far')).to.be.within(170, 230);
    expect(counts.get('weak')).to.be.within(80, 120);
  });

  it('is none without carriers', () => {
    const random = createSeededRandom(3);
    expect(chooseCarrier([], { random, domain: 'd1' })).to.equal(undefined);
  });
});

describe('the terms of a carried call', () => {
  const line = { carrier: '10.0.0.1', requestId: 'r1', method: 'POST', path: '/a?b' };
  const terms: CarriedTerms = {
    ...{ service: 'al pha', caller: '10.9.9.9', aimLeft: -20, attempts: 1, isCounted: true },
    isPaid: false,
  };

  it('are read by a daemon with the same key', () => {
    const value = composeCarriedHeader('key', line, terms);
    expect(checkCarriedHeader('key', line, value)).to.deep.equal(terms);
  });

  it('are not accepted with another key, for another call or daemon, or changed', () => {
    const value = composeCarriedHeader('key', line, terms);
    expect(checkCarriedHeader('other', line, value)).to.equal(undefined);
    for (const change of [
      ...[{ carrier: '10.0.0.2' }, { requestId: 'r2' }, { method: 'GET' }, { path: '/a' }],
    ]) {
      expect(checkCarriedHeader('key', { ...line, ...change }, value)).to.equal(undefined);
    }
    expect(checkCarriedHeader('key', line, value.replace(' 1 ', ' 0 '))).to.equal(undefined);
    for (const text of ['', ' ', 'x', `${value}0`, value.slice(1)]) {
      expect(checkCarriedHeader('key', line, text)).to.equal(undefined);
    }
  });
});

describe('a call that another daemon carries', () => {
  let site: Site;
  let targets: readonly RecordingTarget[];
  let cut: string;
  let carrier: string;

  const listRuns = () => targets.flatMap(({ ran }) => ran);
  const listEvents = (ip: string, event: string) =>
    site.events.filter((entry) => entry.ip === ip && entry.event === event);
  const stopGateway = (ip: string) =>
    site.gateways.find((entry) => entry.ip === ip)?.gateway.destroy();
  const setBehaviour = (behaviour: RecordingTarget['behaviour']) => {
    for (const target of targets) target.behaviour = behaviour;
  };

  /** Starts daemons of which the first is partitioned from all targets. */
  const startDaemons = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      site.createGateway(
        site.gateways.map(({ ip }) => ip),
        '',
        { domain: 'd1' },
      );
    }
    await Promise.all(site.gateways.map(({ gateway }) => gateway.start()));
    cut = site.gateways[0].ip;
    carrier = site.gateways[1].ip;
    await wait(SETTLE_MS);
    site.partition(cut, 'silent');
    await Promise.all([sendTo(cut, READ), sendTo(cut, READ)]);
    await wait(FOUND_MS);
    for (const target of targets) target.ran.splice(0);
  };

  beforeEach(async () => {
    site = await new Site().start(ROUTES);
    site.isPartitionable = true;
    targets = [await site.addTarget(), await site.addTarget(), await site.addTarget()];
  });
  afterEach(() => site.stop());

  it('is the same call: id, path, headers, remaining time, body and answer', async () => {
    await startDaemons(2);
    const reply = await sendTo(cut, {
      ...{ ...POST, path: '/post/1?a=%20b', id: 'same', body: 'the body' },
      headers: { 'x-own': 'kept', 'orchidbeam-carried': 'alpha 1 0 0 0 0 0' },
    });
    expect(reply.status).to.equal(200);
    expect(reply.headers['server-signature']).not.to.equal(undefined);
    expect(listRuns()).to.deep.equal(['same']);
    const ranBy = targets.find(({ ran }) => ran.includes('same'));
    const seen = ranBy?.seenHeaders.at(-1);
    expect(seen?.['x-own']).to.equal('kept');
    expect(seen?.['orchidbeam-carried']).to.equal(undefined);
    expect(Number(seen?.['request-deadline-ms'])).to.be.within(1700, 1980);
    expect(ranBy?.bodies.at(-1)?.toString()).to.equal('the body');
    expect(listEvents(cut, 'call.carried').at(-1)?.fields.by).to.equal(carrier);
  }).timeout(15_000);

  it('streams long bodies both ways', async () => {
    await startDaemons(2);
    const answer = Buffer.alloc(2 * MEGABYTE, 'a');
    const received: number[] = [];
    setBehaviour((request, response) => {
      let bytes = 0;
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      request.on('end', () => {
        received.push(bytes);
        response.writeHead(200, {
          ...{ 'server-signature': 's', 'content-length': answer.length },
          'attempt-id': request.headers['attempt-id'],
        });
        response.end(answer);
      });
    });
    const body = Buffer.alloc(3 * MEGABYTE, 'b');
    const reply = await sendTo(cut, {
      ...{ path: '/upload/1', method: 'POST', body, deadline: 4000 },
    });
    expect(reply.status).to.equal(200);
    expect(reply.text.length).to.equal(answer.length);
    expect(received).to.deep.equal([body.length]);
  }).timeout(15_000);

  const stages: readonly (readonly [string, Behaviour])[] = [
    ['before the answer', (request) => request.resume()],
    ['during a long answer', beginLongAnswer],
  ];
  for (const [stage, behaviour] of stages) {
    it(`ends at its target soon after its caller has left ${stage}`, async () => {
      await startDaemons(2);
      setBehaviour(behaviour);
      const controller = new AbortController();
      const sent = sendTo(cut, { ...READ, id: 'left', signal: controller.signal }).catch(
        () => undefined,
      );
      await wait(200);
      expect(listRuns()).to.deep.equal(['left']);
      controller.abort();
      await sent;
      await wait(400);
      expect(targets.flatMap(({ cancelled }) => cancelled)).to.include('left');
    }).timeout(15_000);
  }

  it('that may not be repeated runs once when its carrier ends half way', async () => {
    await startDaemons(3);
    setBehaviour((request) => request.resume());
    const sent = sendTo(cut, { ...POST, id: 'once' });
    await wait(200);
    expect(listRuns()).to.deep.equal(['once']);
    for (const { ip } of site.gateways.slice(1)) stopGateway(ip);
    const reply = await sent;
    expect(reply.status).to.equal(502);
    expect(listRuns()).to.deep.equal(['once']);
  }).timeout(15_000);

  it('that may be repeated is served by another daemon when its carrier ends half way', async () => {
    await startDaemons(3);
    let isHanging = true;
    setBehaviour((request, response) => {
      request.resume();
      if (!isHanging) targets[0].answer(request, response);
    });
    // Enough calls for both carriers to have some of them.
    const sent = Array.from({ length: 8 }, () => sendTo(cut, READ));
    await wait(200);
    isHanging = false;
    stopGateway(carrier);
    const replies = await Promise.all(sent);
    expect(replies.map(({ status }) => status)).to.deep.equal(replies.map(() => 200));
  }).timeout(15_000);

  it('is refused at once, truthfully, when the others reach no target either', async () => {
    await startDaemons(3);
    for (const { ip } of site.gateways) site.partition(ip, 'silent');
    await sendTo(carrier, READ).catch(() => undefined);
    await wait(FOUND_MS);
    const reply = await sendTo(cut, POST);
    expect(reply.status).to.equal(503);
    expect(reply.took).to.be.below(300);
    expect(listRuns()).to.deep.equal([]);
  }).timeout(15_000);

  it('tells of the refusal of its carrier', async () => {
    await startDaemons(2);
    setBehaviour((request, response) => {
      request.resume();
      targets[0].reject(response, '1.5');
    });
    await sendTo(cut, POST);
    const reply = await sendTo(cut, POST);
    expect(reply.status).to.equal(503);
    expect(Number(reply.headers['retry-after'])).to.be.greaterThan(0);
  }).timeout(15_000);

  // Guards against refusing calls because their carrier has just started and has read no key yet.
  it('is accepted by a carrier that could not read the key before', async () => {
    const key = 'ab'.repeat(32);
    site.store.put(KEYS.fleetKey, key);
    const { ip, gateway } = site.createGateway();
    site.hideFleetKey(ip, true);
    await gateway.start();
    await wait(SETTLE_MS);
    site.hideFleetKey(ip, false);
    const header = composeCarriedHeader(
      key,
      { carrier: ip, requestId: 'early', method: 'POST', path: '/post/1' },
      {
        ...{ service: 'alpha', caller: '127.0.0.1', aimLeft: 1000, attempts: 0 },
        ...{ isCounted: false, isPaid: false },
      },
    );
    const reply = await sendTo(ip, {
      ...{ ...POST, id: 'early', port: CARRY_PORT, headers: { 'orchidbeam-carried': header } },
    });
    expect(reply.status).to.equal(200);
    expect(listEvents(ip, 'carry.rejected')).to.deep.equal([]);
  }).timeout(15_000);

  it('comes from a daemon: nobody else is let in', async () => {
    await startDaemons(2);
    const valid = composeCarriedHeader(
      'guess',
      { carrier, requestId: 'q', method: 'GET', path: '/read/1' },
      {
        ...{ service: 'alpha', caller: '127.0.0.1', aimLeft: 100, attempts: 0 },
        ...{ isCounted: false, isPaid: false },
      },
    );
    for (const header of [undefined, '', 'alpha 127.0.0.1 100 0 0 0 00', valid]) {
      const headers: Record<string, string> =
        header === undefined ? {} : { 'orchidbeam-carried': header };
      const reply = await sendTo(carrier, {
        ...{ path: '/read/1', id: 'q', port: CARRY_PORT, headers },
      });
      expect(reply.status).to.equal(403);
    }
    expect(listRuns()).to.deep.equal([]);
  }).timeout(15_000);

  it('does not exist while targets are reached, also when some of them end', async () => {
    await startDaemons(3);
    site.partition(cut, 'none');
    await wait(FOUND_MS);
    site.events.splice(0);
    for (let round = 0; round < 40; round += 1) {
      if (round === 10) targets[0].crash();
      await Promise.all(site.gateways.map(({ ip }) => sendTo(ip, READ).catch(() => undefined)));
      await wait(25);
    }
    expect(site.events.filter(({ event }) => event === 'call.carried')).to.deep.equal([]);
    expect(site.events.filter(({ event }) => event === 'targets.lost')).to.deep.equal([]);
  }).timeout(15_000);

  it('is not one whose answer has begun', async () => {
    await startDaemons(2);
    site.partition(cut, 'none');
    await wait(FOUND_MS);
    setBehaviour((request, response) => {
      if (request.method === 'GET') request.resume();
      else beginLongAnswer(request, response);
    });
    for (const target of targets) target.ran.splice(0);
    const sent = sendTo(cut, { ...POST, id: 'begun' }).catch(() => undefined);
    await wait(300);
    site.partition(cut, 'silent');
    sendTo(cut, READ).catch(() => undefined);
    sendTo(cut, READ).catch(() => undefined);
    await Promise.race([sent, wait(2000)]);
    expect(listEvents(cut, 'targets.lost').length).to.be.greaterThan(0);
    expect(listRuns().filter((id) => id === 'begun')).to.deep.equal(['begun']);
    expect(listEvents(cut, 'gateway.broken')).to.deep.equal([]);
  }).timeout(20_000);

  it('keeps its answer whole: one that breaks off does not look complete', async () => {
    await startDaemons(2);
    setBehaviour((request, response) => {
      beginLongAnswer(request, response);
      setTimeout(() => response.destroy(), 100);
    });
    const reply = await new Promise<'broken' | 'whole'>((resolve) => {
      const request = http.get(
        {
          ...{ host: cut, port: callersPort, path: '/read/1', agent: false },
          headers: { host: HOST, 'attempt-id': 'b', 'request-deadline-ms': '2000' },
        },
        (response) => {
          response.resume();
          response.on('close', () => resolve(response.complete ? 'whole' : 'broken'));
          response.on('error', () => undefined);
        },
      );
      request.on('error', () => resolve('broken'));
    });
    expect(reply).to.equal('broken');
  }).timeout(15_000);
});
