/** How answers end on the connections of targets, and what their callers get. */
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import type { Behaviour } from '../src/standin/index.js';
import { Site, breakFirst, sendTo } from './helpers/gateways.js';
import { type RawAnswer, type RawRequest, sendRaw } from './helpers/raw-caller.js';

const ROUTES = [
  { prefix: '/safe/', kind: 'safe' },
  { prefix: '/once/', kind: 'unsafe' },
  { prefix: '/upload/', kind: 'upload' },
] as const;

/** Below and above the length from which answers are streamed. */
const SIZES = [2000, 600_000] as const;

/** More than a daemon buffers of a body. */
const UPLOAD = Buffer.alloc(400_000, 'u');

/** Longer than anything here is late. */
const SETTLE_MS = 60;

type Framing = 'length' | 'chunks' | 'close';

const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'close'];

function createBody(size: number): Buffer {
  return Buffer.from('0123456789abcde\n'.repeat(Math.ceil(size / 16)).slice(0, size));
}

/** Composes a signed answer; the end of the connection is not part of it. */
function composeAnswer(id: string, framing: Framing, body: Buffer): Buffer {
  const head = ['HTTP/1.1 200 OK', `Attempt-Id: ${id}`, 'Server-Signature: s'];
  switch (framing) {
    case 'length':
      return Buffer.concat([
        Buffer.from([...head, `Content-Length: ${body.length}`, '', ''].join('\r\n')),
        body,
      ]);
    case 'chunks': {
      const lines = [...head, 'Transfer-Encoding: chunked', '', body.length.toString(16), ''];
      return Buffer.concat([Buffer.from(lines.join('\r\n')), body, Buffer.from('\r\n0\r\n\r\n')]);
    }
    case 'close':
      return Buffer.concat([Buffer.from([...head, '', ''].join('\r\n')), body]);
    default:
      return framing satisfies never;
  }
}

interface Ending {
  readonly what: string;
  /** Sends an answer, or a part of it, and ends the connection. */
  readonly send: (request: IncomingMessage, answer: (id: string) => Buffer) => Promise<void>;
  /** With which framings the answer has to be forwarded. */
  readonly wholeWith: readonly Framing[];
  /** With which framings it may be, as not all of it may have left before a reset. */
  readonly maybeWith?: readonly Framing[];
}

const getId = ({ headers }: IncomingMessage) => String(headers['attempt-id']);

/** Blocks the thread of the daemons, and of everything else here. */
function waitBusily(time: number): void {
  const endAt = performance.now() + time;
  while (performance.now() < endAt);
}

const halve = (answer: Buffer) => answer.subarray(0, Math.floor(answer.length / 2));

const ENDINGS: readonly Ending[] = [
  {
    what: 'it is whole, then an orderly close',
    send: async (request, answer) => {
      request.socket.end(answer(getId(request)));
    },
    wholeWith: FRAMINGS,
  },
  {
    what: 'it is whole, then an orderly close a moment later',
    send: async (request, answer) => {
      request.socket.write(answer(getId(request)));
      await pause(30);
      request.socket.end();
    },
    wholeWith: FRAMINGS,
  },
  {
    what: 'half of it, then a reset at once',
    send: async ({ socket, headers }, answer) => {
      socket.write(halve(answer(String(headers['attempt-id']))), () => socket.resetAndDestroy());
    },
    wholeWith: [],
  },
  {
    what: 'half of it, then a reset later',
    send: async (request, answer) => {
      request.socket.write(halve(answer(getId(request))));
      await pause(40);
      request.socket.resetAndDestroy();
    },
    wholeWith: [],
  },
  {
    what: 'half of it, then a reset while the thread of the daemon is busy',
    send: async (request, answer) => {
      const { socket } = request;
      const bytes = halve(answer(getId(request)));
      socket.write(bytes.subarray(0, 400));
      await pause(20);
      socket.write(bytes.subarray(400), () => socket.resetAndDestroy());
      waitBusily(50);
    },
    wholeWith: [],
  },
  {
    what: 'it is whole, then a reset at once',
    send: async (request, answer) => {
      const { socket } = request;
      socket.write(answer(getId(request)), () => socket.resetAndDestroy());
    },
    ...{ wholeWith: [], maybeWith: ['length', 'chunks'] },
  },
  {
    what: 'it is whole, then comes again before the close',
    send: async (request, answer) => {
      const bytes = answer(getId(request));
      request.socket.end(Buffer.concat([bytes, bytes]));
    },
    wholeWith: ['length', 'chunks'],
  },
  {
    what: 'it is whole, then comes again later, before the close',
    send: async (request, answer) => {
      const bytes = answer(getId(request));
      request.socket.write(bytes);
      await pause(30);
      request.socket.end(bytes);
    },
    wholeWith: ['length', 'chunks'],
  },
  {
    what: "it is whole, then another request's answer before the close",
    send: async (request, answer) => {
      request.socket.end(Buffer.concat([answer(getId(request)), answer('another')]));
    },
    wholeWith: ['length', 'chunks'],
  },
  {
    what: 'it is whole, then comes again and is cut off in its head',
    send: async (request, answer) => {
      const bytes = answer(getId(request));
      request.socket.end(Buffer.concat([bytes, bytes.subarray(0, 30)]));
    },
    wholeWith: ['length', 'chunks'],
  },
];

