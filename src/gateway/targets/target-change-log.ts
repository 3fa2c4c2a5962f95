/** Log lines for changes of targets in the fleet view. */
import type { Log, LogFields } from '../../kernel/index.js';

/** Up to this many targets that change at once are logged with a line each. */
const MAX_CHANGES_LOGGED = 32;

/** Collects changes of targets and logs those of one update together. */
export class TargetChangeLog {
  #changes: LogFields[] = [];

  constructor(private readonly log: Log) {}

  /** Records a change, as the fields of its log line. */
  record(change: LogFields): void {
    this.#changes.push(change);
  }

  /**
   * Logs one line per changed target, or a single line for a whole list, which hundreds of daemons
   * receive at the same time.
   *
   * @param revision the store revision that the list of targets has reached
   */
  flush(revision: number): void {
    const changes = this.#changes;
    this.#changes = [];
    if (changes.length <= MAX_CHANGES_LOGGED) {
      for (const change of changes) this.log.info('target.changed', change);
      return;
    }
    this.log.info('targets.changed', { changed: changes.length, revision });
  }
}
