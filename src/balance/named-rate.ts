/** The rate that a target has said it takes, of all daemons together, and since when that is known. */

/** A word of a target on its rate. */
export interface NamedWord {
  /** Requests a second; undefined when it takes any number. */
  readonly rate: number | undefined;
  /** When the target said so, in milliseconds on this daemon's clock. */
  readonly at: number;
}

/** What a newer word has changed. */
export interface NamedChange {
  readonly before: number | undefined;
  readonly rate: number | undefined;
}

/** The newest word of one target. */
export class NamedRate {
  #word: NamedWord = { rate: undefined, at: -Infinity };

  /** The newest word. */
  get word(): NamedWord {
    return this.#word;
  }

  /** Whether the target takes no more than it says. */
  get isLimited(): boolean {
    return this.#word.rate !== undefined;
  }

  /** Takes a word unless a newer one is known; returns what it has changed. */
  hear(word: NamedWord): NamedChange | undefined {
    if (word.at <= this.#word.at) return undefined;
    const before = this.#word.rate;
    this.#word = word;
    return before === word.rate ? undefined : { before, rate: word.rate };
  }
}
