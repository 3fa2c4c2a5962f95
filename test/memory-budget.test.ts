/** The memory that the connections of a process hold together. */
import { expect } from 'chai';
import {
  BodyBuffer,
  type MemoryAccount,
  MemoryBudget,
  ReadTurns,
  computeGatewayLimits,
} from '../src/overload/index.js';

const LIMIT = 1000;

describe('a memory budget', () => {
  let budget: MemoryBudget;
  let evicted: string[];
  beforeEach(() => {
    budget = new MemoryBudget(LIMIT);
    evicted = [];
  });
  const open = (name: string, bytes: number): MemoryAccount => {
    const account = budget.open({ evict: () => evicted.push(name) });
    account.charge(bytes);
    return account;
  };

  it('ends the owner that holds the most, not the one that asks', () => {
    open('large', 700);
    open('small', 200);
    open('new', 150);
    expect(evicted).to.deep.equal(['large']);
    expect(budget.held).to.equal(350);
  });
  it('ends one that alone exceeds it', () => {
    open('huge', LIMIT + 1);
    expect(evicted).to.deep.equal(['huge']);
    expect(budget.held).to.equal(0);
  });
  it('bounds a crowd in which each one holds little, and spares those that hold less', () => {
    open('ordinary', 5);
    for (let index = 0; index < 500; index += 1) open('crowd', 20);
    expect(budget.held).to.be.at.most(LIMIT);
    expect(evicted).to.not.include('ordinary');
  });
  // Guards against ending work that was passed on while others hold enough that was not.
  it('ends last what was passed on, unless the others hold next to nothing', () => {
    const openForwarded = (name: string, bytes: number) =>
      budget.open({ evict: () => evicted.push(name), shed: () => false }).charge(bytes);
    openForwarded('forwarded', 600);
    for (let index = 0; index < 5; index += 1) open(`waiting ${index}`, 90);
    expect(evicted).to.deep.equal(['waiting 0', 'waiting 1']);
    for (let index = 0; index < 70; index += 1) open(`small ${index}`, 3);
    expect(evicted.slice(2)).to.not.deep.equal([]);
    expect(evicted).to.not.include('small 0');
    openForwarded('other', 900);
    expect(evicted).to.include('other');
    expect(evicted).to.not.include('small 0');
  });
  it('forgets what was given back', () => {
    const account = open('one', 900);
    account.release(2000);
    expect(budget.held).to.equal(0);
    open('other', 900);
    expect(evicted).to.deep.equal([]);
  });
  it('leaves room on every machine', () => {
    const onSmallest = computeGatewayLimits(250, 4100);
    expect(onSmallest.heldBytes).to.be.within(12 * 1_048_576, 64 * 1_048_576);
    const connections = Object.values(onSmallest.connections).reduce((sum, count) => sum + count);
    expect(connections).to.be.below(4100 - 200);
    expect(computeGatewayLimits(64, 256).heldBytes).to.be.above(0);
  });
});

describe('a body that arrives in pieces', () => {
  it('occupies little more than its bytes, however short the pieces are', () => {
    const buffer = new BodyBuffer();
    for (let index = 0; index < 100_000; index += 1) buffer.append(Buffer.from([index % 256]));
    expect(buffer.capacity).to.equal(262_144);
    const data = buffer.take();
    expect([data.length, data[255], data[99_999]]).to.deep.equal([100_000, 255, 159]);
    expect(buffer.capacity).to.equal(0);
  });
  it('gets memory that another one has given back, and never what was handed out', () => {
    const read = (text: string, buffer: BodyBuffer) => {
      buffer.append(Buffer.from(text));
      return buffer.take();
    };
    const handedOut = read('kept', new BodyBuffer());
    const discarded = new BodyBuffer();
    discarded.append(Buffer.from('dropped'));
    discarded.discard();
    const next = read('next', new BodyBuffer());
    expect([handedOut.toString(), next.toString()]).to.deep.equal(['kept', 'next']);
    expect(next.buffer).to.not.equal(handedOut.buffer);
  });
  it('may be as long as it wants', () => {
    const buffer = new BodyBuffer();
    for (let index = 0; index < 40; index += 1) buffer.append(Buffer.alloc(100_000, index));
    expect(buffer.length).to.equal(4_000_000);
    expect(buffer.take()[3_999_999]).to.equal(39);
  });
});

describe('the turns of connections that have more to read', () => {
  const play = (readers: number, isAccepting: boolean, turnMs = 0) => {
    let now = 0;
    let actions: (() => void)[] = [];
    const turns = new ReadTurns({
      ...{ clock: { now: () => now }, isAccepting: () => isAccepting },
      scheduleAfterIteration: (action) => actions.push(action),
    });
    const read: number[] = [];
    for (let index = 0; index < readers; index += 1) {
      const reader = {
        readNext: () => {
          read.push(index);
          now += turnMs;
          turns.add(reader);
        },
      };
      turns.add(reader);
    }
    return {
      read,
      endIteration: () => {
        const ended = actions;
        actions = [];
        for (const action of ended) action();
      },
    };
  };

  it('are given to a few in each iteration, and to all in the end', () => {
    const { read, endIteration } = play(20, false);
    endIteration();
    expect(read.length).to.be.below(20);
    for (let iteration = 0; iteration < 10; iteration += 1) endIteration();
    expect(new Set(read).size).to.equal(20);
  });
  it('are fewer while connections wait to be accepted, or when each takes long', () => {
    for (const { read, endIteration } of [play(20, true), play(20, false, 5)]) {
      endIteration();
      expect(read).to.deep.equal([0]);
    }
  });
});
