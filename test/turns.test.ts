import { expect } from 'chai';
import { EventLoopMonitor } from '../src/gateway/event-loop-monitor.js';
import { type Log, type LogFields, ManualClock, TextMetrics } from '../src/kernel/index.js';

/** An event loop that is moved by hand. */
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

describe('how long a request lay unread', () => {
  let loop: Loop;

  beforeEach(() => {
    loop = new Loop();
  });

  it('is nothing where the loop had waited for it', async () => {
    loop.watch.estimateArrival();
    loop.endTurn();
    await loop.wait(50);
    expect(loop.watch.estimateArrival()).to.equal(50);
  });
  it('is what was worked in this turn before it, at most', async () => {
    await loop.wait(50);
    loop.watch.estimateArrival();
    await loop.work(40);
    expect(loop.watch.estimateArrival()).to.equal(70);
  });
  it('begins with the turn before, where the loop has not waited since', async () => {
    await loop.wait(50);
    loop.watch.estimateArrival();
    await loop.work(400);
    loop.endTurn();
    expect(loop.watch.estimateArrival()).to.equal(250);
    await loop.work(100);
    loop.endTurn();
    // Looked at 450 for the last time before this turn.
    expect(loop.watch.estimateArrival()).to.equal(500);
  });
  it('reaches back to a connection that was not looked at since it was accepted', async () => {
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
  it('reaches back to the first of the turns that each accepted one', async () => {
    for (let turn = 0; turn < 3; turn += 1) {
      loop.watch.recordAccept();
      await loop.work(100);
      loop.endTurn();
    }
    const accepted = loop.watch.recordAccept();
    expect(loop.watch.estimateArrival(accepted)).to.equal(150);
    loop.endTurn();
    // A turn without one shows that none waits.
    loop.endTurn();
    await loop.wait(10);
    expect(loop.watch.recordAccept().earliest).to.equal(310);
  });
  it('is no longer than as many as may wait took before it', async () => {
    for (let turn = 0; turn < 10; turn += 1) {
      loop.watch.recordAccept();
      await loop.work(100);
      loop.endTurn();
    }
    expect(loop.watch.recordAccept().earliest).to.equal(600);
  });
  it('does not reach back to the accepting once the loop has waited', async () => {
    const accepted = loop.watch.recordAccept();
    loop.endTurn();
    await loop.wait(16);
    expect(loop.watch.estimateArrival(accepted)).to.equal(16);
  });
  it('is never before the start', () => {
    expect(loop.watch.estimateArrival()).to.equal(0);
  });
});

describe('the lag of the event loop', () => {
  it('is told when work that was due ran late, and when connections may have waited', async () => {
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

describe('callers whose wait nothing tells', () => {
  it('may come for some seconds after more connections than may wait', async () => {
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
