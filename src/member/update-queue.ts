/** Gossip updates that wait to be sent: each is sent a limited number of times, newest first. */

interface QueuedUpdate {
  readonly key: string;
  remainingSends: number;
}

/** Chooses which updates the next message carries. */
export class UpdateQueue {
  #updates: readonly QueuedUpdate[] = [];

  /** Adds an update in front, to be sent `sendCount` times; replaces an earlier one of this key. */
  add(key: string, sendCount: number): void {
    const others = this.#updates.filter((rumor) => rumor.key !== key);
    this.#updates = [{ key, remainingSends: sendCount }, ...others];
  }

  /** Takes the keys of up to `count` updates, those with the most remaining sends first. */
  take(count: number): readonly string[] {
    const chosen = [...this.#updates]
      .sort((a, b) => b.remainingSends - a.remainingSends)
      .slice(0, count);
    for (const rumor of chosen) rumor.remainingSends -= 1;
    this.#updates = this.#updates.filter((rumor) => rumor.remainingSends > 0);
    return chosen.map(({ key }) => key);
  }
}
