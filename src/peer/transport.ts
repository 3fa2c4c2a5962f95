/** How entries reach each other, behind an interface that tests replace. */
import { Either, Left, Right } from 'purify-ts';
import { type Address, formatAddress, createServiceKey } from '../kernel/index.js';
import type {
  ConfigReply,
  ExchangeMessage,
  ExchangeRequest,
  VmsReply,
  VmsRequest,
} from './messages.js';

/** Why a peer did not answer; `reason` is for logs. */
export interface PeerFailure {
  readonly kind: 'peer-failure';
  readonly reason: string;
}

/** A peer's answer, or why there is none. */
export type PeerResult<T> = Promise<Either<PeerFailure, T>>;

/** What an entry offers its peers. */
export interface PeerHandlers {
  readonly exchange: (request: ExchangeRequest) => Promise<ExchangeMessage>;
  /** Tries to reach the entry at `peers`; true when it answers. */
  readonly probe: (peers: string) => Promise<boolean>;
  readonly fetchConfig: (known: readonly string[]) => Promise<ConfigReply>;
  readonly fetchVms: (known: VmsRequest) => Promise<VmsReply>;
}

/** A peer as it is called. Each call ends within the time limit. */
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

/** What a transport has carried since the start, without the framing of the protocol below. */
export interface PeerTraffic {
  readonly messages: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
}

/** The transport service. */
export interface PeerTransport {
  readTraffic(): PeerTraffic;
  serve(address: Address, handlers: PeerHandlers): Promise<PeerServer>;
  /** Returns the client of a peer; clients of one address are shared. */
  connect(address: Address): PeerClient;
  /** Forgets the client of an address. */
  forget(address: Address): void;
  close(): void;
}

/** The name of the transport service. */
export const peerTransportService = createServiceKey<PeerTransport>('peer-transport');

/** Wraps a failure to reach a peer. */
export function createPeerFailure(reason: string): PeerFailure {
  return { kind: 'peer-failure', reason };
}

/** Whether two addresses cannot reach each other in a memory transport. */
export type IsLinkCut = (from: string, to: string) => boolean;

/** A transport inside this process, whose links a test can cut. */
export class MemoryTransports {
  readonly #handlers = new Map<string, PeerHandlers>();

  /** Decides which links are cut. */
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
