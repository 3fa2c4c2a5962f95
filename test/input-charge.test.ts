/** What is charged for input that waits for its turn, of callers and of answers. */
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { createSystemClock } from '../src/kernel/index.js';
import { MemoryBudget, ReadTurns } from '../src/overload/index.js';
import { GuardedConnection } from '../src/overload/guarded-connection.js';

/** A socket with what a guarded connection calls. */
class StandInSocket extends EventEmitter {
  destroyed = false;

  readableLength = 0;

  writableLength = 0;

  bytesWritten = 0;

  #isPaused = false;

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.emit('resume');
  }

  isPaused(): boolean {
    return this.#isPaused;
  }

  destroy(): void {
    this.destroyed = true;
  }
}

describe('input that waits for its turn', () => {
  // Guards against connections that are closed over memory which nobody holds.
  it('is charged only until its connection is read again', () => {
    let time = 0;
    const clock = { ...createSystemClock(), now: () => time };
    const actions: (() => void)[] = [];
    const turns = new ReadTurns({
      ...{ clock, isAccepting: () => false },
      scheduleAfterIteration: (action) => actions.push(action),
    });
    const budget = new MemoryBudget(1_000_000);
    const socket = new StandInSocket();
    const connection = new GuardedConnection(
      socket as unknown as Socket,
      () => {
        time += 5;
      },
      {
        ...{ clock, budget, turns, readUnreadTimeout: () => 1000, onClose: () => undefined },
      },
    );
    socket.emit('data', Buffer.from('GET / HTTP/1.1\r\n'));
    expect(socket.isPaused()).to.equal(true);
    expect(budget.held).to.be.greaterThan(60_000);
    for (const action of actions) action();
    expect(socket.isPaused()).to.equal(false);
    // What remains is charged for the head, which is not complete.
    expect(budget.held).to.be.lessThan(1000);
    expect(connection.openRequests).to.equal(0);
  });
});
