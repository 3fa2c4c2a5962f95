/** Whether a target is full, as its resets show: the limit of its calls, and when it ended. */
import { FullLimit, type PartTerms } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { FullEndedEvent, FullEvent } from './target-listener.js';

/** The slots of a target, and what receives its first reset and the end of its limit. */
export interface FullStateOptions {
  /** Returns the calls that the target runs at once. */
  readonly readSlots: () => number;
  readonly onFull: (event: FullEvent) => void;
  readonly onFullEnded: (event: FullEndedEvent) => void;
}

/** The resets of one full target. */
export class FullState {
  readonly #limit = new FullLimit();

  /** When the first reset arrived; undefined while the target is not full. */
  #fullSince: number | undefined;

  #resets = 0;

  /** When a call of this daemon was reset last; undefined once other daemons have been told. */
  #resetAt: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly options: FullStateOptions,
  ) {}

  /** Whether a limit is in force. */
  get isFull(): boolean {
    return this.#fullSince !== undefined && this.readLimit() < Infinity;
  }

  /** Returns the calls that the target may have from all daemons; Infinity if there is no limit. */
  readLimit(): number {
    return this.#limit.read(this.clock.now());
  }

  /** Returns this daemon's part of that limit. */
  readPart(terms: PartTerms): number {
    // Asked for each candidate of each call, and nearly no target is full.
    if (this.#fullSince === undefined) return Infinity;
    return this.#limit.readPart(this.clock.now(), terms);
  }

  /**
   * Records that the target reset a call because it was full.
   *
   * @param startedAt when the call had been sent, in milliseconds on this daemon's clock
   * @param calls calls believed to be there from all daemons, including this one
   */
  recordReset(startedAt: number, calls: number): void {
    this.checkEnd();
    this.#resetAt = this.clock.now();
    const slots = this.options.readSlots();
    this.#limit.recordReset(this.#resetAt, { startedAt, calls, slots });
    this.#resets += 1;
    this.#announce('target');
  }

  /**
   * Takes over the limit of another daemon.
   *
   * @param age time since the target reset a call of that daemon, in milliseconds
   */
  receivePeerLimit(from: string, limit: number, age: number): void {
    this.checkEnd();
    const now = this.clock.now();
    this.#limit.observe(limit, now - age, now);
    if (this.readLimit() < Infinity) this.#announce(from);
  }

  /** Returns the last reset of a call of this daemon that other daemons have not been told. */
  takeReport(): { readonly limit: number; readonly age: number } | undefined {
    const at = this.#resetAt;
    this.#resetAt = undefined;
    if (at === undefined || !this.isFull) return undefined;
    return { limit: this.readLimit(), age: this.clock.now() - at };
  }

  #announce(from: string): void {
    if (this.#fullSince !== undefined) return;
    this.#fullSince = this.clock.now();
    this.options.onFull({ limit: this.readLimit(), from });
  }

  /** Records an answer to a call that had been sent at `startedAt`. */
  recordAnswer(startedAt: number): void {
    if (this.#fullSince === undefined) return;
    this.#limit.recordAnswer(this.clock.now(), startedAt, this.options.readSlots());
    this.checkEnd();
  }

  /** Reports the end of the limit, once for each. */
  checkEnd(): void {
    if (this.#fullSince === undefined || this.isFull) return;
    const time = this.clock.now() - this.#fullSince;
    const resets = this.#resets;
    this.#fullSince = undefined;
    this.#resets = 0;
    this.options.onFullEnded({ time, resets });
  }
}
