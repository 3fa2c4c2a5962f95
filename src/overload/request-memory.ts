/** The memory that one request and its answer hold, charged to the account of their connection. */
import type { IncomingMessage } from 'node:http';
import type { MemoryAccount } from './memory-budget.js';

/** What one request holds; given back when its answer has been read, or its connection closed. */
export class RequestMemory {
  #held = 0;

  #isClosed = false;

  /**
   * Refuses the request when its connection holds too much; without it, the connection is closed.
   * Set only while the request is known not to have been forwarded.
   */
  onEvict: (() => void) | undefined;

  /** Whether the request was passed on, so that it may run whatever becomes of its connection. */
  isForwarded = false;

  /** @param isPipelined whether it came with others on its connection, before they were answered */
  constructor(
    private readonly account: MemoryAccount,
    readonly isPipelined: boolean,
  ) {}

  /** Records that the request is passed on. */
  recordForwarded(): void {
    this.isForwarded = true;
    this.onEvict = undefined;
  }

  /** Refuses the request and gives everything back; returns false if it can't be refused. */
  refuse(): boolean {
    const { onEvict } = this;
    if (onEvict === undefined) return false;
    this.close();
    onEvict();
    return true;
  }

  /** Adds to what is held, in bytes. */
  charge(bytes: number): void {
    if (this.#isClosed) return;
    this.#held += bytes;
    this.account.charge(bytes);
  }

  /** Gives back some of what is held. */
  release(bytes: number): void {
    const released = Math.min(bytes, this.#held);
    this.#held -= released;
    if (!this.#isClosed) this.account.release(released);
  }

  /** Gives back everything; later charges have no effect. */
  close(): void {
    this.release(this.#held);
    this.#isClosed = true;
    this.onEvict = undefined;
  }

  /** Forgets what is held, as the account of the connection was closed. */
  forget(): void {
    this.#held = 0;
    this.#isClosed = true;
  }
}

const memories = new WeakMap<IncomingMessage, RequestMemory>();

/** Assigns the memory of a request. */
export function setRequestMemory(request: IncomingMessage, memory: RequestMemory): void {
  memories.set(request, memory);
}

/** Returns the memory of a request; undefined where its listener does not limit memory. */
export function findRequestMemory(request: IncomingMessage): RequestMemory | undefined {
  return memories.get(request);
}
