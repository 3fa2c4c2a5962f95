import { expect } from 'chai';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { KEYS } from '../src/platform/index.js';
import { DAEMON_PORTS, DaemonProcess } from '../src/soak/daemon-process.js';
import { type CallerRequest, Site, sendTo } from './helpers/gateways.js';

const TARGETS = 8;

/** How long a request takes at a target, in milliseconds. */
const WORK_MS = 20;

const TIMEOUT_MS = 800;
const UPLOAD_TIMEOUT_MS = 2000;
/** Requests that take longer, so that a dozen of them are in flight at any time. */
const LONG_TIMEOUT_MS = 4000;
const LONG_WORK_MS = 300;

const ROUTES = [
  { prefix: '/read/', timeout: TIMEOUT_MS },
  { prefix: '/post/', kind: 'unsafe' as const, timeout: TIMEOUT_MS },
  { prefix: '/upload/', kind: 'upload' as const, timeout: UPLOAD_TIMEOUT_MS },
  { prefix: '/long/', timeout: LONG_TIMEOUT_MS },
];

/** Time within which a daemon beside healthy targets serves again, in milliseconds. */
const RECOVERY_MS = 1000;

const MIN_SERVED_SHARE = 0.95;

const wait = (time: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, time);
  });

/** The status of the answer; 0 when there was none. */
function sendRequest(ip: string, prefix: string, port?: number): Promise<number> {
  const { kind = 'safe', timeout = 0 } = ROUTES.find((route) => route.prefix === prefix) ?? {};
  const sending: CallerRequest = { path: `${prefix}1`, deadline: timeout, port };
  return sendTo(ip, kind === 'safe' ? sending : { ...sending, method: 'POST', body: 'x' }).then(
    ({ status }) => status,
    () => 0,
  );
}

/** The statuses of the answers to requests, by route. */
type Statuses = Readonly<Record<string, readonly number[]>>;

/** Sends requests of every route for a second and returns the statuses of the answers. */
async function sendAll(ip: string, port?: number): Promise<Statuses> {
  const rounds = 40;
  const replies = new Map<string, Promise<number>[]>();
  for (let round = 0; round < rounds; round += 1) {
    for (const { prefix } of ROUTES) {
      const sent = sendRequest(ip, prefix, port);
      replies.set(prefix, [...(replies.get(prefix) ?? []), sent]);
    }
    await wait(1000 / rounds);
  }
  const statuses: Record<string, readonly number[]> = {};
  for (const [prefix, sent] of replies) statuses[prefix] = await Promise.all(sent);
  return statuses;
}

function checkServed(statuses: Statuses): void {
  for (const [prefix, answers] of Object.entries(statuses)) {
    const served = answers.filter((status) => status === 200);
    const others = answers.filter((status) => status !== 200).join(' ');
    expect(served.length / answers.length, `${prefix} ${others}`).to.be.at.least(MIN_SERVED_SHARE);
  }
}

/** Composes stored learned state; the default values are those of healthy targets. */
function writeLearnedState(
  service: Readonly<Record<string, unknown>>,
  route: Readonly<Record<string, unknown>>,
): string {
  const routes = ROUTES.map(
    ({ prefix }) => [`r${prefix}`, { work: WORK_MS, spread: 1.4, ...route }] as const,
  );
  return JSON.stringify({
    services: { alpha: { mean: 1.5, slow: 4, life: 500, knee: 1, ...service } },
    routes: Object.fromEntries(routes),
    ...{ homes: 1, poison: [] },
  });
}

