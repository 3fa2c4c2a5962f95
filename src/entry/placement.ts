/** Where the calls of a service go: its homes among the entries, seen from this entry. */
import { type HomePlan, planHomes, parseRegion } from '../balance/index.js';
import type { Service } from '../config/index.js';
import type { Member } from '../peer/index.js';
import type { Vm } from '../platform/index.js';

/** The homes of a service, and whether this entry is one of them. */
export interface Placement {
  readonly region: string;
  readonly plan: HomePlan<Member>;
  readonly isHome: boolean;
  /** Whether each home uses only its share of the targets. */
  readonly sharesTargets: boolean;
}

/** Returns the VMs that are targets of a pool by role. */
export function listVmsInRole(vms: readonly Vm[], role: string): readonly Vm[] {
  return role === '' ? [] : vms.filter((vm) => vm.role === role);
}

/**
 * Chooses the region whose entries are homes: this entry's own when the service has targets there
 * or nowhere; else one that has both targets and entries, the same in every entry.
 */
function chooseRegion(service: Service, { ownRegion, vms, candidates }: PlacementInputs): string {
  const roles = new Set(service.pools.map(({ role }) => role).filter((role) => role !== ''));
  const regions = new Set<string>();
  for (const vm of vms) {
    if (vm.state === 'live' && roles.has(vm.role)) regions.add(parseRegion(vm.domain));
  }
  if (regions.size === 0 || regions.has(ownRegion)) return ownRegion;
  const regionsWithEntries = new Set(candidates.map(({ domain }) => parseRegion(domain)));
  return [...regions].sort().find((region) => regionsWithEntries.has(region)) ?? ownRegion;
}

/** What placing needs to see. */
export interface PlacementInputs {
  /** Region of this entry. */
  readonly ownRegion: string;
  readonly selfId: string;
  readonly vms: readonly Vm[];
  /** Live and suspected entries. */
  readonly candidates: readonly Member[];
  /** Homes that the measured load of a service needs. */
  readonly countNeededHomes: (service: string) => number;
  /** Makes every entry a home that uses every target: the baseline that homes are measured against. */
  readonly makesAllHomes: boolean;
}

/** Places a service. */
export function placeService(service: Service, inputs: PlacementInputs): Placement {
  const region = chooseRegion(service, inputs);
  if (inputs.makesAllHomes) {
    const plan = { homes: inputs.candidates, alternates: [] };
    return { region, plan, isHome: true, sharesTargets: false };
  }
  const local = inputs.candidates.filter(({ domain }) => parseRegion(domain) === region);
  const { name, homes, expected_rate } = service;
  const need = { name, homes, expected_rate, needed: inputs.countNeededHomes(name) };
  const plan = planHomes(need, local.length > 0 ? local : inputs.candidates);
  const isHome = plan.homes.some(({ id }) => id === inputs.selfId);
  return { region, plan, isHome, sharesTargets: isHome };
}
