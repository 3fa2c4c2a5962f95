/** HTTP clients for targets and for other entries: one connection pool per address. */
import { Client, type Dispatcher, Pool } from 'undici';
import { type Address, type Clock, type Network, formatAddress } from '../kernel/index.js';
import type { ReadTurns } from '../overload/index.js';
import { createConnector } from '../platform/index.js';
import { AnswerMeter } from '../proxy/index.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 4000;

/** Dependencies of {@link Clients}. */
export interface ClientsOptions {
  readonly network: Network;
  readonly clock: Clock;
  /** The turns in which the connections of these clients are read. */
  readonly turns: ReadTurns;
  /** Called when a connection is closed for what its peer sends. */
  readonly onOverrun: (peer: string, detail: string) => void;
}

/** A client whose connection is metered. */
class MeteredClient extends Client {
  constructor(
    origin: URL,
    options: Client.Options,
    private readonly meter: AnswerMeter,
  ) {
    super(origin, options);
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, this.meter.observe(handler));
  }
}

/** The connection pools of this daemon, by address. */
export class Clients {
  readonly #pools = new Map<string, Pool>();

  /** Number of connections opened since the start. */
  connectionsOpened = 0;

  constructor(private readonly options: ClientsOptions) {}

  /**
   * Returns the connection pool of an address. `connections` is the maximum of open connections; it
   * applies when the pool is created.
   */
  find(address: Address, connections: number): Dispatcher {
    const name = formatAddress(address);
    const existing = this.#pools.get(name);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${name}`, {
      factory: (origin, options) => this.#createClient(origin, address, options),
      connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    });
    this.#pools.set(name, pool);
    return pool;
  }

  #createClient(origin: URL, address: Address, options: Client.Options): Client {
    const { network, clock, turns, onOverrun } = this.options;
    const name = formatAddress(address);
    const meter = new AnswerMeter({
      ...{ clock, turns, onOverrun: (detail) => onOverrun(name, detail) },
    });
    const connect = createConnector(network, address, CONNECT_TIMEOUT_MS, (socket) => {
      this.connectionsOpened += 1;
      meter.watchConnection(socket);
    });
    return new MeteredClient(origin, { ...options, connect }, meter);
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
