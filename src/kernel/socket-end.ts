/** Tells the orderly end of a TCP connection from a reset. */
import type { Socket } from 'node:net';

/** How a connection has ended, as far as its peer's bytes go. */
export type SocketEnd =
  | 'open'
  /** The peer has ended it, and all of its bytes have arrived. */
  | 'orderly'
  /** It was reset, failed or was closed on this side; bytes of the peer may be missing. */
  | 'broken';

/** Watches how a connection ends. */
export class SocketEndWatch {
  #end: SocketEnd = 'open';

  /** Nothing may have read the socket's `remoteAddress` before, as Node keeps what it has read. */
  constructor(socket: Socket) {
    // Node's HTTP client ends an answer in its own listener, which must find the connection judged.
    socket.prependListener('end', () => {
      if (this.#end !== 'open') return;
      // After a read that brought bytes, a reset is reported as an end of file. The connection of
      // a socket that was reset is gone, and with it the address of the peer.
      this.#end = socket.remoteAddress === undefined ? 'broken' : 'orderly';
    });
    socket.prependListener('error', () => this.#breakOff());
    socket.prependListener('close', () => this.#breakOff());
  }

  /** How the connection has ended. */
  get end(): SocketEnd {
    return this.#end;
  }

  #breakOff(): void {
    if (this.#end === 'open') this.#end = 'broken';
  }
}
