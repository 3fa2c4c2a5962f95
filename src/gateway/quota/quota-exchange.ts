/**
 * Sends requests for tokens and grants to other daemons, several in one datagram, and matches the
 * grants that arrive with the requests that are open. A grant that matches none, or answers one for
 * the second time, is ignored, so that no message creates tokens.
 */
import type { Clock, Random, Timer } from '../../kernel/index.js';
import type { QuotaMessages, TokenGrant, TokenRequest } from '../../peering/index.js';

/** Options of the exchange. */
export interface QuotaExchangeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly send: (ip: string, messages: QuotaMessages) => void;
  /** How long tokens are lent, in milliseconds. */
  readonly readLeaseTime: () => number;
}

/** Tokens that another daemon has lent, until a time of the clock. */
export interface Loan {
  readonly amount: number;
  readonly expiresAt: number;
}

/**
 * How long messages wait for others to the same daemon, in milliseconds. Short against the 20 ms
 * that a reply may take.
 */
const FLUSH_DELAY_MS = 1;

/**
 * Requests and grants in one datagram. An entry takes up to 23 bytes, and networks fragment
 * datagrams from 1,472 bytes on.
 */
const MAX_BATCH_SIZE = 60;

const ID_RANGE = 2 ** 32;

interface OpenRequest {
  readonly peer: string;
  readonly organisation: number;
  readonly wanted: number;
  readonly sentAt: number;
}

interface Batch {
  readonly requests: TokenRequest[];
  readonly grants: TokenGrant[];
}

/** The exchange of one daemon. */
export class QuotaExchange {
  readonly #batches = new Map<string, Batch>();

  readonly #open = new Map<number, OpenRequest>();

  /** Starts at random, so that grants to this daemon before a restart match no request. */
  #nextId: number;

  #flushTimer: Timer | undefined;

  #isClosed = false;

  constructor(private readonly options: QuotaExchangeOptions) {
    this.#nextId = Math.floor(options.random.next() * ID_RANGE);
  }

  /** Requests tokens of another daemon. The lease of what it lends begins now. */
  sendRequest(peer: string, organisation: number, wanted: number): void {
    const id = this.#nextId;
    this.#nextId = (id + 1) % ID_RANGE;
    this.#open.set(id, { peer, organisation, wanted, sentAt: this.options.clock.now() });
    this.#getBatch(peer).requests.push({ organisation, wanted, id });
  }

  /** Replies to a request of another daemon. */
  sendGrant(peer: string, grant: TokenGrant): void {
    this.#getBatch(peer).grants.push(grant);
  }

  /** Takes in a grant; undefined when it answers no open request. */
  acceptGrant(peer: string, { id, organisation, amount }: TokenGrant): Loan | undefined {
    const request = this.#open.get(id);
    if (request?.peer !== peer || request.organisation !== organisation) return undefined;
    this.#open.delete(id);
    const expiresAt = request.sentAt + this.options.readLeaseTime();
    if (this.options.clock.now() >= expiresAt) return undefined;
    // Wanted amounts were rounded up to hundredths.
    return { amount: Math.min(amount, request.wanted + 0.01), expiresAt };
  }

  /** Forgets requests whose grants would have expired. */
  removeExpired(): void {
    const earliest = this.options.clock.now() - this.options.readLeaseTime();
    for (const [id, { sentAt }] of this.#open) {
      if (sentAt > earliest) return;
      this.#open.delete(id);
    }
  }

  /** Sends nothing any more, because the daemon ends and closes its socket. */
  close(): void {
    this.#isClosed = true;
    this.#flushTimer?.cancel();
    this.#batches.clear();
  }

  #getBatch(peer: string): Batch {
    const existing = this.#batches.get(peer);
    if (
      existing !== undefined &&
      existing.requests.length + existing.grants.length < MAX_BATCH_SIZE
    )
      return existing;
    if (existing !== undefined) this.#send(peer, existing);
    const batch: Batch = { requests: [], grants: [] };
    this.#batches.set(peer, batch);
    this.#flushTimer ??= this.options.clock.schedule(FLUSH_DELAY_MS, () => this.#flush());
    return batch;
  }

  #flush(): void {
    this.#flushTimer = undefined;
    const batches = [...this.#batches];
    this.#batches.clear();
    for (const [peer, batch] of batches) this.#send(peer, batch);
  }

  #send(peer: string, batch: QuotaMessages): void {
    if (!this.#isClosed) this.options.send(peer, batch);
  }
}
