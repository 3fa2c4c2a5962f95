/** The interface of the transport between entries, and an in-memory implementation for tests. */
import { Either, Left, Right } from 'purify-ts';
import { type Address, formatAddress, createServiceKey } from '../kernel/index.js';
import type {
  ConfigReply,
  ExchangeMessage,
  ExchangeRequest,
  VmsReply,
  VmsRequest,
} from './messages.js';

/** The failure of a call to a peer; `reason` is for logs. */
export interface PeerFailure {
  readonly kind: 'peer-failure';
  readonly reason: string;
}

/** A peer's reply, or why there is none. */
export type PeerResult<T> = Promise<Either<PeerFailure, T>>;

/** The methods that an entry serves to its peers. */
export interface PeerHandlers {
  readonly exchange: (request: ExchangeRequest) => Promise<ExchangeMessage>;
  /** Probes the entry at the address `peers`; true when it answers. */
  readonly probe: (peers: string) => Promise<boolean>;
  readonly fetchConfig: (known: readonly string[]) => Promise<ConfigReply>;
  readonly fetchVms: (known: VmsRequest) => Promise<VmsReply>;
}

/** The client of a peer. Each call ends within its timeout. */
export interface PeerClient {
  exchange(request: ExchangeRequest, timeoutMs: number): PeerResult<ExchangeMessage>;
  probe(peers: string, timeoutMs: number): PeerResult<boolean>;
  fetchConfig(known: readonly string[], timeoutMs: number): PeerResult<ConfigReply>;
  fetchVms(known: VmsRequest, timeoutMs: number): PeerResult<VmsReply>;
}

/** A running peer listener. */
export interface PeerServer {
  readonly address: Address;
  close(): void;
}

/** Messages and bytes carried since the start, without the framing of the underlying protocol. */
export interface PeerTraffic {
  readonly messages: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
}

/** The transport of one entry. */
export interface PeerTransport {
  readTraffic(): PeerTraffic;
  serve(address: Address, handlers: PeerHandlers): Promise<PeerServer>;
  /** Returns the client of a peer; calls for the same address share one. */
  connect(address: Address): PeerClient;
  /** Closes and removes the client of an address. */
  forget(address: Address): void;
  close(): void;
}

/** Key under which the kernel provides the transport. */
export const peerTransportService = createServiceKey<PeerTransport>('peer-transport');

/** Creates the failure value for a call to a peer. */
export function createPeerFailure(reason: string): PeerFailure {
  return { kind: 'peer-failure', reason };
}

/** Whether the link from one address to another is cut in the in-memory transport. */
export type IsLinkCut = (from: string, to: string) => boolean;

/** In-memory transports of the entries of one process; a test can cut the links between them. */
export class MemoryTransports {
  readonly #handlers = new Map<string, PeerHandlers>();

  /** Called for each message; true makes it fail. */
  isLinkCut: IsLinkCut = () => false;

  /** Messages carried since the start. */
  messages = 0;

  /** Creates the transport of one entry. */
  create(self: string): PeerTransport {
    const call = async <T>(
      address: Address,
      invoke: (handlers: PeerHandlers) => Promise<T>,
    ): Promise<Either<PeerFailure, T>> => {
      const to = formatAddress(address);
      const handlers = this.#handlers.get(to);
      if (handlers === undefined || this.isLinkCut(self, to)) return Left(createPeerFailure('cut'));
      this.messages += 1;
      return Right(await invoke(handlers));
    };
    return {
      readTraffic: () => ({ messages: this.messages, bytesOut: 0, bytesIn: 0 }),
      serve: (address, handlers) => {
        const name = formatAddress(address);
        this.#handlers.set(name, handlers);
        return Promise.resolve({ address, close: () => this.#handlers.delete(name) });
      },
      connect: (address) => ({
        exchange: (request) => call(address, (handlers) => handlers.exchange(request)),
        probe: (peers) => call(address, (handlers) => handlers.probe(peers)),
        fetchConfig: (known) => call(address, (handlers) => handlers.fetchConfig(known)),
        fetchVms: (known) => call(address, (handlers) => handlers.fetchVms(known)),
      }),
      forget: () => undefined,
      close: () => undefined,
    };
  }
}
