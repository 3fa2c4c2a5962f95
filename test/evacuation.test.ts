/**
 * Guards against evacuations that are ignored: an operator requested that no more requests go to
 * the targets of a failure domain, no daemon read that, and thousands of requests went there.
 *
 * An evacuation has to reach every daemon in the same ways as a configuration, and has to apply to
 * every way of sending a request to a target.
 */
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import { waitUntil } from './helpers/fleet.js';
import { Site, sendTo } from './helpers/gateways.js';
import type { RecordingTarget } from '../src/standin/index.js';

const RULES = [{ prefix: '/a/', timeout: 8000 }];

const EVACUATE = 'op/evacuate/';

/**
 * Time after which an evacuation is in effect, in milliseconds: well below the seconds that
 * operators allow, long enough for a slow test machine.
 */
const TAKE_EFFECT_MS = 1200;

describe('an evacuated failure domain', () => {
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

  it('gets no requests and no probes until the operator undoes the evacuation', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(TAKE_EFFECT_MS);
    const [ran, probes] = [here.ran.length, here.probes];
    expect(await sendMany(ip)).to.deep.equal(Array(20).fill(200));
    await pause(500);
    expect(here.ran.length - ran).to.equal(0);
    expect(here.probes - probes).to.equal(0);
    site.store.remove(`${EVACUATE}d1`);
    await pause(TAKE_EFFECT_MS);
    there.slowdown = 700;
    await sendMany(ip, 10);
    await pause(500);
    await sendMany(ip);
    expect(here.ran.length).to.be.greaterThan(ran);
  }).timeout(10_000);

  it('completes the requests that run there, and waiting ones go elsewhere', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    for (const target of [here, there]) {
      target.behaviour = (request, response) =>
        setTimeout(() => target.answer(request, response), 1500);
    }
    const running = Array.from({ length: 12 }, () => sendTo(ip, { deadline: 6000 }));
    await waitUntil(() => here.ran.length >= 4, 'the first requests are at their targets');
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(TAKE_EFFECT_MS);
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
    await pause(TAKE_EFFECT_MS);
    const third = await site.addGateway([first], 'homes = 1\nhome_capacity = 0.1');
    const ran = here.ran.length;
    for (const ip of [first, second, third]) await sendMany(ip);
    expect(here.ran.length - ran).to.equal(0);
  }).timeout(15_000);

  it('is known to daemons that start meanwhile, and to all after a power loss of the whole fleet', async () => {
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

  it('makes daemons refuse requests at once when no other domain is left', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    site.store.put(`${EVACUATE}d2`, '{}');
    await pause(TAKE_EFFECT_MS);
    const ran = here.ran.length + there.ran.length;
    const reply = await sendTo(ip);
    expect(reply.status).to.equal(503);
    expect(reply.took).to.be.lessThan(200);
    expect(here.ran.length + there.ran.length).to.equal(ran);
  }).timeout(10_000);

  it('stays evacuated when that is undone and requested again within a second', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(400);
    site.store.remove(`${EVACUATE}d1`);
    await pause(100);
    site.store.put(`${EVACUATE}d1`, 'neither JSON nor anything else');
    await pause(TAKE_EFFECT_MS);
    const ran = here.ran.length;
    await sendMany(ip);
    expect(here.ran.length - ran).to.equal(0);
  }).timeout(10_000);

  it('has no effect on other domains when it is unknown or its name is empty', async () => {
    const ip = await site.addGateway();
    site.store.put(`${EVACUATE}nowhere`, '{}');
    site.store.put(EVACUATE, '{}');
    await pause(TAKE_EFFECT_MS);
    expect(await sendMany(ip)).to.deep.equal(Array(20).fill(200));
    const reported = site.events.filter(({ event }) => event === 'evacuation.unreadable');
    expect(reported.map(({ fields }) => fields.what)).to.deep.equal([EVACUATE]);
  }).timeout(10_000);

  it('stays evacuated during an outage of the store, and later changes apply after it', async () => {
    const ip = await site.addGateway();
    await sendMany(ip, 5);
    site.store.put(`${EVACUATE}d1`, '{}');
    await pause(TAKE_EFFECT_MS);
    site.store.fault = { kind: 'busy' };
    await pause(1500);
    const ran = here.ran.length;
    await sendMany(ip);
    expect(here.ran.length - ran).to.equal(0);
    site.store.remove(`${EVACUATE}d1`);
    site.store.put(`${EVACUATE}d2`, '{}');
    site.store.fault = { kind: 'none' };
    await pause(2500);
    const ranThere = there.ran.length;
    await sendMany(ip);
    expect(there.ran.length - ranThere).to.equal(0);
    expect(here.ran.length - ran).to.be.at.least(15);
  }).timeout(15_000);
});
