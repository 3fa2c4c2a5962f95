/**
 * The memory that a process may hold for its clients, over all connections.
 *
 * A bound on each connection does not bound a crowd of them. When all together hold too much, those
 * that hold the most are ended, so that the others, which hold little, are still served.
 */

/** Whoever holds memory; gives it back when told to. */
export interface MemoryOwner {
  /** Ends what holds the memory and closes the account. */
  evict(): void;
}

/** After an eviction, at most this part of the limit is held, so that evictions are rare. */
const REMAINING_PART = 0.9;

/** What one owner holds. Amounts are estimates, in bytes. */
export class MemoryAccount {
  #held = 0;

  constructor(
    private readonly budget: MemoryBudget,
    readonly owner: MemoryOwner,
  ) {}

  /** What is held now. */
  get held(): number {
    return this.#held;
  }

  /** Adds to what is held; may end the owners that hold the most, this one included. */
  charge(bytes: number): void {
    this.#change(bytes);
    this.budget.enforce();
  }

  /** Gives back some of what is held. */
  release(bytes: number): void {
    this.#change(-Math.min(bytes, this.#held));
  }

  /** Gives back everything. */
  close(): void {
    this.release(this.#held);
  }

  #change(bytes: number): void {
    this.#held += bytes;
    this.budget.record(this, bytes);
  }
}

/** The memory that the connections of a process may hold together. */
export class MemoryBudget {
  #held = 0;

  /** Owners that were ended since the start. */
  evictions = 0;

  readonly #accounts = new Set<MemoryAccount>();

  #isEnforcing = false;

  /** @param limit in bytes */
  constructor(readonly limit: number) {}

  /** What all accounts hold, in bytes. */
  get held(): number {
    return this.#held;
  }

  /** Opens an account that holds nothing yet. */
  open(owner: MemoryOwner): MemoryAccount {
    return new MemoryAccount(this, owner);
  }

  /** Records a change of an account. */
  record(account: MemoryAccount, bytes: number): void {
    this.#held += bytes;
    if (account.held > 0) this.#accounts.add(account);
    else this.#accounts.delete(account);
  }

  /** Ends the owners that hold the most while more is held than the limit allows. */
  enforce(): void {
    if (this.#held <= this.limit || this.#isEnforcing) return;
    this.#isEnforcing = true;
    const largestFirst = [...this.#accounts].sort((one, other) => other.held - one.held);
    for (const account of largestFirst) {
      if (this.#held <= this.limit * REMAINING_PART) break;
      this.evictions += 1;
      account.owner.evict();
      account.close();
    }
    this.#isEnforcing = false;
  }
}
