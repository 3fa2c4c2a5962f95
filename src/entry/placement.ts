/** Placement of a service: which entries are its homes, computed by each entry for itself. */
import { type HomePlan, planHomes, parseRegion } from '../balance/index.js';
import type { Service } from '../config/index.js';
import type { Member } from '../peer/index.js';
import type { Vm } from '../platform/index.js';

/** The homes of a service, and whether this entry is one of them. */
export interface Placement {
  /** Region whose entries are the homes. */
  readonly region: string;
  readonly plan: HomePlan<Member>;
  readonly isHome: boolean;
  /** Whether this entry is a home that uses only its assigned part of the targets. */
  readonly sharesTargets: boolean;
}

/** Returns the VMs with a role; none for the empty role. */
export function listVmsInRole(vms: readonly Vm[], role: string): readonly Vm[] {
  return role === '' ? [] : vms.filter((vm) => vm.role === role);
}

/**
 * Chooses the region whose entries are homes: the region of this entry if the service has targets
 * there or in no region at all. Otherwise the first region by name that has both targets and
 * entries; the order makes every entry choose the same one.
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

/** Inputs of {@link placeService}. */
export interface PlacementInputs {
  /** Region of this entry. */
  readonly ownRegion: string;
  readonly selfId: string;
  readonly vms: readonly Vm[];
  /** Entries that can be homes: live and suspected ones. */
  readonly candidates: readonly Member[];
  /** Returns how many homes the measured load of a service needs. */
  readonly countNeededHomes: (service: string) => number;
  /** Makes every entry a home that uses every target; the baseline to compare homes with. */
  readonly makesAllHomes: boolean;
}

/** Computes the placement of a service. */
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
