/** Draws what goes wrong in a soak, and what the operators do meanwhile: one seed, one plan. */
import { type Random, pickItem } from '../kernel/index.js';
import type { Fault } from '../standin/index.js';
import type { LinkFault } from './link.js';

/** One entry of a plan; `at` and `lasts` are milliseconds, parts are named by their number. */
export type SoakEvent = { readonly at: number } & (
  | { readonly kind: 'store'; readonly fault: Fault; readonly lasts: number }
  | {
      readonly kind: 'store-link';
      readonly daemon: number;
      readonly fault: LinkFault;
      readonly lasts: number;
    }
  | {
      readonly kind: 'target-link';
      readonly target: number;
      readonly fault: LinkFault;
      readonly lasts: number;
    }
  | { readonly kind: 'stop' | 'kill'; readonly daemon: number }
  | { readonly kind: 'freeze'; readonly daemon: number; readonly lasts: number }
  | { readonly kind: 'configure' }
  | { readonly kind: 'compact' }
  /** The target says so in its answers at once, and in the store after a time. */
  | { readonly kind: 'drain'; readonly target: number; readonly toldAfter: number }
  /** The target rejects what it gets, and asks for a back-off in seconds. */
  | {
      readonly kind: 'reject';
      readonly target: number;
      readonly lasts: number;
      readonly backoff: number;
    }
);

/** How large the system is and how long the run takes. */
export interface SoakSize {
  readonly daemons: number;
  readonly targets: number;
  /** Milliseconds. */
  readonly duration: number;
}

/** Time between two entries of a plan, in milliseconds: they come in series and overlap. */
const MEAN_GAP_MS = 700;
const MAX_ADDED_DURATION_MS = 4000;

/** The part of leaving targets of which the store is told late, and how late, in milliseconds. */
const LATE_DRAIN_PROBABILITY = 0.5;
const MAX_DRAIN_DELAY_MS = 8000;

/** Longest back-off, in seconds. */
const MAX_BACKOFF_S = 3;

function drawLinkFault(random: Random): LinkFault {
  return pickItem<LinkFault>(
    [
      { kind: 'delay', time: 20 + 200 * random.next() },
      { kind: 'reset' },
      { kind: 'silent' },
      { kind: 'one-way', lost: pickItem(['in', 'out'], random) },
    ],
    random,
  );
}

function drawStoreFault(random: Random): Fault {
  return pickItem<Fault>(
    [
      ...(
        ['down', 'silent', 'busy', 'many', 'skip-watches', 'close-watches', 'stale'] as const
      ).map((kind) => ({ kind })),
      { kind: 'slow', delay: 50 + 400 * random.next() },
      { kind: 'lose-write-replies', after: 2000 * random.next() },
    ],
    random,
  );
}

function drawEvent(at: number, { daemons, targets }: SoakSize, random: Random): SoakEvent {
  const lasts = 300 + random.next() * MAX_ADDED_DURATION_MS;
  const daemon = Math.floor(random.next() * daemons);
  const target = Math.floor(random.next() * targets);
  const kind = pickItem(
    [
      ...(['store', 'store-link', 'target-link', 'target-link', 'stop', 'stop'] as const),
      ...([
        'kill',
        'freeze',
        'configure',
        'configure',
        'compact',
        'drain',
        'drain',
        'reject',
      ] as const),
    ],
    random,
  );
  switch (kind) {
    case 'store':
      return { at, kind, fault: drawStoreFault(random), lasts };
    case 'store-link':
      return { at, kind, daemon, fault: drawLinkFault(random), lasts };
    case 'target-link':
      return { at, kind, target, fault: drawLinkFault(random), lasts };
    case 'stop':
    case 'kill':
      return { at, kind, daemon };
    case 'freeze':
      return { at, kind, daemon, lasts };
    case 'configure':
    case 'compact':
      return { at, kind };
    case 'drain':
      return {
        at,
        kind,
        target,
        toldAfter: random.next() < LATE_DRAIN_PROBABILITY ? MAX_DRAIN_DELAY_MS * random.next() : 0,
      };
    case 'reject':
      return { at, kind, target, lasts, backoff: MAX_BACKOFF_S * random.next() };
    default:
      return kind satisfies never;
  }
}

/** Draws a plan; nothing happens in its last part, so that the system can heal. */
export function drawPlan(random: Random, size: SoakSize): readonly SoakEvent[] {
  const events: SoakEvent[] = [];
  const end = size.duration * 0.8;
  for (let at = MEAN_GAP_MS; at < end; at += 2 * MEAN_GAP_MS * random.next()) {
    events.push(drawEvent(Math.round(at), size, random));
  }
  return events;
}
