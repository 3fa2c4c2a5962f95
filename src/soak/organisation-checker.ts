/**
 * Checks what callers and targets observed of organisations in a soak: whose name a target was
 * given, which keys were accepted, and how many requests of an organisation ran.
 */

/** A key that callers send, and the time for which the operators' configuration contains it. */
export interface KeyLifetime {
  readonly key: string;
  readonly organisation: string;
  readonly addedAt: number;
  removedAt: number;
}

/** The agreed limits of organisations. Times are in milliseconds. */
export interface OrganisationLimits {
  /** Time from a change of the configuration until every daemon applies it. */
  readonly applyTime: number;
  /** Requests a second and on top of that; an organisation without an entry is not limited. */
  readonly quotas: Readonly<Record<string, { readonly rate: number; readonly burst: number }>>;
  readonly window: number;
  readonly overshoot: number;
  readonly slack: number;
}

/** A request with a key, as its caller sent it. */
interface KeyedRequest {
  readonly id: string;
  readonly key: string;
  readonly sentAt: number;
  /** Status of the answer; undefined when there was none. */
  status: number | undefined;
}

interface KeyedRun {
  readonly id: string;
  readonly at: number;
  /** What the target was told of the organisation. */
  readonly organisation: string | undefined;
  /** Whether the target saw the key. */
  readonly hasKey: boolean;
}

/** A promise about organisations that was broken, and the observation that shows it. */
export interface OrganisationViolation {
  readonly promise: 'keys' | 'revoked keys' | 'quotas' | 'requests within the quota';
  readonly what: string;
}

/** Added to time limits, in milliseconds, because timers fire late on a busy machine. */
const TIMER_MARGIN_MS = 500;

const UNAUTHORISED = 401;
const OVER_QUOTA = 429;

/** Share of the requests within the quota that may be rejected because of it. */
const MAX_REJECTED_SHARE = 0.01;

/** Chance rejections right after a fault, which a share of few requests does not allow for. */
const REJECTED_SLACK = 5;

function countWithin(times: readonly number[], from: number, to: number): number {
  return times.filter((at) => at > from && at <= to).length;
}

/** Records what was observed of organisations, and lists the promises that it breaks. */
export class OrganisationChecker {
  readonly #requests = new Map<string, KeyedRequest>();

  readonly #runs: KeyedRun[] = [];

  readonly #keys = new Map<string, KeyLifetime>();

  #callersStartedAt = -Infinity;

  /** @param isFaultFree whether no fault was in force in a span of time or shortly before it */
  constructor(
    private readonly limits: OrganisationLimits,
    private readonly isFaultFree: (from: number, to: number) => boolean,
  ) {}

  /** Records that callers begin to send requests, shortly after all daemons were started. */
  recordCallersStart(at: number): void {
    this.#callersStartedAt = at;
  }

  /** Records that the configuration contains a key from now on. */
  recordKeyAdded(key: string, organisation: string, at: number): void {
    this.#keys.set(key, { key, organisation, addedAt: at, removedAt: Infinity });
  }

  /** Records that the configuration does not contain a key any more. */
  recordKeyRemoved(key: string, at: number): void {
    const lifetime = this.#keys.get(key);
    if (lifetime !== undefined) lifetime.removedAt = at;
  }

  /** Records that a caller is about to send a request with a key. */
  recordRequest(id: string, key: string, sentAt: number): void {
    this.#requests.set(id, { id, key, sentAt, status: undefined });
  }

  /** Records the status of the answer to a request. */
  recordAnswer(id: string, status: number): void {
    const request = this.#requests.get(id);
    if (request !== undefined) request.status = status;
  }

  /** Records that a target ran a request. */
  recordRun(run: KeyedRun): void {
    this.#runs.push(run);
  }

  /** Lists the promises that the recorded observations break. */
  listViolations(): readonly OrganisationViolation[] {
    return [
      ...this.#checkNames(),
      ...this.#checkKeys(),
      ...this.#checkQuotas(),
      ...this.#checkRejections(),
    ];
  }

