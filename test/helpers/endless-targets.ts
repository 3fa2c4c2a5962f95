/** Targets, as a process of their own, that answer each request with bytes without end. */
import { type ChildProcess, fork } from 'node:child_process';
import net, { type Socket } from 'node:net';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { Address } from '../../src/kernel/index.js';

/** What comes first, and what is then repeated without end. */
export interface EndlessAnswer {
  readonly first: string;
  readonly repeated: string;
}

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const LONG_PIECE = 'x'.repeat(16_000);

/** Answers that are over a limit of their own, by what does not end. */
export const FAULTY_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'interim answers': { first: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100) },
  'interim answers with fields': {
    first: '',
    repeated: `HTTP/1.1 103 Early Hints\r\nLink: </${'a'.repeat(8000)}>\r\n\r\n`,
  },
  'empty lines': { first: '', repeated: '\r\n'.repeat(1000) },
  'a head': { first: 'HTTP/1.1 200 OK\r\nA: ', repeated: LONG_PIECE },
  'header lines': { first: 'HTTP/1.1 200 OK\r\n', repeated: 'A: b\r\n'.repeat(1000) },
  'empty header lines': { first: 'HTTP/1.1 200 OK\r\n', repeated: 'A:\r\n'.repeat(1000) },
  'bytes that are no answer': { first: '', repeated: LONG_PIECE },
  'a chunk size': { first: CHUNKED, repeated: '0'.repeat(1000) },
  'a chunk extension': { first: `${CHUNKED}1;a=`, repeated: LONG_PIECE },
  'chunks with long extensions': { first: CHUNKED, repeated: `1;a=${'b'.repeat(8000)}\r\nx\r\n` },
  trailers: { first: `${CHUNKED}0\r\n`, repeated: 'A: b\r\n'.repeat(1000) },
  'a body without a length': { first: 'HTTP/1.1 200 OK\r\n\r\n', repeated: LONG_PIECE },
};

/** Answers that are streamed until the deadline of their call. */
export const ENDLESS_STREAMS: Readonly<Record<string, EndlessAnswer>> = {
  'chunks of one byte': { first: CHUNKED, repeated: '1\r\nx\r\n'.repeat(3000) },
  'long chunks': { first: CHUNKED, repeated: `${(16_000).toString(16)}\r\n${LONG_PIECE}\r\n` },
  'a length of 9 GB': {
    first: 'HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n',
    repeated: LONG_PIECE,
  },
};

/** What comes behind a whole answer. */
export const BYTES_BEHIND: Readonly<Record<string, EndlessAnswer>> = Object.fromEntries(
  [
    ['bytes', LONG_PIECE],
    ['empty lines', '\r\n'.repeat(1000)],
    ['further answers', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'.repeat(100)],
  ].map(([what = '', repeated = '']) => [
    what,
    { first: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', repeated },
  ]),
);

const MAX_UNSENT_BYTES = 262_144;
const PIECE_INTERVAL_MS = 2;

/** Sends an answer as fast as it is read, or a piece every few milliseconds. */
export function sendEndlessly(
  socket: Socket,
  { first, repeated }: EndlessAnswer,
  pace: 'fast' | 'steady',
): void {
  socket.write(first);
  const piece = Buffer.from(repeated);
  const fill = () => {
    while (!socket.destroyed && socket.writableLength < MAX_UNSENT_BYTES) socket.write(piece);
  };
  if (pace === 'fast') {
    socket.on('drain', fill);
    fill();
    return;
  }
  const timer = setInterval(() => {
    if (socket.writableLength < MAX_UNSENT_BYTES) socket.write(piece);
  }, PIECE_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}

const FILE = fileURLToPath(import.meta.url);

/** Starts such a target in a process of its own. */
export async function startEndlessTarget(
  answer: EndlessAnswer,
): Promise<{ readonly child: ChildProcess; readonly address: Address }> {
  const child = fork(FILE, [JSON.stringify(answer)], { stdio: 'inherit' });
  const [port] = (await once(child, 'message')) as [number];
  return { child, address: { host: '127.0.0.1', port } };
}

if (process.argv[1] === FILE) {
  const answer = JSON.parse(process.argv[2] ?? '{}') as EndlessAnswer;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => sendEndlessly(socket, answer, 'fast'));
    socket.resume();
  });
  server.listen(0, '127.0.0.1', () => {
    const { port } = server.address() as net.AddressInfo;
    process.send?.(port);
  });
  process.once('disconnect', () => process.kill(process.pid, 'SIGKILL'));
}
