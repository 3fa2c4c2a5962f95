/** The network between one gateway and all targets, which can be partitioned in several ways. */
import net from 'node:net';
import { type Address, formatAddress, openTcpSocket } from '../kernel/index.js';
import { Link, type LinkFault } from './link.js';

/** The faults between one gateway and all targets. */
export const PARTITION_FAULTS = [
  /** Nothing gets through: open connections go silent, new ones hang. */
  'silent',
  /** Open connections are reset, new ones hang. */
  'reset',
  /** Open connections are reset, new ones refused. */
  'refused',
  /** What targets send does not get through. */
  'one-way',
  /** Open connections live on, new ones are refused. */
  'new-refused',
] as const;

/** A fault between one gateway and all targets, or none. */
export type PartitionFault = 'none' | (typeof PARTITION_FAULTS)[number];

/** How new connections behave. */
const NEW_CONNECTIONS: Readonly<Record<PartitionFault, 'open' | 'hang' | 'refuse'>> = {
  ...{ none: 'open', silent: 'hang', reset: 'hang', refused: 'refuse', 'one-way': 'hang' },
  'new-refused': 'refuse',
};

/** What happens to open connections. */
const OPEN_CONNECTIONS: Readonly<Record<PartitionFault, LinkFault>> = {
  none: { kind: 'none' },
  silent: { kind: 'silent' },
  reset: { kind: 'reset' },
  refused: { kind: 'reset' },
  'one-way': { kind: 'one-way', lost: 'out' },
  'new-refused': { kind: 'none' },
};

/** A loopback port on which nobody listens. */
const CLOSED_PORT = 1;

interface TargetLink {
  readonly link: Link;
  readonly address: Promise<Address>;
}

/** The connections of one gateway to all targets. */
export class TargetNetwork {
  readonly #links = new Map<string, TargetLink>();

  #fault: PartitionFault = 'none';

  /** Faults of single targets, by their addresses. */
  readonly #targetFaults = new Map<string, PartitionFault>();

  /** Sets the fault in force. */
  setFault(fault: PartitionFault): void {
    this.#fault = fault;
    for (const { link } of this.#links.values()) link.setFault(OPEN_CONNECTIONS[fault]);
  }

  /** Sets the fault of the connections to one target. */
  setTargetFault(address: Address, fault: PartitionFault): void {
    const name = formatAddress(address);
    this.#targetFaults.set(name, fault);
    this.#links.get(name)?.link.setFault(OPEN_CONNECTIONS[fault]);
  }

  /** Opens a connection to a target, or doesn't. */
  readonly open = (address: Address): net.Socket => {
    const behaviour =
      NEW_CONNECTIONS[this.#targetFaults.get(formatAddress(address)) ?? this.#fault];
    switch (behaviour) {
      case 'hang':
        return new net.Socket();
      case 'refuse':
        return openTcpSocket({ host: '127.0.0.1', port: CLOSED_PORT });
      case 'open':
        return this.#openLink(address);
      default:
        return behaviour satisfies never;
    }
  };

  /** Ends all links. */
  stop(): void {
    for (const { link } of this.#links.values()) link.stop();
  }

  #openLink(address: Address): net.Socket {
    const socket = new net.Socket();
    socket.setNoDelay(true);
    this.#findLink(address)
      .address.then(({ host, port }) => {
        if (!socket.destroyed) socket.connect({ host, port });
      })
      .catch((error: Error) => socket.destroy(error));
    return socket;
  }

  #findLink(address: Address): TargetLink {
    const name = formatAddress(address);
    const known = this.#links.get(name);
    if (known !== undefined) return known;
    const link = new Link(address);
    const created = { link, address: link.start() };
    this.#links.set(name, created);
    return created;
  }
}