const KINDS: readonly (readonly [string, Omit<RawRequest, 'ip'>])[] = [
  ['a read', { path: '/safe/1' }],
  ['a posting', { path: '/once/1', method: 'POST', body: Buffer.from('x') }],
  ['an upload', { path: '/upload/1', method: 'POST', body: UPLOAD }],
];

/** Sends the answer once the request's body has been read, so that nothing else resets it. */
function createBehaviour(ending: Ending, framing: Framing, body: Buffer): Behaviour {
  return (request) => {
    request.socket.on('error', () => undefined);
    request.resume();
    const send = async () => {
      if (!request.complete) await once(request, 'end');
      await ending.send(request, (id) => composeAnswer(id, framing, body));
    };
    send().catch(() => undefined);
  };
}

type Forwarding = 'required' | 'allowed' | 'forbidden';

function findForwarding({ wholeWith, maybeWith = [] }: Ending, framing: Framing): Forwarding {
  if (wholeWith.includes(framing)) return 'required';
  return maybeWith.includes(framing) ? 'allowed' : 'forbidden';
}

/** Checks that the caller has the whole body, or can tell that it has not. */
function checkAnswer(
  answer: RawAnswer | undefined,
  body: Buffer,
  { forwarding, isStreamed }: { readonly forwarding: Forwarding; readonly isStreamed: boolean },
): void {
  if (answer?.status === 200 && answer.looksWhole) {
    expect(forwarding).to.not.equal('forbidden');
    expect(answer.body.equals(body), `${answer.body.length} bytes`).to.equal(true);
    return;
  }
  expect(forwarding, `status ${answer?.status}`).to.not.equal('required');
  if (answer?.status === 502) return;
  // A streamed answer may be reset before its head has left.
  expect(isStreamed, 'an answer that is not whole is withheld').to.equal(true);
  if (answer !== undefined) expect(answer.end).to.equal('reset');
}

const isStreamed = (size: number) => size === SIZES[1];

describe('the end of an answer', () => {
  const defineCases = (getSite: () => { readonly site: Site; readonly ip: string }) => {
    for (const framing of FRAMINGS) {
      describe(`with the framing: ${framing}`, () => {
        for (const ending of ENDINGS) {
          const forwarding = findForwarding(ending, framing);
          // Guards against an answer that is cut off, or holds a second one, and looks whole.
          it(`${ending.what}: the caller gets the whole body or can tell that it has not`, async () => {
            const { site, ip } = getSite();
            for (const size of SIZES) {
              for (const [kind, request] of KINDS) {
                const body = createBody(size);
                breakFirst(site.targets, createBehaviour(ending, framing, body));
                const id = `${kind} ${size}`.replaceAll(' ', '-');
                const answer = await sendRaw({ ...request, ip, id });
                const isRepeated = kind === 'a read' && answer?.body.length === 3;
                if (!isRepeated) {
                  checkAnswer(answer, body, { forwarding, isStreamed: isStreamed(size) });
                }
                // What comes late must not meet the next request on a kept connection.
                await pause(SETTLE_MS);
              }
            }
          }).timeout(15_000);
        }
      });
    }
  };

  describe('of a target that is reached directly', () => {
    let site: Site;
    let ip: string;
    before(async () => {
      site = await new Site().start(ROUTES);
      await site.addTarget();
      await site.addTarget();
      ip = await site.addGateway();
    });
    after(() => site.stop());
    defineCases(() => ({ site, ip }));
  });

  describe('of a target that another daemon reaches', () => {
    let site: Site;
    let ip: string;
    before(async function startDaemons() {
      this.timeout(15_000);
      site = new Site();
      site.isPartitionable = true;
      await site.start(ROUTES);
      await site.addTarget();
      await site.addTarget();
      for (const seeds of [[], [0]]) {
        site.createGateway(
          seeds.map((index) => site.gateways[index].ip),
          '',
          { domain: 'd1' },
        );
      }
      await Promise.all(site.gateways.map(({ gateway }) => gateway.start()));
      ip = site.gateways[0].ip;
      await pause(2600);
      site.partition(ip, 'silent');
      await Promise.all([1, 2].map(() => sendTo(ip, { path: '/safe/1', deadline: 2000 })));
      await pause(1500);
    });
    after(() => site.stop());
    defineCases(() => ({ site, ip }));

    describe('when that daemon ends', () => {
      // Guards against a close of a carrier that looks like the end of the answer. Stops the carrier.
      it('it does not look whole', async () => {
        const answer = composeAnswer('carried', 'close', createBody(SIZES[1]));
        for (const target of site.targets) {
          target.behaviour = (request) => {
            request.resume();
            request.socket.on('error', () => undefined);
            request.socket.write(halve(answer));
          };
        }
        const request = { ip, path: '/once/1', method: 'POST', body: Buffer.from('x') };
        const stopCarrier = () => site.gateways[1].gateway.destroy();
        const received = await sendRaw({ ...request, id: 'carried', onFirstBytes: stopCarrier });
        expect(received).to.include({ status: 200, looksWhole: false, end: 'reset' });
      });
    });
  });
});
