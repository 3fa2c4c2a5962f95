/**
 * A network link to a store or a target: a loopback proxy that can delay, drop or reset its
 * connections.
 */
import net from 'node:net';
import { type Address, SocketEndWatch } from '../kernel/index.js';

/** A fault of a link. `in` is the direction to the upstream server, `out` the direction back. */
export type LinkFault =
  | { readonly kind: 'none' }
  /** Data is passed on after `time` milliseconds. */
  | { readonly kind: 'delay'; readonly time: number }
  /** Open connections are reset, and new ones on arrival. */
  | { readonly kind: 'reset' }
  /** Connections stay open and carry nothing. */
  | { readonly kind: 'silent' }
  /** Data in the direction `lost` is dropped. */
  | { readonly kind: 'one-way'; readonly lost: 'in' | 'out' };

/** The proxy in front of one upstream server. */
export class Link {
  #fault: LinkFault = { kind: 'none' };

  readonly #sockets = new Set<net.Socket>();

  readonly #server = net.createServer({ allowHalfOpen: true }, (client) => this.#connect(client));

  constructor(private readonly upstream: Address) {}

  /** Starts on a free loopback port; rejects if it can't listen. */
  start(): Promise<Address> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, '127.0.0.1', () => {
        const { port } = this.#server.address() as net.AddressInfo;
        resolve({ host: '127.0.0.1', port });
      });
    });
  }

  /**
   * Sets the fault in force. Ending a silent or one-way fault resets the connections, because bytes
   * that it dropped would be missing from their streams.
   */
  setFault(fault: LinkFault): void {
    const wasLossy = this.#fault.kind === 'silent' || this.#fault.kind === 'one-way';
    this.#fault = fault;
    if (fault.kind === 'reset' || wasLossy) this.#resetAll();
  }

  /** Stops listening and resets every connection. */
  stop(): void {
    this.#server.close();
    this.#resetAll();
  }

  #resetAll(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #connect(client: net.Socket): void {
    if (this.#fault.kind === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const server = net.connect({ ...this.upstream, allowHalfOpen: true });
    this.#forward(client, server, 'in');
    this.#forward(server, client, 'out');
  }

  #forward(from: net.Socket, to: net.Socket, direction: 'in' | 'out'): void {
    this.#sockets.add(from);
    const endWatch = new SocketEndWatch(from);
    from.on('data', (chunk: Buffer) => this.#applyFault(() => to.write(chunk), direction));
    from.on('end', () => {
      if (endWatch.end === 'broken') to.resetAndDestroy();
      else this.#applyFault(() => to.end(), direction);
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      if (!to.destroyed && from.errored !== null) to.resetAndDestroy();
    });
  }

  #applyFault(action: () => void, direction: 'in' | 'out'): void {
    const fault = this.#fault;
    switch (fault.kind) {
      case 'none':
      case 'reset':
        action();
        return;
      case 'delay':
        setTimeout(action, fault.time);
        return;
      case 'silent':
        return;
      case 'one-way':
        if (fault.lost !== direction) action();
        return;
      default:
        fault satisfies never;
    }
  }
}
