/**
 * Checks what callers, targets and operators observed in a soak against the gateway's promises. It
 * knows nothing of how the daemons work: only what was sent, answered and run, and when.
 */

import {
  OrganisationChecker,
  type OrganisationLimits,
  type OrganisationViolation,
} from './organisation-checker.js';

/** How a caller's request ended; `left` means that the caller gave up. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly isSigned: boolean;
    }
  /** The connection closed after the request was sent, without a complete answer. */
  | { readonly kind: 'cut' }
  | { readonly kind: 'not-connected' }
  | { readonly kind: 'left' };

interface CallerRequest {
  readonly id: string;
  readonly isRepeatable: boolean;
  readonly daemon: number;
  readonly sentAt: number;
  outcome: (RequestOutcome & { readonly at: number }) | undefined;
}

interface Run {
  readonly id: string;
  readonly target: string;
  readonly service: string;
  readonly at: number;
  /** Whether the target's answer says that it is draining. */
  readonly saysDraining: boolean;
}

interface Rejection {
  readonly id: string;
  readonly target: string;
  readonly at: number;
  /** How long the target asks the daemon to send nothing, in milliseconds. */
  readonly backoff: number;
}

/** A promise that was broken, and the observation that shows it. */
export interface Violation {
  readonly promise:
    | 'own and whole answers'
    | 'true refusals'
    | 'at most once'
    | 'leaving targets'
    | 'stated drains'
    | 'back-offs'
    | 'planned stops'
    | 'configuration in force'
    | 'probes'
    | 'repeats'
    | 'recovery'
    | OrganisationViolation['promise'];
  readonly what: string;
}

/**
 * The limits that the gateway's settings promise. Times are in milliseconds, `probesPerSecond` is
 * per target, and `retryRatio` is the share of requests that may be repeated in a window, beyond
 * `retrySlack`.
 */
export interface PromisedLimits {
  readonly drainTime: number;
  readonly applyTime: number;
  readonly probesPerSecond: number;
  readonly retryRatio: number;
  readonly retryWindow: number;
  readonly retrySlack: number;
  /** Time in which service is back after all daemons were lost at once. */
  readonly recoveryTime: number;
}

/**
 * Time to recover after a fault, in milliseconds, before promises with a time limit apply again.
 */
const RECOVERY_MS = 3000;

/** Added to time limits, in milliseconds, because timers fire late on a busy machine. */
const TIMER_MARGIN_MS = 500;

/**
 * A request sent this shortly before its connection closes, in milliseconds, may not have been
 * read.
 */
const CLOSE_RACE_MS = 200;

/** Time that a daemon may take to restart or resume, in milliseconds. */
const MAX_RESTART_MS = 8000;

/**
 * Time in which a daemon has read a rejection, in milliseconds, and the number of requests that it
 * may still send to the target during the back-off.
 */
const REJECTION_READ_MS = 500;
const MAX_REQUESTS_IN_BACKOFF = 2;

/** The window in which probes are counted, in milliseconds. */
const PROBE_WINDOW_MS = 5000;

/** The smallest share of the requests that counts as service. */
const MIN_SERVED_SHARE = 0.95;

/** Statuses that promise that a request has not run and will not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const USUAL_BODY_LENGTH = 2000;

/** Answers to requests whose id ends like this are longer than what a daemon buffers. */
const LONG_BODY_SUFFIX = '9';
const LONG_BODY_LENGTH = 300_000;

/**
 * Composes the body with which a target answers a request; the id at both ends exposes mixed-up and
 * incomplete answers.
 */
export function composeBody(id: string): string {
  const length = id.endsWith(LONG_BODY_SUFFIX) ? LONG_BODY_LENGTH : USUAL_BODY_LENGTH;
  return `${id} ${'x'.repeat(length)} ${id}`;
}

/** Records what was observed in a soak, and lists the promises that it breaks. */
export class SoakChecker {
  readonly #requests = new Map<string, CallerRequest>();

  readonly #runs: Run[] = [];

  readonly #probes = new Map<string, number[]>();

  readonly #drains = new Map<string, number>();

  readonly #rejections: Rejection[] = [];