  #checkNames(): readonly OrganisationViolation[] {
    const violations: OrganisationViolation[] = [];
    for (const { id, organisation, hasKey } of this.#runs) {
      const key = this.#requests.get(id)?.key;
      const holder = key === undefined ? undefined : this.#keys.get(key)?.organisation;
      if (hasKey) violations.push({ promise: 'keys', what: `the target of ${id} saw the key` });
      if (organisation === holder) continue;
      violations.push({ promise: 'keys', what: `${id} of ${holder} ran as ${organisation}` });
    }
    return violations;
  }

  #checkKeys(): readonly OrganisationViolation[] {
    const violations: OrganisationViolation[] = [];
    const margin = this.limits.applyTime + TIMER_MARGIN_MS;
    const ran = new Set(this.#runs.map(({ id }) => id));
    for (const { id, key, sentAt, status } of this.#requests.values()) {
      const { addedAt = Infinity, removedAt = Infinity } = this.#keys.get(key) ?? {};
      const isLate = sentAt > removedAt + margin && this.isFaultFree(removedAt, sentAt);
      if (isLate && ran.has(id)) {
        violations.push({ promise: 'revoked keys', what: `${id} ran after its key was removed` });
      }
      const isHeld = sentAt > addedAt + margin && sentAt < removedAt - margin;
      if (status === UNAUTHORISED && isHeld && this.isFaultFree(addedAt, sentAt)) {
        violations.push({ promise: 'keys', what: `${id} was refused with a key in force` });
      }
    }
    return violations;
  }

  /** The sent times of the requests of each organisation that ran, and when each run began. */
  #listRuns(): ReadonlyMap<string, readonly { readonly sentAt: number; readonly at: number }[]> {
    const runs = new Map<string, { readonly sentAt: number; readonly at: number }[]>();
    for (const { id, at, organisation } of this.#runs) {
      const request = this.#requests.get(id);
      if (request === undefined || organisation === undefined) continue;
      const known = runs.get(organisation) ?? [];
      known.push({ sentAt: request.sentAt, at });
      runs.set(organisation, known);
    }
    return runs;
  }

  /** Counts the requests that were both sent and run in each window; faults excuse nothing. */
  #checkQuotas(): readonly OrganisationViolation[] {
    const { quotas, window, overshoot, slack } = this.limits;
    const violations: OrganisationViolation[] = [];
    for (const [organisation, runs] of this.#listRuns()) {
      const quota = quotas[organisation];
      if (quota === undefined) continue;
      const most = ((quota.rate * window) / 1000 + quota.burst) * (1 + overshoot) + slack;
      for (const { at: end } of runs) {
        const from = end - window;
        const count = runs.filter(({ sentAt, at }) => sentAt >= from && at <= end).length;
        if (count <= most) continue;
        violations.push({
          promise: 'quotas',
          what: `${count} of ${most} requests of ${organisation} in a window`,
        });
        break;
      }
    }
    return violations;
  }

  /**
   * An organisation that sends half of its quota at most must hardly ever be rejected for it. In the
   * first window the daemons have no tokens yet, as a daemon that has just started adds none.
   */
  #checkRejections(): readonly OrganisationViolation[] {
    const { quotas, window } = this.limits;
    const violations: OrganisationViolation[] = [];
    for (const [organisation, { rate, burst }] of Object.entries(quotas)) {
      const own = [...this.#requests.values()].filter(
        ({ key }) => this.#keys.get(key)?.organisation === organisation,
      );
      const sent = own.map(({ sentAt }) => sentAt);
      const most = ((rate * window) / 1000 + burst) / 2;
      const within = own.filter(
        ({ sentAt }) =>
          sentAt > this.#callersStartedAt + window &&
          countWithin(sent, sentAt - window, sentAt) <= most &&
          this.isFaultFree(sentAt - window, sentAt),
      );
      const rejected = within.filter(({ status }) => status === OVER_QUOTA).length;
      if (rejected <= MAX_REJECTED_SHARE * within.length + REJECTED_SLACK) continue;
      violations.push({
        promise: 'requests within the quota',
        what: `${rejected} of ${within.length} requests of ${organisation} were rejected`,
      });
    }
    return violations;
  }
}
