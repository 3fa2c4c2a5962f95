import { expect } from 'chai';
import { EventLoopMonitor } from '../src/gateway/event-loop-monitor.js';
import { type Log, type LogFields, ManualClock, TextMetrics } from '../src/kernel/index.js';

/** An event loop whose iterations and idle times the test controls. */
class Loop {
  readonly clock = new ManualClock();

  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  #idle = 0;

  #ends: (() => void)[] = [];

  readonly monitor: EventLoopMonitor;

  readonly log: Log;

  constructor() {
    const write = (event: string, fields: LogFields = {}) => this.lines.push({ event, fields });
    this.log = { debug: write, info: write, warn: write, error: write };
    this.monitor = new EventLoopMonitor({
      ...{ clock: this.clock, metrics: new TextMetrics(), log: this.log, listenQueue: 4 },
      source: {
        readIdleMs: () => this.#idle,
        scheduleAfterIteration: (end) => this.#ends.push(end),
      },
    });
  }

  async idle(time: number): Promise<void> {
    this.#idle += time;
    await this.clock.advance(time);
  }

  work(time: number): Promise<void> {
    return this.clock.advance(time);
  }

  endIteration(): void {
    const ends = this.#ends;
    this.#ends = [];
    for (const end of ends) end();
  }
}

describe('the estimated arrival time of a request', () => {
  let loop: Loop;

  beforeEach(() => {
    loop = new Loop();
  });

  it('is the current time when the loop was idle until then', async () => {
    loop.monitor.estimateArrival();
    loop.endIteration();
    await loop.idle(50);
    expect(loop.monitor.estimateArrival()).to.equal(50);
  });
  it('goes back at most to the start of this iteration after an idle period', async () => {
    await loop.idle(50);
    loop.monitor.estimateArrival();
    await loop.work(40);
    expect(loop.monitor.estimateArrival()).to.equal(70);
  });
  it('goes back to the previous poll when the loop has not been idle since', async () => {
    await loop.idle(50);
    loop.monitor.estimateArrival();
    await loop.work(400);
    loop.endIteration();
    expect(loop.monitor.estimateArrival()).to.equal(250);
    await loop.work(100);
    loop.endIteration();
    // The last poll before this iteration was at 450.
    expect(loop.monitor.estimateArrival()).to.equal(500);
  });
  it('goes back to the accept of a connection that has not been read since', async () => {
    await loop.idle(50);
    loop.monitor.estimateArrival();
    await loop.work(400);
    loop.endIteration();
    const accepted = loop.monitor.recordAccept();
    await loop.work(300);
    loop.endIteration();
    expect(loop.monitor.estimateArrival(accepted)).to.equal((50 + 750) / 2);
    expect(loop.monitor.estimateArrival()).to.equal((450 + 750) / 2);
  });
  it('goes back to the first of the iterations that each accepted a connection', async () => {
    for (let iteration = 0; iteration < 3; iteration += 1) {
      loop.monitor.recordAccept();
      await loop.work(100);
      loop.endIteration();
    }
    const accepted = loop.monitor.recordAccept();
    expect(loop.monitor.estimateArrival(accepted)).to.equal(150);
    loop.endIteration();
    // An iteration without an accept shows that no connection is waiting.
    loop.endIteration();
    await loop.idle(10);
    expect(loop.monitor.recordAccept().earliest).to.equal(310);
  });
  it('goes back at most to the accept that lies a full listen queue ago', async () => {
    for (let iteration = 0; iteration < 10; iteration += 1) {
      loop.monitor.recordAccept();
      await loop.work(100);
      loop.endIteration();
    }
    expect(loop.monitor.recordAccept().earliest).to.equal(600);
  });
  it('does not go back to the accept once the loop has been idle', async () => {
    const accepted = loop.monitor.recordAccept();
    loop.endIteration();
    await loop.idle(16);
    expect(loop.monitor.estimateArrival(accepted)).to.equal(16);
  });
  it('is never before the start of the monitor', () => {
    expect(loop.monitor.estimateArrival()).to.equal(0);
  });
});

describe('the lag of the event loop', () => {
  it('is logged when a timer ran late, and when connections may have waited to be accepted', async () => {
    const loop = new Loop();
    const { clock } = loop;
    const sleeps = [100, 190];
    const lateMonitor = new EventLoopMonitor({
      ...{ metrics: new TextMetrics(), log: loop.log, listenQueue: 4 },
      clock: {
        ...{ now: () => clock.now(), wall: () => clock.wall() },
        schedule: (delay, action) => clock.schedule(delay, action),
        sleep: (_, signal) => clock.sleep(sleeps.shift() ?? 100, signal),
      },
      source: { readIdleMs: () => 0, scheduleAfterIteration: () => undefined },
    });
    const abort = new AbortController();
    const running = lateMonitor.run(abort.signal);
    await clock.advance(290);
    expect(loop.lines).to.deep.equal([{ event: 'loop.late', fields: { lag: 90 } }]);
    lateMonitor.recordAccept();
    await clock.advance(100);
    expect(loop.lines.at(-1)).to.deep.equal({ event: 'accept.late', fields: { run: 390 } });
    abort.abort();
    await running;
  });
});

/** A loop that is frozen from 1,000 ms on and reads its input before its timers run. */
describe('the lateness of the event loop', () => {
  // Guards against taking the time for which a daemon was frozen for the time of its calls.
  it('includes a freeze, from the first input after it on', async () => {
    const { clock, log } = new Loop();
    let frozenTime = 0;
    const now = () => clock.now() + frozenTime;
    const monitor = new EventLoopMonitor({
      ...{ metrics: new TextMetrics(), log, listenQueue: 4 },
      clock: {
        ...{ now, wall: now, schedule: (delay, action) => clock.schedule(delay, action) },
        sleep: (delay, signal) => clock.sleep(delay, signal),
      },
      source: { readIdleMs: () => 0, scheduleAfterIteration: () => undefined },
    });
    const abort = new AbortController();
    const running = monitor.run(abort.signal);
    await clock.advance(1000);
    expect(monitor.readLateness(800)).to.equal(0);
    frozenTime = 17_000;
    expect(monitor.readLateness(800)).to.be.within(16_900, 17_000);
    await clock.advance(150);
    expect(monitor.readLateness(800)).to.be.within(16_900, 17_000);
    expect(monitor.readLateness(18_100)).to.equal(0);
    abort.abort();
    await running;
  });
});

describe('a listen queue that was full', () => {
  it('is reported for some seconds, while callers with an unknown waiting time may arrive', async () => {
    const loop = new Loop();
    for (let count = 0; count < 3; count += 1) {
      loop.monitor.recordAccept();
      await loop.work(1);
      loop.endIteration();
    }
    expect(loop.monitor.hasRecentListenOverflow).to.equal(false);
    loop.monitor.recordAccept();
    expect(loop.monitor.hasRecentListenOverflow).to.equal(true);
    loop.endIteration();
    loop.endIteration();
    await loop.idle(7000);
    expect(loop.monitor.hasRecentListenOverflow).to.equal(true);
    await loop.idle(1000);
    loop.monitor.recordAccept();
    expect(loop.monitor.hasRecentListenOverflow).to.equal(false);
  });
});
