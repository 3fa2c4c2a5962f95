/** The meter between a target's connection and the parser of its answers. */
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { ReadTurns } from '../src/overload/index.js';
import { AnswerMeter } from '../src/proxy/index.js';

const PIECE = Buffer.alloc(1000, 'x');
/** Longer than any connection is read before others get their turn. */
const SLOW_PIECE_MS = 20;

describe('the meter of answers', () => {
  let now = 0;
  let actions: (() => void)[] = [];
  let overruns: string[] = [];
  let meter: AnswerMeter;
  const handler = {
    onConnect: () => undefined,
    onComplete: () => undefined,
    onHeaders: () => true,
    onData: () => true,
  };
  const open = () => {
    const socket = new PassThrough();
    socket.on('error', () => undefined);
    meter.watchConnection(socket);
    return socket;
  };
  const read = (socket: PassThrough) => (socket.read() as Buffer | null)?.length;
  beforeEach(() => {
    now = 0;
    actions = [];
    overruns = [];
    const clock = { now: () => now };
    const scheduleAfterIteration = (action: () => void) => actions.push(action);
    const turns = new ReadTurns({ clock, scheduleAfterIteration, isAccepting: () => false });
    meter = new AnswerMeter({ clock, turns, onOverrun: (detail) => overruns.push(detail) });
  });

  const readUntilTurn = (socket: PassThrough) => {
    socket.write(Buffer.alloc(16_000));
    expect(read(socket)).to.be.greaterThan(0);
    now += SLOW_PIECE_MS;
    expect(read(socket)).to.equal(undefined);
  };

  it('reads a connection whose input takes long only in its turns', () => {
    const answer = meter.observe(handler);
    const socket = open();
    answer.onConnect?.(() => undefined);
    readUntilTurn(socket);
    const lengths: (number | undefined)[] = [];
    socket.on('readable', () => lengths.push(read(socket)));
    actions.shift()?.();
    expect(lengths).to.have.length(1);
    expect(lengths[0]).to.be.greaterThan(0);
  });

  // Guards against a connection that is never read, as the one before it waited when it closed.
  it('reads the connection that follows one which closed while it waited for its turn', () => {
    const answer = meter.observe(handler);
    const socket = open();
    answer.onConnect?.(() => undefined);
    readUntilTurn(socket);
    socket.destroy();
    now += 1000;
    const next = open();
    answer.onConnect?.(() => undefined);
    next.write(PIECE);
    expect(read(next)).to.equal(PIECE.length);
  });

  // Guards against an answer to no call, which would be taken for the one to the next call.
  it('closes an idle connection that sends, even while it waits for its turn', () => {
    const answer = meter.observe(handler);
    const socket = open();
    answer.onConnect?.(() => undefined);
    readUntilTurn(socket);
    answer.onComplete?.([]);
    expect(read(socket)).to.equal(undefined);
    expect(socket.destroyed).to.equal(true);
    expect(overruns).to.deep.equal(['bytes that belong to no answer']);
  });

  // Guards against heads of very many short fields, each of which the parser keeps as an object.
  it('closes a connection that sends very many lines before a body', () => {
    const answer = meter.observe(handler);
    const socket = open();
    answer.onConnect?.(() => undefined);
    for (let part = 0; part < 30; part += 1) {
      socket.write('A:\r\n'.repeat(100));
      read(socket);
    }
    expect(overruns).to.deep.equal(['more than 2000 lines of fields']);
  });

  it('closes a connection that sends very many lines behind a body', () => {
    const answer = meter.observe(handler);
    const socket = open();
    answer.onConnect?.(() => undefined);
    answer.onHeaders?.(200, [], () => undefined, 'OK');
    answer.onData?.(PIECE);
    for (let part = 0; part < 30; part += 1) {
      socket.write('A:\r\n'.repeat(100));
      read(socket);
    }
    expect(overruns).to.deep.equal(['more than 2000 lines of fields']);
  });

  it('counts no lines of a body', () => {
    const answer = meter.observe(handler);
    const socket = open();
    answer.onConnect?.(() => undefined);
    answer.onHeaders?.(200, [], () => undefined, 'OK');
    for (let part = 0; part < 30; part += 1) {
      socket.write('A:\r\n'.repeat(100));
      answer.onData?.(Buffer.alloc(read(socket) ?? 0));
    }
    expect(overruns).to.deep.equal([]);
  });
});
