/** A caller that judges answers by what arrives on its socket, as HTTP libraries hide how they end. */
import net from 'node:net';
import { HOST } from '../../src/standin/index.js';
import { callersPort } from './gateways.js';

/** What a caller received on a connection of its own. */
export interface RawAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  /** Without the framing of chunks. */
  readonly body: Buffer;
  /** How the answer ended: by its own framing, or with the connection. */
  readonly end: 'framed' | 'closed' | 'reset';
  /** Whether a caller takes the answer for complete. */
  readonly looksWhole: boolean;
}

/** A request as a raw caller sends it; omitted parts have defaults. */
export interface RawRequest {
  readonly ip: string;
  readonly port?: number;
  readonly method?: string;
  readonly path?: string;
  readonly id?: string;
  readonly body?: Buffer;
  readonly version?: '1.0' | '1.1';
  /** How long the caller reads nothing after the first bytes, in milliseconds. */
  readonly readPause?: number;
  readonly onFirstBytes?: () => void;
}

interface ChunkedBody {
  readonly body: Buffer;
  readonly isComplete: boolean;
}

function decodeChunks(bytes: Buffer): ChunkedBody {
  const pieces: Buffer[] = [];
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    const size = parseInt(bytes.toString('latin1', at, lineEnd), 16);
    if (lineEnd < 0 || Number.isNaN(size))
      return { body: Buffer.concat(pieces), isComplete: false };
    pieces.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
    at = lineEnd + 2 + size + 2;
    if (size === 0) return { body: Buffer.concat(pieces), isComplete: at <= bytes.length };
  }
}

function parseAnswer(
  bytes: Buffer,
  method: string,
  end: 'open' | 'closed' | 'reset',
): RawAnswer | undefined {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [statusLine = '', ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
    }),
  );
  const status = Number(statusLine.split(' ')[1]);
  const rest = bytes.subarray(headEnd + 4);
  const create = (body: Buffer, isComplete: boolean): RawAnswer | undefined => {
    if (end === 'open' && !isComplete) return undefined;
    const framedEnd = isComplete || end === 'open' ? 'framed' : end;
    return { status, headers, body, end: framedEnd, looksWhole: isComplete };
  };
  if (method === 'HEAD' || status === 204 || status === 304) return create(rest, true);
  if (headers.get('transfer-encoding') === 'chunked') {
    const { body, isComplete } = decodeChunks(rest);
    return create(body, isComplete);
  }
  const length = headers.get('content-length');
  if (length !== undefined) {
    return create(rest.subarray(0, Number(length)), rest.length >= Number(length));
  }
  if (end === 'open') return undefined;
  return { status, headers, body: rest, end, looksWhole: end === 'closed' };
}

/** Sends one request; resolves when its answer is complete or its connection has ended. */
export function sendRaw(request: RawRequest): Promise<RawAnswer | undefined> {
  const { ip, port = callersPort, method = 'GET', path = '/a/1', id = 'raw-1' } = request;
  const { body, version = '1.1', readPause = 0 } = request;
  return new Promise((resolve) => {
    const socket = net.connect({ host: ip, port });
    const chunks: Buffer[] = [];
    const settle = (end: 'open' | 'closed' | 'reset') => {
      const answer = parseAnswer(Buffer.concat(chunks), method, end);
      if (answer === undefined && end === 'open') return;
      resolve(answer);
      socket.destroy();
    };
    socket.on('data', (chunk: Buffer) => {
      if (chunks.length === 0) {
        request.onFirstBytes?.();
        if (readPause > 0) {
          socket.pause();
          setTimeout(() => socket.resume(), readPause);
        }
      }
      chunks.push(chunk);
      settle('open');
    });
    // The stream layer may report a reset as an end of file; the address of the peer is lost then.
    socket.on('end', () => settle(socket.remoteAddress === undefined ? 'reset' : 'closed'));
    socket.on('error', () => settle('reset'));
    socket.write(
      [
        ...[`${method} ${path} HTTP/${version}`, `Host: ${HOST}`, `Attempt-Id: ${id}`],
        ...['Request-Deadline-Ms: 4000'],
        ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
        ...['', ''],
      ].join('\r\n'),
    );
    if (body !== undefined) socket.write(body);
  });
}
