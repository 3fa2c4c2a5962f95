/** Whether an upload that is streamed keeps its slot. */
import { expect } from 'chai';
import { UploadPace } from '../src/balance/index.js';

describe('an upload that is streamed to a target', () => {
  const MEGABYTE = 1_048_576;
  /** Plays an upload until it ends; returns when it was found too slow, in milliseconds. */
  const play = (bytesPerSecond: number, changes: { isRead?: boolean; waits?: boolean } = {}) => {
    const { isRead = true, waits = true } = changes;
    const pace = new UploadPace(0, { received: 0 });
    for (let now = 250; now <= 10_000; now += 250) {
      const state = { received: (bytesPerSecond * now) / 1000, isRead, hasWaitingCalls: waits };
      if (pace.isTooSlow(now, state)) return now;
    }
    return undefined;
  };

  it('loses its slot soon after its caller has stopped, if calls wait', () => {
    expect(play(0)).to.equal(500);
  });
  it('loses its slot when its caller sends a few bytes at a time', () => {
    expect(play(1000)).to.be.within(500, 1500);
  });
  it('keeps its slot while nobody waits', () => {
    expect(play(0, { waits: false })).to.equal(undefined);
  });
  it('keeps its slot at an ordinary pace, and while this daemon waits for the target', () => {
    expect(play(MEGABYTE)).to.equal(undefined);
    expect(play(0, { isRead: false })).to.equal(undefined);
  });
});