describe('a daemon beside healthy targets', () => {
  let site: Site;

  const answerAfter = (time: number) => {
    for (const target of site.targets) {
      target.behaviour = (request, response) => {
        request.resume();
        const isLong = request.url?.startsWith('/long/') ?? false;
        setTimeout(() => target.answer(request, response), isLong ? time + LONG_WORK_MS : time);
      };
    }
  };

  beforeEach(async () => {
    site = await new Site().start(ROUTES);
    for (let count = 0; count < TARGETS; count += 1) await site.addTarget();
    answerAfter(WORK_MS);
  });
  afterEach(() => site.stop());

  // Guards against refusals by a stored estimate, which end only with answers to the refused calls.
  describe('that starts with wrong learned state', () => {
    const cases: readonly (readonly [string, Record<string, unknown>, Record<string, unknown>])[] =
      [
        ['a run time 30 times too long', {}, { work: 30 * WORK_MS }],
        ['a run time of ten minutes', {}, { work: 600_000 }],
        ['a run time of 1e300 ms', {}, { work: 1e300 }],
        ['a run time 30 times too short', {}, { work: WORK_MS / 30 }],
        ['a run time of 1e-300 ms', {}, { work: 1e-300 }],
        ['a spread of 100', {}, { spread: 100 }],
        ['a spread of 1e308', {}, { spread: 1e308 }],
        ['slowdowns of 60', { mean: 60, slow: 60 }, {}],
        ['slowdowns of 1e300', { mean: 1e300, slow: 1e300 }, {}],
        ['slowdowns of 1e-300', { mean: 1e-300, slow: 1e-300 }, {}],
        ['a report life of 1e300 ms', { life: 1e300 }, {}],
        ['a report life of 1e-300 ms', { life: 1e-300 }, {}],
        ['a knee of 1e300', { knee: 1e300 }, {}],
        ['zero, null and text', { mean: 0, slow: null }, { work: 'long', spread: 0 }],
        [
          'everything 30 times too large',
          { mean: 45, slow: 120, life: 15_000, knee: 30 },
          { work: 600, spread: 42 },
        ],
      ];
    for (const [what, service, route] of cases) {
      it(`serves from the second second on: ${what}`, async () => {
        site.store.put(KEYS.learnedState, writeLearnedState(service, route));
        const ip = await site.addGateway();
        // Callers return in the first second too.
        await sendAll(ip);
        checkServed(await sendAll(ip));
      });
    }
  });

  // Guards against taking the time for which a daemon did not run for the time of its calls, and
  // against storing that for all daemons.
  it('serves again after it was frozen, and so do all daemons after a loss of power', async () => {
    const directory = await mkdtemp(join(tmpdir(), 'orchidbeam-recovery-'));
    const ips = [1, 2].map((host) => `127.${10 + (process.pid % 200)}.11.${host}`);
    const daemons = ips.map(
      (ip) =>
        new DaemonProcess(
          {
            ...{ ip, domain: 'd1', seeds: ips, store: site.store.address, cores: 0.5, directory },
            promiseSettings: [
              ...['grace = 6', 'answer_ttl = 5', 'retry_ratio = 0.2', 'retry_window = 10'],
              ...['retry_slack = 64', 'probes_per_second = 60'],
            ],
          },
          () => undefined,
        ),
    );
    const { callers: port } = DAEMON_PORTS;
    const waitUntilReady = async () => {
      for (const ip of ips) {
        const ask = () => sendTo(ip, { path: '/ready', port: DAEMON_PORTS.readiness });
        while (
          (await ask().then(
            ({ status }) => status,
            () => 0,
          )) !== 200
        )
          await wait(50);
      }
      await wait(RECOVERY_MS);
    };
    const measureAll = async () => {
      for (const shares of await Promise.all(ips.map((ip) => sendAll(ip, port))))
        checkServed(shares);
    };
    try {
      for (const daemon of daemons) await daemon.open();
      await waitUntilReady();
      await measureAll();
      const caught = ips.map((ip) => sendAll(ip, port));
      await wait(500);
      for (const daemon of daemons) daemon.freeze(LONG_TIMEOUT_MS - 600);
      await Promise.all(caught);
      await wait(RECOVERY_MS);
      await measureAll();
      // The learned state is written every five seconds.
      for (let second = 0; second < 6; second += 1) await measureAll();
      for (const daemon of daemons) daemon.kill();
      await wait(RECOVERY_MS / 2);
      await waitUntilReady();
      await measureAll();
    } finally {
      for (const daemon of daemons) daemon.close();
      await rm(directory, { recursive: true, force: true });
    }
  }).timeout(60_000);

  // Guards against a mean that one report has raised beyond all that later ones can lower.
  it('serves within two seconds after a target reported a slowdown that no target has', async () => {
    const ip = await site.addGateway();
    checkServed(await sendAll(ip));
    site.targets[0].slowdown = 1e300;
    await sendAll(ip);
    site.targets[0].slowdown = 100;
    await wait(2 * RECOVERY_MS);
    checkServed(await sendAll(ip));
  }).timeout(60_000);

  // Guards against estimates of a time of trouble that go on refusing calls after it.
  describe('serves within two seconds', () => {
    const failAll = () => {
      for (const target of site.targets) {
        target.behaviour = (request, response) => {
          request.resume();
          response.writeHead(500, { 'Server-Signature': 'sig.1', 'Content-Length': 0 }).end();
        };
      }
    };
    const shorten = (timeout: number) =>
      site.configure(ROUTES.map((route) => ({ ...route, timeout })));
    const troubles: readonly (readonly [string, () => void])[] = [
      ['its targets were slow', () => answerAfter(TIMEOUT_MS - 100)],
      ['its targets were too slow for every request', () => answerAfter(3 * TIMEOUT_MS)],
      ['its targets failed', failAll],
      ['the timeouts were too short', () => shorten(WORK_MS / 2)],
    ];
    for (const [what, begin] of troubles) {
      it(`after ${what}`, async () => {
        const ip = await site.addGateway();
        checkServed(await sendAll(ip));
        begin();
        for (let second = 0; second < 2; second += 1) await sendAll(ip);
        answerAfter(WORK_MS);
        site.configure(ROUTES);
        await wait(2 * RECOVERY_MS);
        checkServed(await sendAll(ip));
      }).timeout(60_000);
    }
  });
});
