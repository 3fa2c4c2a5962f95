/**
 * Draws the faults of a soak and the actions of the operators meanwhile. Equal seeds give equal
 * plans.
 */
import { type Random, pickItem } from '../kernel/index.js';
import type { Fault } from '../standin/index.js';
import type { LinkFault } from './link.js';
import { PARTITION_FAULTS, type PartitionFault } from './target-network.js';

/**
 * One event of a plan. `at` and `lasts` are in milliseconds; daemons and targets are given by their
 * index.
 */
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
  /** The daemon reaches no target, while everything else reaches the daemon. */
  | {
      readonly kind: 'partition';
      readonly daemon: number;
      readonly fault: PartitionFault;
      readonly lasts: number;
    }
  | { readonly kind: 'stop' | 'kill'; readonly daemon: number }
  | { readonly kind: 'freeze'; readonly daemon: number; readonly lasts: number }
  | { readonly kind: 'configure' }
  /** A key of an organisation is replaced by another one. */
  | { readonly kind: 'revoke'; readonly organisation: number }
  | { readonly kind: 'compact' }
  /**
   * The target reports in its answers at once that it drains, and in the store after `toldAfter`
   * milliseconds.
   */
  | { readonly kind: 'drain'; readonly target: number; readonly toldAfter: number }
  /** The target rejects its requests and asks for a back-off of `backoff` seconds. */
  | {
      readonly kind: 'reject';
      readonly target: number;
      readonly lasts: number;
      readonly backoff: number;
    }
);

/** The size of the system and the duration of the run. */
export interface SoakSize {
  readonly daemons: number;
  readonly targets: number;
  /** Milliseconds. */
  readonly duration: number;
  /** Whether requests need keys of organisations. */
  readonly hasOrganisations?: boolean;
}

/** Mean time between two events, in milliseconds; short enough for faults to overlap. */
const MEAN_GAP_MS = 700;

/** A fault lasts 300 ms and a drawn time of up to this. */
const MAX_ADDED_DURATION_MS = 4000;

/**
 * The probability that a draining target reports it to the store later than in its answers, and the
 * longest delay in milliseconds.
 */
const LATE_DRAIN_PROBABILITY = 0.5;
const MAX_DRAIN_DELAY_MS = 8000;

/** So many daemons, the first ones, run the product's own bundle, which can't be partitioned. */
export const UNPARTITIONABLE_DAEMONS = 1;

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

/** A drawn change of the configuration is the removal of a key with this probability. */
const REVOKE_PROBABILITY = 0.5;

function drawConfigure(at: number, random: Random): SoakEvent {
  if (random.next() >= REVOKE_PROBABILITY) return { at, kind: 'configure' };
  return { at, kind: 'revoke', organisation: Math.floor(random.next() * 100) };
}

function drawEvent(
  at: number,
  { daemons, targets, hasOrganisations }: SoakSize,
  random: Random,
): SoakEvent {
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
        'partition',
        'partition',
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
      return hasOrganisations === true ? drawConfigure(at, random) : { at, kind };
    case 'compact':
      return { at, kind };
    case 'drain':
      return {
        at,
        kind,
        target,
        toldAfter: random.next() < LATE_DRAIN_PROBABILITY ? MAX_DRAIN_DELAY_MS * random.next() : 0,
      };
    case 'partition': {
      const fault = pickItem(PARTITION_FAULTS, random);
      const partitionable = Math.max(0, daemons - UNPARTITIONABLE_DAEMONS);
      const drawn = UNPARTITIONABLE_DAEMONS + Math.floor(random.next() * partitionable);
      return { at, kind, fault, lasts, daemon: Math.min(drawn, daemons - 1) };
    }
    case 'reject':
      return { at, kind, target, lasts, backoff: MAX_BACKOFF_S * random.next() };
    default:
      return kind satisfies never;
  }
}

/** Draws a plan. The last fifth of the run has no events, so that the system can recover. */
export function drawPlan(random: Random, size: SoakSize): readonly SoakEvent[] {
  const events: SoakEvent[] = [];
  const end = size.duration * 0.8;
  for (let at = MEAN_GAP_MS; at < end; at += 2 * MEAN_GAP_MS * random.next()) {
    events.push(drawEvent(Math.round(at), size, random));
  }
  return events;
}
