/** Sockets as a kernel service: listening and connecting by IP number and port. */
import net from 'node:net';
import tls from 'node:tls';
import { Duplex } from 'node:stream';
import { createServiceKey } from './kernel.js';

/** An IP address with a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A listening socket. */
export interface Listener {
  readonly address: Address;
  /** Stops accepting; accepted connections stay open. */
  close(): Promise<void>;
  /** Replaces the certificate and key used for new connections; a plain listener ignores it. */
  replaceKeys(keys: KeyPair): void;
}

/** A certificate chain and its private key, both in PEM. */
export interface KeyPair {
  readonly cert: string;
  readonly key: string;
}

/** How to listen. */
export interface ListenOptions {
  readonly address: Address;
  /** Serves TLS with these keys; plain TCP when absent. */
  readonly keys?: KeyPair;
  readonly onConnection: (socket: Duplex) => void;
}

/** The socket service. Failures to listen or connect reject with the system's error. */
export interface Network {
  listen(options: ListenOptions): Promise<Listener>;
  connect(address: Address): Promise<Duplex>;
}

/** The key of the socket service. */
export const networkService = createServiceKey<Network>('network');

/** Begins to open a TCP connection; the socket emits `connect`, or `error` and `close`. */
export type OpenSocket = (address: Address) => net.Socket;

/** The key of the service that opens connections to targets. */
export const targetSocketService = createServiceKey<OpenSocket>('target-sockets');

/** Opens a TCP connection of the machine. */
export function openTcpSocket({ host, port }: Address): net.Socket {
  return net.connect({ host, port, noDelay: true });
}

/** Formats an address as `host:port`. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65535;

/** Parses `a.b.c.d:port`; returns undefined for anything else. */
export function parseAddress(text: string): Address | undefined {
  const match = ADDRESS_PATTERN.exec(text.trim());
  if (match === null) return undefined;
  const [, host = '', digits = ''] = match;
  const port = Number(digits);
  if (!net.isIPv4(host) || port > MAX_PORT) return undefined;
  return { host, port };
}

/** Creates the TCP network of the machine. */
export function createTcpNetwork(): Network {
  return {
    listen({ address, keys, onConnection }) {
      const createPlainServer = () =>
        net.createServer({ noDelay: true, allowHalfOpen: true }, onConnection);
      const createTlsServer = (pair: KeyPair) =>
        tls.createServer({ ...pair, noDelay: true }, onConnection);
      const server = keys === undefined ? createPlainServer() : createTlsServer(keys);
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen({ host: address.host, port: address.port, backlog: 1024 }, () => {
          const { port } = server.address() as net.AddressInfo;
          resolve({
            address: { host: address.host, port },
            close: () =>
              new Promise((done) => {
                server.close();
                done();
              }),
            replaceKeys: (pair) => {
              if (server instanceof tls.Server) server.setSecureContext(pair);
            },
          });
        });
      });
    },
    connect(address) {
      return new Promise((resolve, reject) => {
        const socket = net.connect({ ...address, noDelay: true });
        socket.once('error', reject);
        socket.once('connect', () => {
          socket.removeListener('error', reject);
          resolve(socket);
        });
      });
    },
  };
}

/** One end of an in-memory connection, with the parts of a socket that HTTP libraries call. */
class MemorySocket extends Duplex {
  peer: MemorySocket | undefined;

  override _read(): void {
    this.peer?.emit('peer-read');
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    setImmediate(() => {
      if (this.peer === undefined || this.peer.destroyed || this.peer.push(chunk)) {
        done();
        return;
      }
      this.once('peer-read', done);
    });
  }

  override _final(done: () => void): void {
    setImmediate(() => {
      this.peer?.push(null);
      done();
    });
  }

  override _destroy(_error: Error | null, done: (error: Error | null) => void): void {
    const { peer } = this;
    if (peer !== undefined && !peer.destroyed) setImmediate(() => peer.destroy());
    done(null);
  }

  setNoDelay(): this {
    return this;
  }

  setKeepAlive(): this {
    return this;
  }

  setTimeout(): this {
    return this;
  }

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }
}

/** Creates a network within this process: many daemons can share it without real sockets. */
export function createMemoryNetwork(): Network {
  const listeners = new Map<string, (socket: Duplex) => void>();
  return {
    listen: ({ address, onConnection }) => {
      const name = formatAddress(address);
      if (listeners.has(name)) return Promise.reject(new Error(`EADDRINUSE: ${name}`));
      listeners.set(name, onConnection);
      const close = () => {
        listeners.delete(name);
        return Promise.resolve();
      };
      return Promise.resolve({ address, close, replaceKeys: () => undefined });
    },
    connect: (address) => {
      const accept = listeners.get(formatAddress(address));
      if (accept === undefined) {
        const refusal = new Error(`ECONNREFUSED: ${formatAddress(address)}`);
        return Promise.reject(Object.assign(refusal, { code: 'ECONNREFUSED' }));
      }
      const clientEnd = new MemorySocket();
      const serverEnd = new MemorySocket();
      clientEnd.peer = serverEnd;
      serverEnd.peer = clientEnd;
      accept(serverEnd);
      return Promise.resolve(clientEnd);
    },
  };
}
