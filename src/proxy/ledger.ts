/** Records which attempts of a call may have run; outcomes are checked against it. */
import { assertInvariant } from '../kernel/index.js';

/** Counts the attempts of a call that were sent and are not known not to have run. */
export class SendLedger {
  #possiblyRun = 0;

  /** @param repeatable whether the call may be repeated */
  constructor(private readonly repeatable: boolean) {}

  /** Records that an attempt's first byte may have been written; asserts that this is allowed. */
  recordSent(): void {
    this.#possiblyRun += 1;
    assertInvariant(
      this.repeatable || this.#possiblyRun <= 1,
      'a call that may not be repeated is sent at most once',
    );
  }

  /** Records that an attempt that was sent is known not to have run. */
  recordNotRun(): void {
    this.#possiblyRun -= 1;
  }

  /** Asserts that no attempt may have run. */
  assertNotRun(): void {
    assertInvariant(
      this.#possiblyRun === 0,
      'not run is reported only when no attempt may have run',
    );
  }

  /** Whether any attempt may have run. */
  get mayHaveRun(): boolean {
    return this.#possiblyRun > 0;
  }
}
