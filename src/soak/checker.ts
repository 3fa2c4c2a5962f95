/**
 * What callers, targets and the operators saw, and which promises that breaks. It knows nothing of
 * how the daemons work: only what was sent, answered and run, and when.
 */

/** How a caller's try ended. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly isSigned: boolean;
    }
  /** The connection closed after the request was sent, without a whole answer. */
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
  /** Whether its answer says that the target drains. */
  readonly saysDraining: boolean;
}

interface Rejection {
  readonly id: string;
  readonly target: string;
  readonly at: number;
  /** For how long the target wants nothing from the daemon, in milliseconds. */
  readonly backoff: number;
}

/** A promise that was broken, and what shows it. */
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
    | 'repeats';
  readonly what: string;
}

/** What was agreed with the operators. Times in milliseconds. */
export interface PromisedLimits {
  readonly drainTime: number;
  readonly applyTime: number;
  readonly probesPerSecond: number;
  readonly retryRatio: number;
  readonly retryWindow: number;
  readonly retrySlack: number;
}

/** After a fault has ended, promises with a time in them hold again after this long. */
const RECOVERY_MS = 3000;

/** Timers of a busy machine fire late; promises with a time in them are given this much more. */
const TIMER_MARGIN_MS = 500;

/** A request that crosses the close of its connection within this time was not read. */
const CLOSE_RACE_MS = 200;

/** A daemon takes some time to start again, or to wake, in milliseconds. */
const MAX_RESTART_MS = 8000;

/** A rejection is read within this time, in milliseconds; this many requests may come in the back-off all the same. */
const REJECTION_READ_MS = 500;
const MAX_REQUESTS_IN_BACKOFF = 2;

/** Probes are counted over this long. */
const PROBE_WINDOW_MS = 5000;

/** Statuses that promise that a request has not run and will not. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Writes the body that a target answers to a request. */
export function composeBody(id: string): string {
  return `${id} ${'x'.repeat(2000)} ${id}`;
}

/** Collects what was seen. */
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

  constructor(private readonly limits: PromisedLimits) {}

  recordRequest(request: Omit<CallerRequest, 'outcome'>): void {
    this.#requests.set(request.id, { ...request, outcome: undefined });
  }

  recordOutcome(id: string, outcome: RequestOutcome, at: number): void {
    const request = this.#requests.get(id);
    if (request !== undefined) request.outcome = { ...outcome, at };
  }

  recordRun(run: Run): void {
    this.#runs.push(run);
  }

  recordProbe(target: string, at: number): void {
    const times = this.#probes.get(target);
    if (times === undefined) this.#probes.set(target, [at]);
    else times.push(at);
  }

  /** A target rejected a request and asked for a back-off. */
  recordRejection(rejection: Rejection): void {
    this.#rejections.push(rejection);
  }

  /** A daemon is stopped, killed or frozen. */
  recordInterruption(daemon: number, at: number): void {
    this.#interruptions.push({ daemon, at });
  }

  /** The store holds from now on that a target leaves. */
  recordDrain(target: string, at: number): void {
    this.#drains.set(target, at);
  }

  /** A daemon was told to stop. */
  recordStop(daemon: number, at: number): void {
    this.#stops.push({ daemon, at });
  }

  /** The store holds from now on a configuration that sends the moving route to a service. */
  recordConfiguration(service: string, at: number): void {
    this.#configurations.push({ service, at });
  }

  /** Something was made to fail; promises with a time in them do not bind meanwhile. */
  recordFault(from: number, to: number): void {
    this.#faults.push({ from, to });
  }

  /** How many tries ended in which way. */
  countOutcomes(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { outcome } of this.#requests.values()) {
      const name =
        outcome?.kind === 'answered' ? String(outcome.status) : (outcome?.kind ?? 'open');
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }

  /** Lists the promises that what was seen breaks. */
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
    ];
  }

  /** Whether a daemon was stopped, killed or frozen in a span: what it was told before may be gone. */
  #isInterrupted(daemon: number, from: number, to: number): boolean {
    return this.#interruptions.some((it) => it.daemon === daemon && it.at >= from && it.at <= to);
  }

  /** Whether nothing was wrong from some time before a span to its end. */
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
          what: `${id} ran and was told ${outcome.status}`,
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

  /** What callers sent well after their daemon had passed on that a target drains never reaches that one from there. */
  #checkStatedDrains(): readonly Violation[] {
    const violations: Violation[] = [];
    const counts = new Map<string, number>();
    for (const { id } of this.#runs) counts.set(id, (counts.get(id) ?? 0) + 1);
    const reportedAt = new Map<string, number>();
    for (const { id, target, saysDraining } of this.#runs) {
      const request = this.#requests.get(id);
      if (!saysDraining || request?.outcome?.kind !== 'answered' || request.outcome.status !== 200)
        continue;
      // Of a request that ran twice nobody knows whose answer was passed on.
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
        what: `${id} ran at ${target} after it said so`,
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
        what: `${target} got ${laterArrivals.length} after ${id}`,
      });
    }
    return violations;
  }

  /** A planned stop cuts nothing that was sent before it or while callers could not know. */
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
          what: `${id} was cut ${outcome.at - at} ms after`,
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
            what: `${target} had over ${maxProbes} within ${PROBE_WINDOW_MS} ms`,
          },
        ];
      }
    }
    return [];
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
        { promise: 'repeats', what: `${repeatCount} for ${requestCount} requests before ${end}` },
      ];
    }
    return [];
  }
}
