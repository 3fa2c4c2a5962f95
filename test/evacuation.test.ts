/**
 * Seen on the users' platform: an operator asked that nothing more go to the targets of a failure domain, and
 * some thousands of requests went there, as no daemon read the request. What is asked has to reach every daemon in
 * the ways that a configuration does, and to hold on every way to a target.
 */
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import { waitUntil } from './helpers/fleet.js';
import { Site, sendTo } from './helpers/gateways.js';
import type { RecordingTarget } from '../src/standin/index.js';

const RULES = [{ prefix: '/a/', timeout: 8000 }];

const EVACUATE = 'op/evacuate/';

/** Well within the seconds that operators allow, with the processor of a test machine. */
const SOON = 1200;

describe('a failure domain that is evacuated', () => {
  let site: Site;
  let here: RecordingTarget;
  let there: RecordingTarget;
  beforeEach(async () => {
    site = await new Site().start(RULES);
    here = await site.addTarget('alpha', { domain: 'd1' });
    there = await site.addTarget('alpha', { domain: 'd2' });
  });
  afterEach(() => site.stop());

  async function sendMany(ip: string, count = 20): Promise<readonly number[]> {
    const statuses: number[] = [];
    for (let sent = 0; sent < count; sent += 1) statuses.push((await sendTo(ip)).status);
    return statuses;
  }

  it('gets no requests and no probes, until the operator takes that back', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(SOON);
    const [ran, probes] = [here.ran.length, here.probes];
    expect(await sendMany(ip)).to.deep.equal(Array(20).fill(200));
    await pause(500);
    expect(here.ran.length - ran).to.equal(0);
    expect(here.probes - probes).to.equal(0);
    site.store.remove(`${EVACUATE}d1`);
    await pause(SOON);
    there.slowdown = 700;
    await sendMany(ip, 10);
    await pause(500);
    await sendMany(ip);
    expect(here.ran.length).to.be.greaterThan(ran);
  }).timeout(10_000);

  it('lets what runs there end, and what waits goes elsewhere', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    for (const target of [here, there]) {
      target.behaviour = (request, response) =>
        setTimeout(() => target.answer(request, response), 1500);
    }
    const running = Array.from({ length: 12 }, () => sendTo(ip, { deadline: 6000 }));
    await waitUntil(() => here.ran.length >= 4, 'the first ones are at their targets');
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(SOON);
    const ran = here.ran.length;
    const replies = await Promise.all(running);
    for (const { status } of replies) expect(status).to.be.oneOf([200, 503]);
    expect(here.cancelled).to.have.length(0);
    expect(here.ran.length).to.equal(ran);
  }).timeout(15_000);

  it('is known to daemons that do not read the store, and to one that starts later', async () => {
    const first = await site.addGateway([], 'homes = 1\nhome_capacity = 0.1');
    const second = await site.addGateway([first], 'homes = 1\nhome_capacity = 0.1');
    await pause(1000);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(SOON);
    const third = await site.addGateway([first], 'homes = 1\nhome_capacity = 0.1');
    const ran = here.ran.length;
    for (const ip of [first, second, third]) await sendMany(ip);
    expect(here.ran.length - ran).to.equal(0);
  }).timeout(15_000);

  it('is known to daemons that start while it lasts, and to all after a loss of all power', async () => {
    site.store.put(`${EVACUATE}d1`, '{}');
    site.isFirstStart = true;
    const ip = await site.addGateway();
    await sendMany(ip);
    expect(here.ran).to.have.length(0);
    for (const { gateway } of site.gateways) gateway.destroy();
    site.isFirstStart = false;
    await sendMany(await site.addGateway());
    expect(here.ran).to.have.length(0);
  }).timeout(15_000);

  it('leaves callers a true refusal at once when nothing else is there', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    site.store.put(`${EVACUATE}d2`, '{}');
    await pause(SOON);
    const ran = here.ran.length + there.ran.length;
    const reply = await sendTo(ip);
    expect(reply.status).to.equal(503);
    expect(reply.took).to.be.lessThan(200);
    expect(here.ran.length + there.ran.length).to.equal(ran);
  }).timeout(10_000);

  it('taken back and asked for again within a second is evacuated', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(400);
    site.store.remove(`${EVACUATE}d1`);
    await pause(100);
    site.store.put(`${EVACUATE}d1`, 'neither JSON nor anything else');
    await pause(SOON);
    const ran = here.ran.length;
    await sendMany(ip);
    expect(here.ran.length - ran).to.equal(0);
  }).timeout(10_000);

  it('that nobody knows, or is not named, costs nothing', async () => {
    const ip = await site.addGateway();
    site.store.put(`${EVACUATE}nowhere`, '{}');
    site.store.put(EVACUATE, '{}');
    await pause(SOON);
    expect(await sendMany(ip)).to.deep.equal(Array(20).fill(200));
    const told = site.events.filter(({ event }) => event === 'evacuation.unreadable');
    expect(told.map(({ fields }) => fields.what)).to.deep.equal([EVACUATE]);
  }).timeout(10_000);

  it('stays known while the store is away, and its end is heard of afterwards', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(SOON);
    site.store.fault = { kind: 'busy' };
    await pause(1500);
    const ran = here.ran.length;
    await sendMany(ip);
    expect(here.ran.length - ran).to.equal(0);
    site.store.remove(`${EVACUATE}d1`);
    site.store.put(`${EVACUATE}d2`, '{}');
    site.store.fault = { kind: 'none' };
    await pause(2500);
    const elsewhere = there.ran.length;
    await sendMany(ip);
    expect(there.ran.length - elsewhere).to.equal(0);
    expect(here.ran.length - ran).to.be.at.least(15);
  }).timeout(15_000);
});
