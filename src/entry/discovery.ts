/** Service discovery for callers: which entry addresses to use for a service. */
import type { Member } from '../peer/index.js';
import type { ServiceRuntime } from './service-runtime.js';

/** Path on the callers' listener; the query parameter `service` names the service. */
export const DISCOVERY_PATH = '/.well-known/orchidbeam/entries';

/** One entry address in an {@link EntryAnswer}. */
export interface EntryChoice {
  readonly address: string;
  readonly domain: string;
  readonly role: 'home' | 'alternate';
  /** Fraction of the calls to send here; 0 for alternates, which are for when no home answers. */
  readonly weight: number;
}

/** Answer to a discovery request; the addresses are in order of preference. */
export interface EntryAnswer {
  readonly service: string;
  readonly region: string;
  /** How long the caller may cache the answer, in milliseconds. */
  readonly ttl: number;
  readonly entries: readonly EntryChoice[];
}

const MAX_ALTERNATES = 2;

/** Lists the entries for a service. Suspected entries come last; stopping entries are left out. */
export function answerDiscovery(runtime: ServiceRuntime, ttl: number): EntryAnswer {
  const { region, plan } = runtime.placement;
  const createCandidate = (role: EntryChoice['role'], weight: number) => (member: Member) => ({
    ...{ address: member.callers, domain: member.domain, role, weight },
    suspect: member.state === 'suspect',
  });
  const candidates = [
    ...plan.homes.map(createCandidate('home', 1 / plan.homes.length)),
    ...plan.alternates.slice(0, MAX_ALTERNATES).map(createCandidate('alternate', 0)),
  ];
  const ordered = [
    ...candidates.filter(({ suspect }) => !suspect),
    ...candidates.filter(({ suspect }) => suspect),
  ];
  return {
    ...{ service: runtime.service.name, region, ttl },
    entries: ordered.map(({ suspect: _suspect, ...choice }) => choice),
  };
}
