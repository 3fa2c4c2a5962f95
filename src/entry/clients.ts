/** HTTP clients for targets and for other entries: one connection pool per address. */
import { type Dispatcher, Pool } from 'undici';
import { type Address, type Network, formatAddress } from '../kernel/index.js';
import { createConnector } from '../platform/index.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 4000;

/** The connection pools of this daemon, by address. */
export class Clients {
  readonly #pools = new Map<string, Pool>();

  /** Number of connections opened since the start. */
  connectionsOpened = 0;

  constructor(private readonly network: Network) {}

  /**
   * Returns the connection pool of an address. `connections` is the maximum of open connections; it
   * applies when the pool is created.
   */
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

  /** Removes the pool of an address; its connections close when their calls have ended. */
  release(address: Address): void {
    const name = formatAddress(address);
    this.#pools
      .get(name)
      ?.close()
      .catch(() => undefined);
    this.#pools.delete(name);
  }

  /** Closes all connections immediately, including those with calls in flight. */
  destroy(): void {
    for (const pool of this.#pools.values()) pool.destroy().catch(() => undefined);
    this.#pools.clear();
  }
}
