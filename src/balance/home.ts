/**
 * Assigns services to home entries, and targets to the homes of a service.
 *
 * Every entry computes both by rendezvous hashing from the same list of live entries. No message is
 * needed, and a change of the list moves only the share of the entries that changed.
 */
import { createHash } from 'node:crypto';

/** An entry, as far as the assignment depends on it. */
export interface HomeCandidate {
  readonly id: string;
  readonly name: string;
  /** Region and failure domain, as `region/domain`. */
  readonly domain: string;
}

/** Calls a second that one entry handles with headroom. */
export const ENTRY_CALLS_PER_SECOND = 1500;

/**
 * Returns the region of a failure domain: the part before the last slash, or all of it without one.
 */
export function parseRegion(domain: string): string {
  const slash = domain.lastIndexOf('/');
  return slash < 0 ? domain : domain.slice(0, slash);
}

const MAX_CACHED_PAIRS = 20_000;

const pairHashes = new Map<string, number>();

/** Returns a hash of two strings: evenly distributed, and the same in every process. */
export function hashPair(first: string, second: string): number {
  return createHash('md5').update(first).update('\0').update(second).digest().readUIntBE(0, 6);
}

/** Caches {@link hashPair}: every service is ranked again whenever a member or VM changes. */
export function getPairHash(first: string, second: string): number {
  const pair = `${first}\0${second}`;
  const cached = pairHashes.get(pair);
  if (cached !== undefined) return cached;
  if (pairHashes.size >= MAX_CACHED_PAIRS) pairHashes.clear();
  const hash = hashPair(first, second);
  pairHashes.set(pair, hash);
  return hash;
}

/** Orders candidates for a key by rendezvous hashing of their names. */
export function rankCandidates<T extends HomeCandidate>(
  key: string,
  candidates: readonly T[],
): readonly T[] {
  return candidates
    .map((candidate) => ({ candidate, rank: getPairHash(key, candidate.name) }))
    .sort((a, b) => b.rank - a.rank || (a.candidate.id < b.candidate.id ? -1 : 1))
    .map(({ candidate }) => candidate);
}

/** Alternates between failure domains, keeping the order within each. */
export function spreadDomains<T extends HomeCandidate>(ranked: readonly T[]): readonly T[] {
  const rounds = new Map<T, number>();
  const used = new Map<string, number>();
  for (const candidate of ranked) {
    const round = used.get(candidate.domain) ?? 0;
    rounds.set(candidate, round);
    used.set(candidate.domain, round + 1);
  }
  const getRound = (candidate: T) => rounds.get(candidate) ?? 0;
  return [...ranked].sort((a, b) => getRound(a) - getRound(b));
}

/** What the number of homes of a service depends on. */
export interface HomeRequirements {
  readonly name: string;
  /** Fixed number of homes; 0 if not set. */
  readonly homes: number;
  /** Calls a second. */
  readonly expected_rate: number;
  /** Homes that the measured load needs; 1 if it is unknown. */
  readonly needed: number;
}

/** Returns the number of homes of a service in a region. */
export function countHomes(requirements: HomeRequirements): number {
  if (requirements.homes > 0) return requirements.homes;
  return Math.max(
    1,
    requirements.needed,
    Math.ceil(requirements.expected_rate / ENTRY_CALLS_PER_SECOND),
  );
}

/** The homes of a service in one region, and the alternates in order of preference. */
export interface HomePlan<T> {
  readonly homes: readonly T[];
  readonly alternates: readonly T[];
}

/** Chooses the homes of a service among the live entries of one region. */
export function planHomes<T extends HomeCandidate>(
  requirements: HomeRequirements,
  candidates: readonly T[],
): HomePlan<T> {
  const ordered = spreadDomains(rankCandidates(requirements.name, candidates));
  const count = countHomes(requirements);
  return { homes: ordered.slice(0, count), alternates: ordered.slice(count) };
}

/**
 * Returns the names of the targets that the home `self` uses: an even share that changes little
 * when homes change.
 */
export function assignTargets(
  targets: readonly string[],
  homes: readonly HomeCandidate[],
  self: string,
): ReadonlySet<string> {
  if (homes.length <= 1) return new Set(targets);
  const share = Math.ceil(targets.length / homes.length);
  const assignedCounts = new Map<string, number>();
  const own = new Set<string>();
  for (const target of [...targets].sort()) {
    const ranked = rankCandidates(target, homes);
    const owner = ranked.find((home) => (assignedCounts.get(home.id) ?? 0) < share);
    if (owner === undefined) break;
    assignedCounts.set(owner.id, (assignedCounts.get(owner.id) ?? 0) + 1);
    if (owner.id === self) own.add(target);
  }
  return own;
}
