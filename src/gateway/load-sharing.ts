/**
 * The homes tell each other what each alone knows of the targets: its calls there, and how slow it
 * heard them to be. So counts are nearly exact at every home, and one home's probe serves all.
 */
import type { Clock } from '../kernel/index.js';
import type { LoadShare } from '../peering/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetSet } from './target-set.js';

/** What the sharing is made from. */
export interface LoadSharingOptions {
  readonly clock: Clock;
  readonly targets: TargetSet;
  readonly self: string;
  /** The IP numbers of the homes, this daemon's included when it is one. */
  readonly listHomes: () => readonly string[];
  readonly send: (ip: string, shares: readonly LoadShare[]) => void;
}

/** Time between two datagrams: short against a call, long against what a datagram costs. */
const PACE = 20;

/** How often a daemon that is no home looks whether it has become one. */
const IDLE_PACE = 250;

/** What has not changed is told again after this long, since datagrams get lost. */
const REPEAT = 500;

/** Shares in one datagram, so that it stays below what a network carries in one piece. */
const MOST_SHARES = 100;

/** A slowdown that differs by less is no news. */
const SLOWDOWN_CHANGED = 0.05;

interface ToldShare {
  readonly inFlight: number;
  readonly slowdown: number;
  readonly at: number;
}

/** Tells and hears the shares of one daemon. */
export class LoadSharing {
  readonly #told = new Map<GatewayTarget, ToldShare>();

  constructor(private readonly options: LoadSharingOptions) {}

  /** Tells until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listHomes, self } = this.options;
    while (!signal.aborted) {
      const homes = listHomes();
      const hasOthers = homes.includes(self) && homes.length > 1;
      await clock.sleep(hasOthers ? PACE : IDLE_PACE, signal);
      if (!hasOthers) continue;
      this.#tell(homes.filter((ip) => ip !== self));
    }
  }

  /** Takes what another home told. */
  hear(home: string, shares: readonly LoadShare[]): void {
    const { targets } = this.options;
    for (const share of shares) targets.findByHash(share.target)?.noteShare(home, share);
    for (const service of targets.list()) service.queue.pump();
  }

  #tell(others: readonly string[]): void {
    const shares = this.#listNews();
    if (shares.length === 0) return;
    for (let at = 0; at < shares.length; at += MOST_SHARES) {
      const part = shares.slice(at, at + MOST_SHARES);
      for (const ip of others) this.options.send(ip, part);
    }
  }

  /** Lists what changed since it was last told, or was told long ago. */
  #listNews(): readonly LoadShare[] {
    const now = this.options.clock.now();
    const shares: LoadShare[] = [];
    for (const service of this.options.targets.list()) {
      for (const target of service.targets.values()) {
        const share = this.#describeNews(target, now);
        if (share !== undefined) shares.push(share);
      }
    }
    return shares;
  }

  #describeNews(target: GatewayTarget, now: number): LoadShare | undefined {
    const { belief } = target;
    const { inFlight } = belief;
    const told = this.#told.get(target);
    // Only what this home heard from the target itself; what another home told, that one tells.
    const isHeard = belief.reportedAt === belief.slowdownAt;
    const isOld = told === undefined || now - told.at >= REPEAT;
    const isNews =
      told?.inFlight !== inFlight ||
      (isHeard && Math.abs((told?.slowdown ?? 0) - belief.lastSlowdown) > SLOWDOWN_CHANGED);
    if (!isNews && !isOld) return undefined;
    this.#told.set(target, {
      ...{ inFlight, at: now },
      slowdown: isHeard ? belief.lastSlowdown : (told?.slowdown ?? 0),
    });
    return {
      ...{ target: target.hash, inFlight },
      slowdown: isHeard ? belief.lastSlowdown : undefined,
      age: isHeard ? now - belief.slowdownAt : 0,
    };
  }
}
