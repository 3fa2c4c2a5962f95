/** Which draining targets the other daemons are to be told of now. */
import type { Clock } from '../../kernel/index.js';
import type { DrainingReport } from '../../peering/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetSet } from './target-set.js';

/** Told again after this long at first, in milliseconds, since datagrams get lost. */
const MIN_REPEAT_INTERVAL_MS = 500;

/** And later after this part of the time for which it has been known. */
const REPEAT_AGE_FRACTION = 0.25;

/** Targets in one datagram, so that it stays below what a network carries in one piece. */
const MAX_TARGETS = 100;

/** Chooses what one daemon tells: what targets said to it, as the others tell what was said to them. */
export class DrainingReporter {
  readonly #reportedAt = new WeakMap<GatewayTarget, number>();

  constructor(
    private readonly targets: TargetSet,
    private readonly clock: Clock,
  ) {}

  /** Lists the targets to tell of, and takes them for told. */
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
