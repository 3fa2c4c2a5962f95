import { expect } from 'chai';
import { Availability, SlowdownModel } from '../src/balance/index.js';
import {
  type PlacementResult,
  type SlotCall,
  SlotQueue,
} from '../src/gateway/targets/slot-queue.js';
import { GatewayTarget } from '../src/gateway/targets/target.js';
import { ManualClock, createSeededRandom } from '../src/kernel/index.js';
import { noopListener } from './helpers/listener.js';

const SLOTS = 26;
const WORK = 220;
const AIM = 580;
const DEADLINE = 2000;

/** Calls that a service of these slots ends in a second. */
const CAPACITY = (SLOTS * 1000) / WORK;

interface Played {
  readonly at: number;
  /** When it was answered, or undefined. */
  answeredAt?: number;
  refusedAt?: number;
  wait?: number;
}

interface Load {
  /** Calls a second, as a multiple of what the service can end, at a time in milliseconds. */
  readonly readRate: (now: number) => number;
  /** Calls that come back at the start, late already. */
  readonly returning?: number;
}

/** Plays calls against slots that each take one call after the other, work spread by a third. */
async function runLoad({ readRate, returning = 0 }: Load, until: number): Promise<Played[]> {
  const clock = new ManualClock();
  const random = createSeededRandom(5);
  const record = {
    incarnation: 'i',
    service: 's',
    domain: 'd',
    slots: SLOTS,
    coldLeft: 0,
    born: 0,
  };
  const target = new GatewayTarget(
    {
      record: { ...record, address: { host: '127.0.0.1', port: 1 }, state: 'ready' },
      ...{ revision: 1, coldUntil: 0 },
    },
    clock,
    {
      slowdownModel: new SlowdownModel(),
      onConnectionOpened: () => undefined,
      listener: noopListener,
      availability: new Availability(),
    },
  );
  const queue = new SlotQueue(clock, random, () =>
    target.load.inFlight < SLOTS
      ? { kind: 'now', candidate: target, load: { slowdown: 1 } }
      : { kind: 'wait', pace: 1 / SLOTS, slowdown: 1 },
  );
  const played: Played[] = [];
  const call = (aimAt: number): void => {
    const now = clock.now();
    const entry: Played = { at: now };
    played.push(entry);
    const wish: SlotCall = {
      isWorkKnown: true,
      ...{ priority: 1, aimAt, deadline: now + DEADLINE, work: WORK, spread: 1.4 },
      ...{ mayBeRefused: true, tried: new Set<GatewayTarget>(), bodyBytes: 0 },
    };
    const settle = (answer: PlacementResult) => {
      if (answer.kind === 'refused') {
        entry.refusedAt = clock.now();
        entry.wait = answer.wait;
        return;
      }
      clock.schedule(WORK * (0.6 + 0.8 * random.next()), () => {
        entry.answeredAt = clock.now();
        target.load.finish();
        queue.pump();
      });
    };
    Promise.resolve(queue.take(wish)).then(settle, () => undefined);
  };
  for (let index = 0; index < returning; index += 1) call(-1);
  while (clock.now() < until) {
    const now = clock.now();
    if (random.next() < (readRate(now) * CAPACITY) / 1000) call(now + AIM);
    await clock.advance(1);
  }
  await clock.advance(DEADLINE + 1000);
  return played;
}

/** Counts the calls answered in time that arrived in a span, as a share of what the slots can end. */
function measureGoodput(played: readonly Played[], from: number, to: number): number {
  const inTime = played.filter(
    ({ at, answeredAt = Infinity }) => at >= from && at < to && answeredAt <= at + AIM,
  );
  return inTime.length / ((CAPACITY * (to - from)) / 1000);
}

describe('more calls than the targets can end', () => {
  it('those that are served are in time, in a burst of three times the capacity', async () => {
    const readRate = (now: number) => (now >= 1000 && now < 5000 ? 3 : 0.5);
    const played = await runLoad({ readRate }, 9000);
    expect(measureGoodput(played, 1500, 5000)).to.be.greaterThan(0.85);
    // Back to normal at once when the load is.
    const after = played.filter(({ at }) => at >= 6000);
    const inTime = after.filter(({ at, answeredAt = Infinity }) => answeredAt <= at + AIM);
    expect(inTime.length / after.length).to.be.greaterThan(0.95);
  }).timeout(20_000);

  it('most of what is sent back is sent back on arrival, with a time that grows with the overload', async () => {
    const readRate = (now: number) => (now >= 1000 && now < 6000 ? 3 : 0.5);
    const played = await runLoad({ readRate }, 7000);
    const refused = played.filter(({ refusedAt }) => refusedAt !== undefined);
    const late = refused.filter(({ at }) => at > 3500);
    const atOnce = late.filter(({ at, refusedAt = Infinity }) => refusedAt - at <= 20);
    expect(late.length).to.be.greaterThan(200);
    expect(atOnce.length / late.length).to.be.greaterThan(0.9);
    const meanWait = (entries: readonly Played[]) =>
      entries.reduce((sum, { wait = 0 }) => sum + wait, 0) / entries.length;
    const early = refused.filter(({ at }) => at < 3000);
    expect(meanWait(late)).to.be.greaterThan(meanWait(early));
  }).timeout(20_000);

  it('who returns late after an outage is served behind those that can be in time', async () => {
    const played = await runLoad({ readRate: () => 0.6, returning: 150 }, 6000);
    const [returned, fresh] = [played.slice(0, 150), played.slice(150)];
    const inTime = fresh.filter(({ at, answeredAt = Infinity }) => answeredAt <= at + AIM);
    expect(inTime.length / fresh.length).to.be.greaterThan(0.95);
    const served = returned.filter(({ answeredAt }) => answeredAt !== undefined);
    expect(served.length / returned.length).to.be.greaterThan(0.5);
  }).timeout(20_000);
});