  readonly #interruptions: { readonly daemon: number; readonly at: number }[] = [];

  readonly #stops: { readonly daemon: number; readonly at: number }[] = [];

  readonly #configurations: { readonly service: string; readonly at: number }[] = [];

  readonly #faults: { readonly from: number; readonly to: number }[] = [];

  #allLostAt: number | undefined;

  /** Undefined when requests need no keys. */
  readonly organisations: OrganisationChecker | undefined;

  constructor(
    private readonly limits: PromisedLimits,
    organisationLimits?: OrganisationLimits,
  ) {
    this.organisations =
      organisationLimits &&
      new OrganisationChecker(organisationLimits, (from, to) => this.#isFaultFree(from, to));
  }

  /** Records that a caller is about to send a request. */
  recordRequest(request: Omit<CallerRequest, 'outcome'>): void {
    this.#requests.set(request.id, { ...request, outcome: undefined });
  }

  /** Records how a request ended for its caller. */
  recordOutcome(id: string, outcome: RequestOutcome, at: number): void {
    if (outcome.kind === 'answered') this.organisations?.recordAnswer(id, outcome.status);
    const request = this.#requests.get(id);
    if (request !== undefined) request.outcome = { ...outcome, at };
  }

  /** Records that a target ran a request. */
  recordRun(run: Run): void {
    this.#runs.push(run);
  }

  /** Records that a target received a health check. */
  recordProbe(target: string, at: number): void {
    const times = this.#probes.get(target);
    if (times === undefined) this.#probes.set(target, [at]);
    else times.push(at);
  }

  /** Records that a target rejected a request and asked for a back-off. */
  recordRejection(rejection: Rejection): void {
    this.#rejections.push(rejection);
  }

  /** Records that a daemon was stopped, killed or frozen. */
  recordInterruption(daemon: number, at: number): void {
    this.#interruptions.push({ daemon, at });
  }

  /** Records that the store says from now on that a target is draining. */
  recordDrain(target: string, at: number): void {
    this.#drains.set(target, at);
  }

  /** Records that a daemon was asked to stop. */
  recordStop(daemon: number, at: number): void {
    this.#stops.push({ daemon, at });
  }

  /**
   * Records that the store holds from now on a configuration that routes `/moving/` to a service.
   */
  recordConfiguration(service: string, at: number): void {
    this.#configurations.push({ service, at });
  }

  /** Records a fault; promises with a time limit don't apply while it lasts. */
  recordFault(from: number, to: number): void {
    this.#faults.push({ from, to });
  }

  /** Records that all daemons were killed at once; no other fault follows. */
  recordLossOfAll(at: number): void {
    this.#allLostAt = at;
  }

  /** Counts the requests by outcome: the status of the answer, or the kind of failure. */
  countOutcomes(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { outcome } of this.#requests.values()) {
      const name =
        outcome?.kind === 'answered' ? String(outcome.status) : (outcome?.kind ?? 'open');
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }

  /** Lists the promises that the recorded observations break. */
  listViolations(): readonly Violation[] {
    return [
      ...this.#checkAnswers(),
      ...this.#checkRuns(),
      ...this.#checkDrains(),
      ...this.#checkStatedDrains(),
      ...this.#checkBackoffs(),
      ...this.#checkStops(),
      ...this.#checkConfiguration(),
      ...this.#checkProbes(),
      ...this.#checkRepeats(),
      ...this.#checkRecovery(),
      ...(this.organisations?.listViolations() ?? []),
    ];
  }

  /**
   * Whether a daemon was stopped, killed or frozen in a span of time: it may have lost what it
   * learned before.
   */
  #isInterrupted(daemon: number, from: number, to: number): boolean {
    return this.#interruptions.some((it) => it.daemon === daemon && it.at >= from && it.at <= to);
  }

