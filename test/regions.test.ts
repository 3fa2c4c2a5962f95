/**
 * Routes whose requests may run only in some regions, and callers that are sent to daemons of their
 * own region.
 */
import { expect } from 'chai';
import { pause } from '../src/demo/index.js';
import { Site, askDirectory, callersPort, sendTo } from './helpers/gateways.js';
import type { RecordingTarget } from '../src/standin/index.js';

const RULES = [
  { prefix: '/a/' },
  { prefix: '/home/', regions: ['r2'] },
  { prefix: '/nowhere/', regions: ['r9'] },
  { prefix: '/odd/', regions: 'r1' },
] as const;

const DOMAINS = 'd1:r1,d2:r2';

describe('two regions', () => {
  let site: Site;
  let here: RecordingTarget;
  let there: RecordingTarget;
  beforeEach(async () => {
    site = await new Site().start(RULES);
    here = await site.addTarget('alpha', { domain: 'd1' });
    there = await site.addTarget('alpha', { domain: 'd2' });
  });
  afterEach(() => site.stop());

  async function startGateway(domain: string, region: string, seeds: readonly string[] = []) {
    const { ip, gateway } = site.createGateway(seeds, '', { domain, region, domains: DOMAINS });
    await gateway.start();
    return ip;
  }

  it('a request runs only in the regions of its route, however often it is retried', async () => {
    const ip = await startGateway('d1', 'r1');
    for (const target of [here, there]) {
      target.behaviour = (_, response) =>
        response.writeHead(503, { 'Server-Load': '1,0,4,100', 'Not-Executed': '1' }).end();
    }
    for (let count = 0; count < 10; count += 1) await sendTo(ip, { path: '/home/1' });
    expect(here.ran).to.have.length(0);
    expect(there.ran).to.have.length(10);
  });

  it('a request whose regions have no target is refused with 503 and runs nowhere', async () => {
    const ip = await startGateway('d1', 'r1');
    expect((await sendTo(ip, { path: '/nowhere/1' })).status).to.equal(503);
    expect([...here.ran, ...there.ran]).to.have.length(0);
  });

  it('regions that cannot be decoded are logged once and restrict no request', async () => {
    const ip = await startGateway('d1', 'r1');
    expect((await sendTo(ip, { path: '/odd/1' })).status).to.equal(200);
    const logged = site.events.filter(({ event }) => event === 'configuration.unreadable');
    expect(logged.map(({ fields }) => fields.what)).to.deep.equal([
      'r/odd/: allowed_regions; expected a list of regions',
    ]);
  });

  it('callers are sent to the daemons of their own region, and to others when it has none', async () => {
    const first = await startGateway('d1', 'r1');
    const second = await startGateway('d2', 'r2', [first]);
    await pause(1500);
    const ask = async (region: string, domain: string) =>
      (await askDirectory(first, { region, domain })).addresses;
    expect(await ask('r1', 'd1')).to.deep.equal([`${first}:${callersPort}`]);
    expect(await ask('r2', 'd2')).to.deep.equal([`${second}:${callersPort}`]);
    expect(await ask('r3', 'd3')).to.have.length(2);
  }).timeout(10_000);
});
