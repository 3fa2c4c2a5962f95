/**
 * At-most-once execution across entries: an idempotency key is claimed in the platform's service
 * before the call is dispatched, and an entry without the claim does not dispatch the call.
 *
 * A claim is one compare-and-swap that expects no item, so exactly one entry succeeds, even if
 * others were paused or restarted. It needs neither ownership of keys nor synchronised clocks. When
 * it is unknown whether the claim exists, the call is not dispatched.
 */
import { createHash } from 'node:crypto';
import { type Clock, type Random } from '../kernel/index.js';
import type { Platform, StoredValue, WriteResult } from '../platform/index.js';

/** A call that is to run under an idempotency key. */
export interface ClaimRequest {
  readonly service: string;
  readonly key: string;
  /** Method and path; reuse of the key with others is an error of the caller. */
  readonly request: string;
  /** How long the key is remembered, in milliseconds. */
  readonly window: number;
  /** Deadline of the call, on the kernel's clock. */
  readonly deadline: number;
}

/** The result of a claim. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly release: () => Promise<void> }
  /** Another call holds the key; it may have run. */
  | { readonly kind: 'duplicate' }
  /** The key belongs to a call with another method or path. */
  | { readonly kind: 'mismatch'; readonly request: string }
  /** It is unknown whether the key is claimed; this call was not dispatched. */
  | { readonly kind: 'unproven'; readonly reason: string };

interface ClaimRecord {
  /** Random for each claim, because two calls could carry the same identifier of the caller. */
  readonly token: string;
  readonly request: string;
}

interface SharedLease {
  readonly id: string;
  /** On the kernel's clock; claims after this need a new lease. */
  readonly shareableUntil: number;
}

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 20;
/** For this long new claims share a lease; its term is longer than the window by as much. */
const LEASE_SHARING_MS = 600_000;

/** Returns the store key of the claim on an idempotency key. */
export function buildClaimKey(service: string, key: string): string {
  const digest = createHash('sha256').update(service).update('\0').update(key).digest('hex');
  return `once/${digest}`;
}

/** Makes and releases claims. */
export class Claims {
  readonly #leases = new Map<number, Promise<SharedLease | undefined>>();

  /** Number of claims by outcome, and of released claims, since the start. */
  readonly counts = { claimed: 0, duplicate: 0, unproven: 0, released: 0 };

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Claims the key for one call; retries until an outcome is known or the deadline passes. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const result = await this.#tryClaim(request);
    if (result.kind === 'claimed') this.counts.claimed += 1;
    if (result.kind === 'duplicate') this.counts.duplicate += 1;
    if (result.kind === 'unproven') this.counts.unproven += 1;
    return result;
  }

  async #tryClaim(request: ClaimRequest): Promise<ClaimResult> {
    const lease = await this.#findLease(request.window);
    if (lease === undefined) return { kind: 'unproven', reason: 'the platform grants no lease' };
    const record: ClaimRecord = { token: this.random.id(), request: request.request };
    const swap = {
      ...{ key: buildClaimKey(request.service, request.key), value: JSON.stringify(record) },
      ...{ expect: 0, lease: lease.id },
    };
    let reason = '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (this.clock.now() >= request.deadline) break;
      // A write whose reply was lost is repeated unchanged: it takes effect at most once, and a
      // conflict on the second attempt shows which call holds the key.
      const result = await this.platform.swap(swap);
      const outcome = this.#interpret(swap.key, result, record);
      if (outcome !== undefined) return outcome;
      reason = 'reason' in result ? result.reason : result.kind;
      if (result.kind === 'refused' && attempt === 0) {
        this.#leases.delete(request.window);
        return { kind: 'unproven', reason };
      }
      await this.clock.sleep(RETRY_DELAY_MS * 2 ** attempt * (0.5 + this.random.next()));
    }
    this.#scheduleRelease(swap.key, record);
    return { kind: 'unproven', reason: reason === '' ? 'deadline' : reason };
  }

  #interpret(key: string, result: WriteResult, own: ClaimRecord): ClaimResult | undefined {
    switch (result.kind) {
      case 'written':
        return { kind: 'claimed', release: () => this.#release(key, own, result.version) };
      case 'conflict': {
        const { current } = result;
        if (current === undefined) return undefined;
        const holder = JSON.parse(current.value) as ClaimRecord;
        if (holder.token === own.token) {
          return { kind: 'claimed', release: () => this.#release(key, own, current.version) };
        }
        return holder.request === own.request
          ? { kind: 'duplicate' }
          : { kind: 'mismatch', request: holder.request };
      }
      case 'refused':
      case 'unknown':
        return undefined;
      default:
        return result satisfies never;
    }
  }

  /** Releases the key of a call that certainly did not run, so that the caller can repeat it. */
  async #release(key: string, own: ClaimRecord, version: number): Promise<void> {
    const result = await this.platform.remove({ key, expect: version });
    if (result.kind === 'written' || result.kind === 'conflict') {
      this.counts.released += 1;
      return;
    }
    this.#scheduleRelease(key, own);
  }

  #scheduleRelease(key: string, own: ClaimRecord): void {
    this.#releaseWithRetries(key, own).catch(() => undefined);
  }

  async #releaseWithRetries(key: string, own: ClaimRecord): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      await this.clock.sleep(1000 * 2 ** attempt);
      const stored = await this.platform.read(key);
      if (stored.kind === 'absent') return;
      if (stored.kind === 'unavailable') continue;
      if (!this.#isOwnClaim(stored.item, own)) return;
      const { kind } = await this.platform.remove({ key, expect: stored.item.version });
      if (kind === 'written') this.counts.released += 1;
      if (kind === 'written' || kind === 'conflict') return;
    }
  }

  #isOwnClaim(item: StoredValue, own: ClaimRecord): boolean {
    return (JSON.parse(item.value) as ClaimRecord).token === own.token;
  }

  /** Returns a lease that outlives the window; many claims share it, and it is never renewed. */
  async #findLease(window: number): Promise<SharedLease | undefined> {
    const held = await this.#leases.get(window);
    if (held !== undefined && this.clock.now() < held.shareableUntil) return held;
    const pendingLease = this.#grantLease(window);
    this.#leases.set(window, pendingLease);
    return pendingLease;
  }

  async #grantLease(window: number): Promise<SharedLease | undefined> {
    const until = this.clock.now() + LEASE_SHARING_MS;
    const result = await this.platform.grantLease(window + LEASE_SHARING_MS);
    return result.kind === 'held' ? { id: result.lease, shareableUntil: until } : undefined;
  }
}
