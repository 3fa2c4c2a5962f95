/** The answer to "which entry addresses do I use for this service". */
import type { Member } from '../peer/index.js';
import type { ServiceRuntime } from './service-runtime.js';

/** Path of the question on the callers' listener; the service's name is the query `service`. */
export const DISCOVERY_PATH = '/.well-known/orchidbeam/entries';

/** One address of the answer. */
export interface EntryChoice {
  readonly address: string;
  readonly domain: string;
  readonly role: 'home' | 'alternate';
  /** Share of the calls to send here; alternates have none while a home answers. */
  readonly weight: number;
}

/** The answer, in the order in which to use the addresses. */
export interface EntryAnswer {
  readonly service: string;
  readonly region: string;
  /** How long the answer may be kept, in milliseconds. */
  readonly ttl: number;
  readonly entries: readonly EntryChoice[];
}

const MAX_ALTERNATES = 2;

/** Answers for a service. Suspected entries come last; entries that are stopping are left out. */
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
