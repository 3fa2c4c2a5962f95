/** A budget that grows with the calls, so that extra attempts stay a fixed share of them. */

const MAX_TOKENS = 10;

/** Allows extra attempts as a share of the first attempts. */
export class ShareBudget {
  #tokens = MAX_TOKENS / 2;

  #spent = 0;

  #earned = MAX_TOKENS / 2;

  /** @param percent extra attempts allowed per hundred first attempts */
  constructor(private readonly percent: number) {}

  /** Extra attempts allowed since the start. */
  get spent(): number {
    return this.#spent;
  }

  /** Adds the share that one first attempt earns. */
  earn(): void {
    const amount = this.percent / 100;
    this.#earned += amount;
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + amount);
  }

  /** Takes one extra attempt; false if the budget does not allow it. */
  spend(): boolean {
    if (this.percent === 0 || this.#tokens < 1) return false;
    this.#tokens -= 1;
    this.#spent += 1;
    return true;
  }

  /** Whether no more was spent than earned since the start. */
  isSound(): boolean {
    return this.#spent <= this.#earned;
  }
}
