/** Chooses which draining targets are reported to the other daemons, and when. */
import type { Clock } from '../../kernel/index.js';
import type { DrainingReport } from '../../peering/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetSet } from './target-set.js';

/** Shortest time between two reports of a target. They are repeated because datagrams get lost. */
const MIN_REPEAT_INTERVAL_MS = 500;

/** Later reports come after this fraction of the time since the target began to drain. */
const REPEAT_AGE_FRACTION = 0.25;

/** Targets in one datagram: few enough that the network does not fragment it. */
const MAX_TARGETS = 100;

/**
 * Reports the draining targets of one daemon: those that announced it to this daemon itself. The
 * other daemons report theirs.
 */
export class DrainingReporter {
  readonly #reportedAt = new WeakMap<GatewayTarget, number>();

  constructor(
    private readonly targets: TargetSet,
    private readonly clock: Clock,
  ) {}

  /** Returns the targets that are due for a report, and marks them as reported. */
  takeDue(): readonly DrainingReport[] {
    const now = this.clock.now();
    const due: DrainingReport[] = [];
    for (const service of this.targets.listServices()) {
      for (const target of service.targets.values()) {
        const { draining } = target.availability;
        if (draining === undefined || !draining.isDirect || due.length === MAX_TARGETS) continue;
        const age = now - draining.at;
        const interval = Math.max(MIN_REPEAT_INTERVAL_MS, age * REPEAT_AGE_FRACTION);
        if (now - (this.#reportedAt.get(target) ?? -Infinity) < interval) continue;
        this.#reportedAt.set(target, now);
        due.push({ target: target.hash, age });
      }
    }
    return due;
  }
}
