/**
 * Organisations: whose keys callers send, and how many requests each may make.
 *
 * Keys are known by their digests only, so that no copy of a configuration outside the platform's
 * store contains one.
 */

/** How many requests an organisation may make over all daemons together. */
export interface Quota {
  /** Requests per second. */
  readonly rate: number;
  /** Requests that it may make on top of the rate. */
  readonly burst: number;
}

/** An organisation, as operators configure it. */
export interface Organisation {
  readonly name: string;
  /** The rank of its requests, which goes before that of their route; 0 is the most urgent. */
  readonly priority: number;
  /** Undefined when the number of its requests is not limited. */
  readonly quota: Quota | undefined;
}

/** The organisations of one version of the configuration. */
export class OrganisationTable {
  readonly #byName: ReadonlyMap<string, Organisation>;

  /** @param byKeyDigest the holder of each key, by the digest of the key */
  constructor(
    organisations: readonly Organisation[],
    private readonly byKeyDigest: ReadonlyMap<string, Organisation>,
  ) {
    this.#byName = new Map(
      organisations.map((organisation) => [organisation.name, organisation] as const),
    );
  }

  /** Finds the organisation that holds a key. */
  findByKeyDigest(digest: string): Organisation | undefined {
    return this.byKeyDigest.get(digest);
  }

  /** Finds an organisation by its name. */
  findByName(name: string): Organisation | undefined {
    return this.#byName.get(name);
  }

  /** Lists the organisations in the order of the configuration. */
  list(): readonly Organisation[] {
    return [...this.#byName.values()];
  }
}
