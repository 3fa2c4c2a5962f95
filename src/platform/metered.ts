/** Limits and counts a daemon's calls to the platform, by kind. */
import type { Clock } from '../kernel/index.js';
import type { Platform, Unavailable, WriteResult } from './platform.js';

/** The kinds of calls that are counted. */
export type CallKind = keyof Platform;

/** Calls made and calls held back since the start. */
export interface PlatformCounts {
  readonly made: Readonly<Record<CallKind, number>>;
  readonly heldBack: number;
}

/** A platform whose calls are counted and rate-limited. */
export interface MeteredPlatform extends Platform {
  /** Returns the calls made and held back so far. */
  counts(): PlatformCounts;
}

/** A token bucket: `rate` tokens a second, at most `burst` at once. */
export class TokenBucket {
  #tokens: number;

  #refilledAt: number;

  constructor(
    private readonly rate: number,
    private readonly burst: number,
    private readonly clock: Clock,
  ) {
    this.#tokens = burst;
    this.#refilledAt = clock.now();
  }

  /** Takes `tokens` tokens if that many are available; returns whether it did. */
  take(tokens = 1): boolean {
    const now = this.clock.now();
    this.#tokens = Math.min(
      this.burst,
      this.#tokens + ((now - this.#refilledAt) / 1000) * this.rate,
    );
    this.#refilledAt = now;
    if (this.#tokens < tokens) return false;
    this.#tokens -= tokens;
    return true;
  }
}

const HELD_BACK: Unavailable = {
  kind: 'unavailable',
  reason: 'call budget of this daemon spent',
};
const REFUSED: WriteResult = { kind: 'refused', reason: HELD_BACK.reason };

/**
 * Wraps a platform so that at most `callsPerSecond` calls reach it. Calls beyond that fail at once,
 * unsent.
 */
export function createMeteredPlatform(
  inner: Platform,
  callsPerSecond: number,
  clock: Clock,
): MeteredPlatform {
  const bucket = new TokenBucket(callsPerSecond, callsPerSecond, clock);
  const made = {
    ...{ read: 0, range: 0, swap: 0, remove: 0 },
    ...{ grantLease: 0, renewLease: 0, watch: 0, vms: 0 },
  };
  let heldBack = 0;
  const takeCall = (kind: CallKind): boolean => {
    if (!bucket.take()) {
      heldBack += 1;
      return false;
    }
    made[kind] += 1;
    return true;
  };
  return {
    read: async (key) => (takeCall('read') ? inner.read(key) : HELD_BACK),
    range: async (prefix) => (takeCall('range') ? inner.range(prefix) : HELD_BACK),
    swap: async (swap) => (takeCall('swap') ? inner.swap(swap) : REFUSED),
    remove: async (removal) => (takeCall('remove') ? inner.remove(removal) : REFUSED),
    grantLease: async (ttl) => (takeCall('grantLease') ? inner.grantLease(ttl) : HELD_BACK),
    renewLease: async (lease) => (takeCall('renewLease') ? inner.renewLease(lease) : HELD_BACK),
    watch: async (prefix, after, signal) =>
      takeCall('watch') ? inner.watch(prefix, after, signal) : HELD_BACK,
    vms: async () => (takeCall('vms') ? inner.vms() : HELD_BACK),
    counts: () => ({ made: { ...made }, heldBack }),
  };
}