  /** Whether no fault was in force in a span of time or shortly before it. */
  #isFaultFree(from: number, to: number): boolean {
    return this.#faults.every((fault) => fault.from > to || fault.to + RECOVERY_MS < from);
  }

  #checkAnswers(): readonly Violation[] {
    const violations: Violation[] = [];
    for (const { id, outcome } of this.#requests.values()) {
      if (outcome?.kind !== 'answered' || outcome.status !== 200) continue;
      if (outcome.isSigned && outcome.body === composeBody(id)) continue;
      violations.push({
        promise: 'own and whole answers',
        what: `${id} got ${outcome.body.slice(0, 40)}`,
      });
    }
    return violations;
  }

  #checkRuns(): readonly Violation[] {
    const violations: Violation[] = [];
    const counts = new Map<string, number>();
    for (const { id } of this.#runs) counts.set(id, (counts.get(id) ?? 0) + 1);
    for (const [id, count] of counts) {
      const request = this.#requests.get(id);
      if (request === undefined || request.isRepeatable) continue;
      if (count > 1) violations.push({ promise: 'at most once', what: `${id} ran ${count} times` });
      const { outcome } = request;
      if (outcome?.kind === 'answered' && NOT_RUN_STATUSES.has(outcome.status)) {
        violations.push({
          promise: 'true refusals',
          what: `${id} ran but was answered ${outcome.status}`,
        });
      }
    }
    return violations;
  }

  #checkDrains(): readonly Violation[] {
    const violations: Violation[] = [];
    for (const { id, target, at } of this.#runs) {
      const drainedAt = this.#drains.get(target) ?? Infinity;
      const delay = at - drainedAt - this.limits.drainTime;
      if (delay <= TIMER_MARGIN_MS || !this.#isFaultFree(drainedAt, at)) continue;
      violations.push({
        promise: 'leaving targets',
        what: `${id} ran at ${target} ${delay} ms late`,
      });
    }
    return violations;
  }

  /**
   * Requests that were sent well after their daemon forwarded a target's draining report must not
   * reach that target from this daemon.
   */
  #checkStatedDrains(): readonly Violation[] {
    const violations: Violation[] = [];
    const counts = new Map<string, number>();
    for (const { id } of this.#runs) counts.set(id, (counts.get(id) ?? 0) + 1);
    const reportedAt = new Map<string, number>();
    for (const { id, target, saysDraining } of this.#runs) {
      const request = this.#requests.get(id);
      if (!saysDraining || request?.outcome?.kind !== 'answered' || request.outcome.status !== 200)
        continue;
      // When a request ran twice, it is unknown which run's answer was forwarded.
      if (counts.get(id) !== 1) continue;
      const key = `${request.daemon} ${target}`;
      reportedAt.set(key, Math.min(reportedAt.get(key) ?? Infinity, request.outcome.at));
    }
    for (const { id, target, at } of this.#runs) {
      const request = this.#requests.get(id);
      const drainReportedAt = reportedAt.get(`${request?.daemon} ${target}`) ?? Infinity;
      if (request === undefined || request.sentAt <= drainReportedAt + this.limits.drainTime)
        continue;
      if (this.#isInterrupted(request.daemon, drainReportedAt - MAX_RESTART_MS, at)) continue;
      violations.push({
        promise: 'stated drains',
        what: `${id} ran at ${target} after its draining report was forwarded`,
      });
    }
    return violations;
  }

  #checkBackoffs(): readonly Violation[] {
    const violations: Violation[] = [];
    const arrivals = [...this.#runs, ...this.#rejections];
    for (const { id, target, at, backoff } of this.#rejections) {
      const daemon = this.#requests.get(id)?.daemon ?? -1;
      const until = at + backoff;
      if (!this.#isFaultFree(at, until) || this.#isInterrupted(daemon, at - MAX_RESTART_MS, until))
        continue;
      const laterArrivals = arrivals.filter(
        (it) =>
          it.target === target &&
          it.at > at + REJECTION_READ_MS &&
          it.at < until &&
          this.#requests.get(it.id)?.daemon === daemon,
      );
      if (laterArrivals.length <= MAX_REQUESTS_IN_BACKOFF) continue;
      violations.push({
        promise: 'back-offs',
        what: `${target} got ${laterArrivals.length} requests in the back-off after ${id}`,
      });
    }
    return violations;
  }

  /**
   * A planned stop must not cut requests that were sent before it, or so soon after it that callers
   * could not know.
   */
  #checkStops(): readonly Violation[] {
    const violations: Violation[] = [];
    for (const { daemon, at } of this.#stops) {
      for (const { id, daemon: requestDaemon, sentAt, outcome } of this.#requests.values()) {
        if (
          requestDaemon !== daemon ||
          outcome?.kind !== 'cut' ||
          outcome.at < at ||
          sentAt > outcome.at
        )
          continue;
        if (sentAt > at + this.limits.drainTime || !this.#isFaultFree(sentAt, outcome.at)) continue;
        const hasRun = this.#runs.some((run) => run.id === id);
        if (!hasRun && outcome.at - sentAt <= CLOSE_RACE_MS) continue;
        violations.push({
          promise: 'planned stops',
          what: `${id} was cut ${outcome.at - at} ms after the stop`,
        });
      }
    }
    return violations;
  }

  #checkConfiguration(): readonly Violation[] {
    const violations: Violation[] = [];
    for (const { id, service, at } of this.#runs) {
      const request = this.#requests.get(id);
      if (request === undefined || !id.startsWith('moving')) continue;
      const isAllowed = this.#configurations.some((configuration, index) => {
        const next = this.#configurations[index + 1]?.at ?? Infinity;
        const isStored = configuration.at <= at;
        const isInForce = request.sentAt <= next + this.limits.applyTime + TIMER_MARGIN_MS;
        return configuration.service === service && isStored && isInForce;
      });
      if (isAllowed || !this.#isFaultFree(request.sentAt - this.limits.applyTime, at)) continue;
      violations.push({ promise: 'configuration in force', what: `${id} went to ${service}` });
    }
    return violations;
  }

  #checkProbes(): readonly Violation[] {
    const maxProbes = (this.limits.probesPerSecond * PROBE_WINDOW_MS) / 1000;
    for (const [target, times] of this.#probes) {
      for (const [index, at] of times.entries()) {
        const earlier = times[index - Math.ceil(maxProbes)] ?? -Infinity;
        if (at - earlier >= PROBE_WINDOW_MS) continue;
        return [
          {
            promise: 'probes',
            what: `${target} had over ${maxProbes} probes within ${PROBE_WINDOW_MS} ms`,
          },
        ];
      }
    }
    return [];
  }

  #checkRecovery(): readonly Violation[] {
    if (this.#allLostAt === undefined) return [];
    const since = this.#allLostAt + this.limits.recoveryTime;
    const finished = [...this.#requests.values()].filter(
      ({ sentAt, outcome }) => sentAt > since && outcome !== undefined && outcome.kind !== 'left',
    );
    const served = finished.filter(
      ({ outcome }) => outcome?.kind === 'answered' && outcome.status === 200,
    );
    if (finished.length > 0 && served.length / finished.length >= MIN_SERVED_SHARE) return [];
    return [
      {
        promise: 'recovery',
        what: `${served.length} of ${finished.length} requests were served after all daemons were lost`,
      },
    ];
  }

  #checkRepeats(): readonly Violation[] {
    const { retryRatio, retryWindow, retrySlack } = this.limits;
    const seen = new Set<string>();
    const repeats: number[] = [];
    for (const { id, at } of this.#runs) {
      if (seen.has(id)) repeats.push(at);
      seen.add(id);
    }
    const sentTimes = [...this.#requests.values()]
      .map(({ sentAt }) => sentAt)
      .sort((a, b) => a - b);
    const count = (times: readonly number[], from: number, to: number) =>
      times.filter((at) => at > from && at <= to).length;
    for (const end of repeats) {
      const requestCount = Math.max(
        ...[0, 0.5, 1].map((windowsBack) => {
          const to = end - windowsBack * retryWindow;
          return count(sentTimes, to - retryWindow, to);
        }),
      );
      const repeatCount = count(repeats, end - retryWindow, end);
      if (repeatCount <= retryRatio * requestCount + retrySlack) continue;
      return [
        {
          promise: 'repeats',
          what: `${repeatCount} repeats for ${requestCount} requests before ${end} ms`,
        },
      ];
    }
    return [];
  }
}
