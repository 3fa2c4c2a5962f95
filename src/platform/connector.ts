/** Connector for `undici` that opens connections through the network service. */
import type { buildConnector } from 'undici';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { Address, Network } from '../kernel/index.js';

function limitTime(attempt: Promise<Duplex>, timeoutMs: number): Promise<Duplex> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(Object.assign(new Error('connect timeout'), { code: 'UND_ERR_CONNECT_TIMEOUT' }));
      attempt.then((socket) => socket.destroy()).catch(() => undefined);
    }, timeoutMs);
    attempt.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

/**
 * Creates a connector to one address.
 *
 * @param timeoutMs longest wait for a connection, in milliseconds
 * @param onOpened called with each opened connection, before it is used
 */
export function createConnector(
  network: Network,
  address: Address,
  timeoutMs: number,
  onOpened: (socket: Duplex) => void = () => undefined,
): buildConnector.connector {
  return (_options, done) => {
    limitTime(network.connect(address), timeoutMs)
      .then((socket) => {
        onOpened(socket);
        done(null, socket as Socket);
      })
      .catch((error: Error) => done(error, null));
  };
}
