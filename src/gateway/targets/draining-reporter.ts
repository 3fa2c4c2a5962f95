/** Which draining targets the other daemons are to be told of now. */
import type { Clock } from '../../kernel/index.js';
import type { DrainingReport } from '../../peering/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetSet } from './target-set.js';

/** Told again after this long at first, in milliseconds, since datagrams get lost. */
const FIRST_REPEAT = 500;

/** And later after this part of the time for which it has been known. */
const REPEAT_PART = 0.25;

/** Targets in one datagram, so that it stays below what a network carries in one piece. */
const MOST_TARGETS = 100;

/** Chooses what one daemon tells: what targets said to it, as the others tell what was said to them. */
export class DrainingReporter {
  readonly #toldAt = new WeakMap<GatewayTarget, number>();

  constructor(
    private readonly targets: TargetSet,
    private readonly clock: Clock,
  ) {}

  /** Lists the targets to tell of, and takes them for told. */
  take(): readonly DrainingReport[] {
    const now = this.clock.now();
    const due: DrainingReport[] = [];
    for (const service of this.targets.listServices()) {
      for (const target of service.targets.values()) {
        const { draining } = target.availability;
        if (draining === undefined || !draining.isDirect || due.length === MOST_TARGETS) continue;
        const age = now - draining.at;
        const repeat = Math.max(FIRST_REPEAT, age * REPEAT_PART);
        if (now - (this.#toldAt.get(target) ?? -Infinity) < repeat) continue;
        this.#toldAt.set(target, now);
        due.push({ target: target.hash, age });
      }
    }
    return due;
  }
}
