/** A link between two parts: a loopback proxy whose connections can be made to misbehave. */
import net from 'node:net';
import type { Address } from '../kernel/index.js';

/** What is wrong with a link; `in` is the way to the part behind it, `out` the way back. */
export type LinkFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delay'; readonly time: number }
  /** Connections are reset, and new ones at once. */
  | { readonly kind: 'reset' }
  /** Connections stay open and carry nothing. */
  | { readonly kind: 'silent' }
  | { readonly kind: 'one-way'; readonly lost: 'in' | 'out' };

/** The proxy before one part. */
export class Link {
  #fault: LinkFault = { kind: 'none' };

  readonly #sockets = new Set<net.Socket>();

  readonly #server = net.createServer({ allowHalfOpen: true }, (client) => this.#connect(client));

  constructor(private readonly upstream: Address) {}

  /** Starts on a free loopback port. */
  start(): Promise<Address> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, '127.0.0.1', () => {
        const { port } = this.#server.address() as net.AddressInfo;
        resolve({ host: '127.0.0.1', port });
      });
    });
  }

  /** Sets what is wrong from now on. Bytes that a silent link swallowed are lost with their connection. */
  setFault(fault: LinkFault): void {
    const wasLossy = this.#fault.kind === 'silent' || this.#fault.kind === 'one-way';
    this.#fault = fault;
    if (fault.kind === 'reset' || wasLossy) this.#resetAll();
  }

  /** Closes everything. */
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
    from.on('data', (chunk: Buffer) => this.#applyFault(() => to.write(chunk), direction));
    from.on('end', () => this.#applyFault(() => to.end(), direction));
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
