/**
 * Decides whether an upload that is streamed to a target keeps its slot. A caller that sends slowly,
 * or stops half-way, would occupy the slot until its deadline, and a few of them the whole service.
 */

/** An upload is judged by what arrived in the last interval of this length, in milliseconds. */
const INTERVAL_MS = 500;

/** Bytes that arrive in an interval at least: a connection from far away brings many times this. */
const MIN_INTERVAL_BYTES = 8192;

/** The state of an upload at one moment. */
export interface UploadState {
  /** Bytes that have arrived from its caller. */
  readonly received: number;
  /** Whether this daemon reads what its caller sends; otherwise it waits for the target. */
  readonly isRead: boolean;
  /** Whether other calls wait for a slot. */
  readonly hasWaitingCalls: boolean;
}

/** The pace of one upload. */
export class UploadPace {
  #since: number;

  #received: number;

  /** @param now in milliseconds */
  constructor(now: number, { received }: Pick<UploadState, 'received'>) {
    this.#since = now;
    this.#received = received;
  }

  /** Whether the upload is too slow to keep its slot from calls that wait. */
  isTooSlow(now: number, { received, isRead, hasWaitingCalls }: UploadState): boolean {
    const isSteady = received - this.#received >= MIN_INTERVAL_BYTES;
    if (isSteady || !isRead) {
      this.#since = now;
      this.#received = received;
      return false;
    }
    return hasWaitingCalls && now - this.#since >= INTERVAL_MS;
  }
}
