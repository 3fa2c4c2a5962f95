/**
 * Finds out whether this daemon is partitioned from the targets of a service, or from all targets,
 * by the connections of its calls and by checks of its own.
 */
import { REACH_DECISION_INTERVAL_MS } from '../../balance/index.js';
import type { Clock, Log, Random, TextMetrics } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetService } from './target-service.js';

/** Options of the monitor. */
export interface ReachMonitorOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: TextMetrics;
  readonly listServices: () => readonly TargetService[];
  /** Counts the other daemons that reach no target. */
  readonly countPartitionedPeers: () => number;
}

/**
 * Services checked per decision at most. A partition from hundreds of services is found within a
 * second or two, without a burst of connections.
 */
const MAX_CHECKS_PER_DECISION = 8;

/**
 * Checks that another daemon's partition causes start up to this much later, so that not all
 * daemons check at once.
 */
const MAX_CHECK_DELAY_MS = 200;

/** Other targets that are tried when one has refused a connection. */
const MAX_CONFIRMING_TARGETS = 3;

/** Draws a first item; returns all items in their order, beginning with it. */
function drawRotation<T>(items: readonly T[], random: Random): readonly T[] {
  const start = Math.floor(random.next() * items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}

/** Monitors the connections of one daemon. */
export class ReachMonitor {
  /** Since when calls of a service have been in flight without a break. */
  readonly #inFlightSince = new Map<TargetService, number>();

  #partitionedAt: number | undefined;

  #lastPartitionedAt = -Infinity;

  #partitionedPeers = 0;

  /** When all services are checked because of another daemon; Infinity when they are not. */
  #checkAllAt = Infinity;

  /** The service at which the next decision begins. */
  #nextIndex = 0;

  /** Checks started since the start. */
  checks = 0;

  constructor(private readonly options: ReachMonitorOptions) {}

  /** Whether this daemon reaches no target of any service. */
  get isPartitioned(): boolean {
    return this.#partitionedAt !== undefined;
  }

  /** Time since this daemon last reached no target, in milliseconds; Infinity if it always did. */
  readTimeSincePartition(): number {
    return this.isPartitioned ? 0 : this.options.clock.now() - this.#lastPartitionedAt;
  }

  /** Records that a target answered or accepted a connection. */
  recordContact(service: TargetService): void {
    const now = this.options.clock.now();
    const lostTime = service.reach.readLostTime(now);
    if (service.reach.recordContact(now) === 'regained') {
      this.#handleRegained(service, lostTime);
    }
  }

  /** Records that a target accepted no connection. */
  recordFailure(service: TargetService, target: GatewayTarget): void {
    service.reach.recordFailure(target.record.incarnation);
  }

  /** Decides on checks and runs them until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleep(REACH_DECISION_INTERVAL_MS, signal);
      this.#observePeers();
      this.#startDueChecks();
      this.#updatePartition();
    }
  }

  /**
   * Whether a target other than the given one accepts a connection now. A refused connection shows
   * that a target has ended only if this daemon reaches others; without any others it has to do.
   */
  async confirmReach(refusing: GatewayTarget): Promise<boolean> {
    const others = this.#drawConfirmingTargets(refusing);
    if (others.length === 0) return true;
    const states = await Promise.all(others.map((target) => target.connections.checkListening()));
    return states.includes('somebody');
  }

  /** Draws targets of several services, if possible: those of one service may all have ended. */
  #drawConfirmingTargets(refusing: GatewayTarget): readonly GatewayTarget[] {
    const services = drawRotation(this.options.listServices(), this.options.random);
    const drawn = new Set<GatewayTarget>();
    for (const count of [1, MAX_CONFIRMING_TARGETS]) {
      for (const service of services) {
        if (drawn.size >= MAX_CONFIRMING_TARGETS) break;
        for (const target of this.#drawTargets(service, count, refusing)) drawn.add(target);
      }
    }
    return [...drawn].slice(0, MAX_CONFIRMING_TARGETS);
  }

  /** Schedules checks of all services when another daemon has lost its targets. */
  #observePeers(): void {
    const { clock, random, listServices, countPartitionedPeers } = this.options;
    const now = clock.now();
    const peers = countPartitionedPeers();
    if (peers > this.#partitionedPeers && this.#checkAllAt === Infinity) {
      this.#checkAllAt = now + random.next() * MAX_CHECK_DELAY_MS;
    }
    this.#partitionedPeers = peers;
    if (now < this.#checkAllAt) return;
    this.#checkAllAt = Infinity;
    this.#requestChecks(listServices());
  }

  #startDueChecks(): void {
    const { clock, listServices } = this.options;
    const now = clock.now();
    const services = listServices();
    let started = 0;
    const first = this.#nextIndex;
    for (let step = 0; step < services.length; step += 1) {
      const index = (first + step) % services.length;
      const service = services[index];
      const targetCount = service.targets.size;
      const inFlightSince = this.#updateInFlight(service, now);
      if (targetCount === 0 || !service.reach.isCheckDue(now, targetCount, inFlightSince)) continue;
      if (started >= MAX_CHECKS_PER_DECISION) {
        this.#nextIndex = index;
        return;
      }
      started += 1;
      this.#check(service).catch(() => undefined);
    }
  }

  #updateInFlight(service: TargetService, now: number): number | undefined {
    if (!service.hasCallInFlight) {
      this.#inFlightSince.delete(service);
      return undefined;
    }
    const since = this.#inFlightSince.get(service) ?? now;
    this.#inFlightSince.set(service, since);
    return since;
  }

  async #check(service: TargetService): Promise<void> {
    const { clock } = this.options;
    if (service.countUsable() === 0) return;
    const targets = this.#drawTargets(service, service.reach.recordCheckStart(clock.now()));
    this.checks += 1;
    await Promise.all(targets.map((target) => target.connections.checkListening()));
    const change = service.reach.recordCheckEnd(clock.now(), service.countUsable());
    if (change === 'lost') this.#handleLost(service);
  }

  #drawTargets(
    service: TargetService,
    count: number,
    excluded?: GatewayTarget,
  ): readonly GatewayTarget[] {
    const usable = [...service.targets.values()].filter(
      (target) => target.isUsable && target !== excluded,
    );
    return drawRotation(usable, this.options.random).slice(0, count);
  }

  #requestChecks(services: readonly TargetService[]): void {
    for (const service of services) service.reach.requestCheck();
  }

  #handleLost(service: TargetService): void {
    const { clock, log, metrics, listServices } = this.options;
    const now = clock.now();
    const contactAge = service.reach.readContactAge(now);
    log.warn('targets.lost', {
      ...{ service: service.name, targets: service.countUsable() },
      failed: service.reach.failedTargets,
      ...{ contact_age: Number.isFinite(contactAge) ? Math.round(contactAge) : 'never' },
    });
    metrics.count('targets_lost', { service: service.name });
    this.#requestChecks(listServices().filter((other) => !other.reach.isLost(now)));
    service.announceLost();
  }

  #handleRegained(service: TargetService, lostTime: number): void {
    const { log, listServices, clock } = this.options;
    log.info('targets.regained', { service: service.name, after: Math.round(lostTime) });
    const now = clock.now();
    this.#requestChecks(listServices().filter((other) => other.reach.isLost(now)));
    service.clearFailures();
  }

  #updatePartition(): void {
    const { clock, log, listServices } = this.options;
    const now = clock.now();
    const isPartitioned = this.#hasLostAll(now);
    if (isPartitioned) this.#lastPartitionedAt = now;
    if (isPartitioned === this.isPartitioned) return;
    const lostTime = now - (this.#partitionedAt ?? now);
    this.#partitionedAt = isPartitioned ? now : undefined;
    if (isPartitioned) log.warn('daemon.partitioned', { services: listServices().length });
    else log.info('daemon.reconnected', { after: Math.round(lostTime) });
  }

  /** Usable targets are counted only while some service is lost: a fleet has thousands of them. */
  #hasLostAll(now: number): boolean {
    const services = this.options.listServices();
    if (!services.some(({ reach }) => reach.isLost(now))) return false;
    return services.every((service) => service.reach.isLost(now) || service.countUsable() === 0);
  }
}
