/**
 * Which entries a service is at home in, and which targets each of them uses.
 *
 * Both are computed by every entry from the same list of live entries by rendezvous hashing, so no
 * message is needed, and a change of the list moves only the share of the entries that changed.
 */
import { createHash } from 'node:crypto';

/** What the computation needs to know of an entry. */
export interface HomeCandidate {
  readonly id: string;
  readonly name: string;
  /** Region and failure domain, as `region/domain`. */
  readonly domain: string;
}

/** Calls a second that one entry carries with room to spare; measured in `docs/measurements`. */
export const ENTRY_CALLS_PER_SECOND = 1500;

/** Returns the region of a failure domain: the part before the last slash. */
export function parseRegion(domain: string): string {
  const slash = domain.lastIndexOf('/');
  return slash < 0 ? domain : domain.slice(0, slash);
}

const MAX_CACHED_PAIRS = 20_000;

const pairHashes = new Map<string, number>();

/** Returns a number that is random for each pair but the same wherever it is computed. */
export function hashPair(first: string, second: string): number {
  return createHash('md5').update(first).update('\0').update(second).digest().readUIntBE(0, 6);
}

/** The same, remembered: every service is ranked again whenever a member or VM changes. */
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

/** Puts candidates of different failure domains first, keeping the order otherwise. */
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

/** What the number of homes follows from. */
export interface HomeRequirements {
  readonly name: string;
  /** A fixed number, or 0. */
  readonly homes: number;
  /** Calls a second. */
  readonly expected_rate: number;
  /** Homes that the measured load needs; 1 when it is not known. */
  readonly needed: number;
}

/** Returns how many homes a service has in a region. */
export function countHomes(requirements: HomeRequirements): number {
  if (requirements.homes > 0) return requirements.homes;
  return Math.max(
    1,
    requirements.needed,
    Math.ceil(requirements.expected_rate / ENTRY_CALLS_PER_SECOND),
  );
}

/** A service's homes in one region, and the alternates in order. */
export interface HomePlan<T> {
  readonly homes: readonly T[];
  readonly alternates: readonly T[];
}

/** Plans the homes of a service among the live entries of one region. */
export function planHomes<T extends HomeCandidate>(
  requirements: HomeRequirements,
  candidates: readonly T[],
): HomePlan<T> {
  const ordered = spreadDomains(rankCandidates(requirements.name, candidates));
  const count = countHomes(requirements);
  return { homes: ordered.slice(0, count), alternates: ordered.slice(count) };
}

/** Returns the targets, by name, that one of the homes uses: an even share, stable under changes. */
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
