/** HTTP connections to targets and to other entries, one pool for each address. */
import { type Dispatcher, Pool } from 'undici';
import { type Address, type Network, formatAddress } from '../kernel/index.js';
import { createConnector } from '../platform/index.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 4000;

/** Opens and closes the connections of this daemon. */
export class Clients {
  readonly #pools = new Map<string, Pool>();

  /** Connections opened since the start. */
  connectionsOpened = 0;

  constructor(private readonly network: Network) {}

  /** Returns the connections to an address, at most `connections` at once. */
  find(address: Address, connections: number): Dispatcher {
    const name = formatAddress(address);
    const existing = this.#pools.get(name);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${name}`, {
      connect: createConnector(this.network, address, CONNECT_TIMEOUT_MS, () => {
        this.connectionsOpened += 1;
      }),
      connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    });
    this.#pools.set(name, pool);
    return pool;
  }

  /** Closes the connections to an address once their calls have ended. */
  release(address: Address): void {
    const name = formatAddress(address);
    this.#pools
      .get(name)
      ?.close()
      .catch(() => undefined);
    this.#pools.delete(name);
  }

  /** Closes all connections at once. */
  destroy(): void {
    for (const pool of this.#pools.values()) pool.destroy().catch(() => undefined);
    this.#pools.clear();
  }
}
