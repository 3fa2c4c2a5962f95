import { expect } from 'chai';
import { EventLoopMonitor } from '../src/gateway/event-loop-monitor.js';
import { type Log, type LogFields, ManualClock, TextMetrics } from '../src/kernel/index.js';

/** An event loop whose iterations and idle times the test controls. */
class Loop {
  readonly clock = new ManualClock();

  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  #idle = 0;

  #ends: (() => void)[] = [];

  readonly watch: EventLoopMonitor;

  readonly log: Log;

  constructor() {
    const write = (event: string, fields: LogFields = {}) => this.lines.push({ event, fields });
    this.log = { debug: write, info: write, warn: write, error: write };
    this.watch = new EventLoopMonitor({
      ...{ clock: this.clock, metrics: new TextMetrics(), log: this.log, listenQueue: 4 },
      source: {
        readIdleMs: () => this.#idle,
        scheduleAfterIteration: (end) => this.#ends.push(end),
      },
    });
  }

  async wait(time: number): Promise<void> {
    this.#idle += time;
    await this.clock.advance(time);
  }

  work(time: number): Promise<void> {
    return this.clock.advance(time);
  }

  endTurn(): void {
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
    loop.watch.estimateArrival();
    loop.endTurn();
    await loop.wait(50);
    expect(loop.watch.estimateArrival()).to.equal(50);
  });
  it('goes back at most to the start of this iteration after an idle period', async () => {
    await loop.wait(50);
    loop.watch.estimateArrival();
    await loop.work(40);
    expect(loop.watch.estimateArrival()).to.equal(70);
  });
  it('goes back to the previous poll when the loop has not been idle since', async () => {
    await loop.wait(50);
    loop.watch.estimateArrival();
    await loop.work(400);
    loop.endTurn();
    expect(loop.watch.estimateArrival()).to.equal(250);
    await loop.work(100);
    loop.endTurn();
    // The last poll before this iteration was at 450.
    expect(loop.watch.estimateArrival()).to.equal(500);
  });
  it('goes back to the accept of a connection that has not been read since', async () => {
    await loop.wait(50);
    loop.watch.estimateArrival();
    await loop.work(400);
    loop.endTurn();
    const accepted = loop.watch.recordAccept();
    await loop.work(300);
    loop.endTurn();
    expect(loop.watch.estimateArrival(accepted)).to.equal((50 + 750) / 2);
    expect(loop.watch.estimateArrival()).to.equal((450 + 750) / 2);
  });
  it('goes back to the first of the iterations that each accepted a connection', async () => {
    for (let turn = 0; turn < 3; turn += 1) {
      loop.watch.recordAccept();
      await loop.work(100);
      loop.endTurn();
    }
    const accepted = loop.watch.recordAccept();
    expect(loop.watch.estimateArrival(accepted)).to.equal(150);
    loop.endTurn();
    // An iteration without an accept shows that no connection is waiting.
    loop.endTurn();
    await loop.wait(10);
    expect(loop.watch.recordAccept().earliest).to.equal(310);
  });
  it('goes back at most to the accept that lies a full listen queue ago', async () => {
    for (let turn = 0; turn < 10; turn += 1) {
      loop.watch.recordAccept();
      await loop.work(100);
      loop.endTurn();
    }
    expect(loop.watch.recordAccept().earliest).to.equal(600);
  });
  it('does not go back to the accept once the loop has been idle', async () => {
    const accepted = loop.watch.recordAccept();
    loop.endTurn();
    await loop.wait(16);
    expect(loop.watch.estimateArrival(accepted)).to.equal(16);
  });
  it('is never before the start of the monitor', () => {
    expect(loop.watch.estimateArrival()).to.equal(0);
  });
});

describe('the lag of the event loop', () => {
  it('is logged when a timer ran late, and when connections may have waited to be accepted', async () => {
    const loop = new Loop();
    const { clock } = loop;
    const sleeps = [100, 190];
    const late = new EventLoopMonitor({
      ...{ metrics: new TextMetrics(), log: loop.log, listenQueue: 4 },
      clock: {
        ...{ now: () => clock.now(), wall: () => clock.wall() },
        schedule: (delay, action) => clock.schedule(delay, action),
        sleep: (_, signal) => clock.sleep(sleeps.shift() ?? 100, signal),
      },
      source: { readIdleMs: () => 0, scheduleAfterIteration: () => undefined },
    });
    const ends = new AbortController();
    const running = late.run(ends.signal);
    await clock.advance(290);
    expect(loop.lines).to.deep.equal([{ event: 'loop.late', fields: { lag: 90 } }]);
    late.recordAccept();
    await clock.advance(100);
    expect(loop.lines.at(-1)).to.deep.equal({ event: 'accept.late', fields: { run: 390 } });
    ends.abort();
    await running;
  });
});

describe('a listen queue that was full', () => {
  it('is reported for some seconds, while callers with an unknown waiting time may arrive', async () => {
    const loop = new Loop();
    for (let count = 0; count < 3; count += 1) {
      loop.watch.recordAccept();
      await loop.work(1);
      loop.endTurn();
    }
    expect(loop.watch.hasRecentListenOverflow).to.equal(false);
    loop.watch.recordAccept();
    expect(loop.watch.hasRecentListenOverflow).to.equal(true);
    loop.endTurn();
    loop.endTurn();
    await loop.wait(7000);
    expect(loop.watch.hasRecentListenOverflow).to.equal(true);
    await loop.wait(1000);
    loop.watch.recordAccept();
    expect(loop.watch.hasRecentListenOverflow).to.equal(false);
  });
});
