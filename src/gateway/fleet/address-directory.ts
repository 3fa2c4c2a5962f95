/** Answers the lookups of callers: which addresses to use, and for how long. */
import { type Address, type Random, formatAddress } from '../../kernel/index.js';
import type { Roster } from '../../peering/index.js';
import type { ResolveQuery } from '../../platform/index.js';
import type { GatewaySettings } from '../settings.js';
import { chooseHomes } from './address-choice.js';
import type { FleetRole } from './fleet-role.js';

/** Options of the directory. */
export interface AddressDirectoryOptions {
  readonly roster: Roster;
  readonly fleetRole: Pick<FleetRole, 'isNew'>;
  readonly random: Random;
  /** Where callers connect to this daemon. */
  readonly ownAddress: Address;
  readonly findRegion: (domain: string) => string | undefined;
  /** Whether this daemon serves callers. */
  readonly isReady: () => boolean;
  readonly readSettings: () => Pick<GatewaySettings, 'promises' | 'tuning'>;
}

/** Longest time for which callers are told to cache an answer. Some keep it three times as long. */
const MAX_ANSWER_TTL_MS = 5000;

/**
 * Cache time for callers while this daemon doesn't know all the others yet. After a restart of many
 * daemons, the first one that is ready knows only itself. With the usual time, all callers of those
 * seconds would stay with it, and it would queue most of their requests until they are late.
 */
const UNSETTLED_ANSWER_TTL_MS = 1000;

/** The directory of one daemon. */
export class AddressDirectory {
  /** Lookups since the start. */
  lookups = 0;

  constructor(private readonly options: AddressDirectoryOptions) {}

  /** Lists the addresses for a caller; empty while this daemon knows none. */
  listAddresses({ domain, region }: ResolveQuery): readonly string[] {
    const { roster, random, ownAddress, findRegion, isReady } = this.options;
    this.lookups += 1;
    const homes = roster.listHomes();
    // A caller is not sent to another region while its own region has a home.
    const local = homes.filter((home) => findRegion(home.domain) === region);
    const chosen = chooseHomes(local.length > 0 ? local : homes, domain, random);
    if (chosen.length > 0) return chosen.map(({ ip }) => `${ip}:${ownAddress.port}`);
    return isReady() ? [formatAddress(ownAddress)] : [];
  }

  /** Returns for how long callers may cache the answer, in milliseconds. */
  readAnswerTtl(): number {
    const { roster, fleetRole, readSettings } = this.options;
    const { promises, tuning } = readSettings();
    const usualTtl = Math.min(MAX_ANSWER_TTL_MS, promises.answer_ttl * 1000);
    const hasTooFewHomes = roster.listHomes().length < Math.min(tuning.homes, roster.size);
    return fleetRole.isNew || hasTooFewHomes
      ? Math.min(usualTtl, UNSETTLED_ANSWER_TTL_MS)
      : usualTtl;
  }
}
