/**
 * Registry of poison requests in one daemon. It combines what the daemon's own requests observed,
 * reports of other daemons and cases kept in the platform's store, and logs and counts them for
 * engineers on call.
 *
 * What one daemon observes is sent to the homes at once, and again with every reply for a while,
 * because datagrams get lost. Cases that are held out go with every reply, so that a daemon that
 * starts knows them before it serves. They are kept in the store as well, for a fleet that loses
 * all power.
 */
import {
  type PoisonCase,
  PoisonRecord,
  type PoisonContext,
  type PoisonDecision,
} from '../../balance/index.js';
import type { Clock, Log, TextMetrics } from '../../kernel/index.js';
import type { PoisonReport } from '../../peering/index.js';
import type { StoredPoisonRequest } from '../learned-state.js';
import type { RequestIdentity } from './request-identity.js';
import { type GatewayTarget, readRelease } from '../targets/target.js';
import type { TargetService } from '../targets/target-service.js';

/** Dependencies of the registry. */
export interface PoisonRegistryOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
  /**
   * Whether this daemon runs the trials of requests that are held out, that is, sent to no target.
   * Only one daemon does, so that a trial ends only one target.
   */
  readonly mayRunTrials: () => boolean;
  /** Sends reports to the homes. */
  readonly send: (reports: readonly PoisonReport[]) => void;
}

/** A request that is checked against the registry. */
export interface IdentifiedRequest {
  readonly id: string;
  readonly service: TargetService;
  readonly identity: RequestIdentity;
}

/** A request whose attempt was lost. */
export interface LostRequest {
  readonly id: string;
  readonly route: { readonly name: string };
  readonly service: TargetService;
  readonly path: string;
  /** Its fingerprints, the narrowest first. */
  readonly fingerprints: readonly string[];
}

/** When an attempt started and was lost, in milliseconds on the kernel's clock. */
export interface LossTimes {
  readonly startedAt: number;
  readonly lostAt: number;
}

/**
 * How long a changed case goes with every reply, in milliseconds: some polls of each daemon,
 * because datagrams get lost.
 */
const ANNOUNCE_TIME_MS = 1500;

/** Most reports in one reply, of some 80 bytes each, so that it fits into one network packet. */
const MAX_HELD_PER_REPLY = 4;
const MAX_CHANGED_PER_REPLY = 6;

/** Most reports in a message that carries nothing else. */
const MAX_REPORTS_PER_MESSAGE = 12;

/**
 * Reports within this time share a message, in milliseconds: a target that ends takes several
 * requests with it.
 */
const BATCH_DELAY_MS = 2;

/** Most requests that are kept in the store. */
const MAX_STORED_CASES = 64;

/** The registry of one daemon. */
export class PoisonRegistry {
  readonly #record = new PoisonRecord();

  /** Until when each changed case goes with every reply; the latest change is last. */
  readonly #announceUntil = new Map<string, number>();

  /** Requests whose cases are to be sent to the homes. */
  readonly #unsent = new Set<string>();

  /** Position at which the next reply continues the list of cases that are held out. */
  #nextHeld = 0;

  constructor(private readonly options: PoisonRegistryOptions) {}

  /** Decides whether and how a request may be sent. */
  check(request: IdentifiedRequest): PoisonDecision {
    if (!this.#mayHaveCase(request)) return { kind: 'clear' };
    const context = this.#createContext(request.service);
    return request.identity.fingerprints
      .map((fingerprint) => this.#record.judge(fingerprint, context))
      .reduce(joinDecisions);
  }

  /** Records that a suspect, a request under which a target has ended, is sent to a target. */
  recordStart({ id, identity }: IdentifiedRequest, target: GatewayTarget): void {
    for (const fingerprint of identity.fingerprints) this.#record.start(fingerprint);
    const { incarnation, release } = target.record;
    const [request] = identity.fingerprints;
    this.options.log.info('poison.tried', { id, request, target: incarnation, release });
  }

  /** Records that an attempt of a suspect has ended. */
  recordFinish({ identity }: IdentifiedRequest): void {
    for (const fingerprint of identity.fingerprints) this.#record.finish(fingerprint);
  }

  /**
   * Records that a target ended while it ran a request.
   *
   * A wider fingerprint counts each narrower one once, so that one request does not blame all that
   * share its path. Also, a wider fingerprint counts an end only if the request was sent after its
   * last recorded end: when a failure takes several targets at once, each of them runs some request
   * for a popular path.
   */
  recordTargetEnd(
    request: LostRequest,
    target: GatewayTarget,
    { startedAt, lostAt }: LossTimes,
  ): void {
    const { log, metrics } = this.options;
    const { id, route, service, path, fingerprints } = request;
    const { record, hash } = target;
    const end = { target: hash, release: readRelease(record) };
    const blamed: PoisonCase[] = [];
    for (const [width, fingerprint] of fingerprints.entries()) {
      const previous = this.#record.findBlamed(fingerprint);
      if (width > 0 && previous !== undefined && startedAt <= previous.changedAt) break;
      // The end counts from the loss: an answer since then clears the request, even if the end is
      // detected later.
      blamed.push(this.#record.recordTargetEnd(fingerprint, end, lostAt));
      if (previous !== undefined) break;
    }
    for (const poisonCase of blamed) this.#announce(poisonCase);
    const maxEnded = Math.max(...blamed.map(({ ended }) => ended.length));
    metrics.count('target_ended_under', { service: service.name });
    const writeLine = maxEnded > 1 ? log.warn : log.info;
    writeLine('poison.suspected', {
      ...{ id, route: route.name, service: service.name, path },
      ...{ request: fingerprints[0], alike: fingerprints.at(-1) },
      ...{ target: record.incarnation, born: record.born, release: record.release },
      ...{ ran: Math.round(lostAt - startedAt), ended: maxEnded },
    });
  }

  /** Records that a target ran a request to its end, which clears it. */
  recordAnswer(request: IdentifiedRequest): void {
    if (!this.#mayHaveCase(request)) return;
    const { clock, log } = this.options;
    for (const fingerprint of request.identity.fingerprints) {
      const cleared = this.#record.recordAnswer(fingerprint, clock.now());
      if (cleared === undefined) continue;
      log.info('poison.cleared', { id: request.id, request: fingerprint });
      this.#announce(cleared);
    }
  }

  /** Receives reports of another daemon. */
  receive(from: string, reports: readonly PoisonReport[]): void {
    const { clock, log } = this.options;
    const now = clock.now();
    for (const { request, ended, releases, age } of reports) {
      const outcome = this.#record.receive({ request, ended, releases, changedAt: now - age }, now);
      // The sender does not know that the request was answered since; the next replies tell it.
      if (outcome === 'outdated') this.#announceUntil.set(request, now + ANNOUNCE_TIME_MS);
      if (outcome !== 'news') continue;
      this.#announceUntil.set(request, now + ANNOUNCE_TIME_MS);
      log.info('poison.heard', { from, request, ended: ended.length, age: Math.round(age) });
    }
  }

  /** Lists the reports that go with each reply to another daemon. */
  listReports(): readonly PoisonReport[] {
    if (this.#record.isEmpty) return [];
    const now = this.options.clock.now();
    const cases = new Map<string, PoisonCase>();
    for (const [request, until] of [...this.#announceUntil].reverse()) {
      const known = this.#record.findCase(request);
      if (known === undefined || until < now) this.#announceUntil.delete(request);
      else if (cases.size < MAX_CHANGED_PER_REPLY) cases.set(request, known);
    }
    for (const held of this.#pickHeld()) cases.set(held.request, held);
    return [...cases.values()].map((known) => createReport(known, now));
  }

  /** Number of requests that are held out. */
  get heldOutCount(): number {
    return this.#record.isEmpty ? 0 : this.#record.listHeldOut().length;
  }

  /**
   * Lists the cases for the store: of those that are held out, the ones that lost a target last.
   */
  listForStore(): readonly StoredPoisonRequest[] {
    if (this.#record.isEmpty) return [];
    const { clock } = this.options;
    const toWall = clock.wall() - clock.now();
    return this.#record
      .listHeldOut()
      .slice(-MAX_STORED_CASES)
      .map(({ request, ended, releases, changedAt }) => ({
        ...{ request, ended, releases, at: Math.round(changedAt + toWall) },
      }));
  }

  /** Restores the cases kept in the store. */
  restore(stored: readonly StoredPoisonRequest[]): void {
    const { clock } = this.options;
    const reports = stored.map(({ request, ended, releases, at }) => ({
      ...{ request, ended, releases, age: Math.max(0, clock.wall() - at) },
    }));
    this.receive('store', reports);
  }

  #mayHaveCase({ identity }: IdentifiedRequest): boolean {
    if (this.#record.isEmpty) return false;
    return identity.headDigests.some((headDigest) => this.#record.mayKnowHead(headDigest));
  }

  #createContext(service: TargetService): PoisonContext {
    const { clock, mayRunTrials } = this.options;
    const { targets } = service;
    const releases = new Set<string>();
    for (const { record, isUsable } of targets.values()) {
      if (isUsable) releases.add(readRelease(record));
    }
    return { now: clock.now(), targets: targets.size, releases, mayRunTrials: mayRunTrials() };
  }

  #announce({ request }: PoisonCase): void {
    const { clock } = this.options;
    this.#announceUntil.delete(request);
    this.#announceUntil.set(request, clock.now() + ANNOUNCE_TIME_MS);
    if (this.#unsent.size === 0) clock.schedule(BATCH_DELAY_MS, () => this.#sendReports());
    this.#unsent.add(request);
  }

  #sendReports(): void {
    const now = this.options.clock.now();
    const reports: PoisonReport[] = [];
    for (const request of this.#unsent) {
      const known = this.#record.findCase(request);
      if (known !== undefined) reports.push(createReport(known, now));
    }
    this.#unsent.clear();
    for (let at = 0; at < reports.length; at += MAX_REPORTS_PER_MESSAGE) {
      this.options.send(reports.slice(at, at + MAX_REPORTS_PER_MESSAGE));
    }
  }

  /** Picks some of the cases that are held out, in rotation. */
  #pickHeld(): readonly PoisonCase[] {
    const held = this.#record.listHeldOut();
    if (held.length <= MAX_HELD_PER_REPLY) return held;
    const start = this.#nextHeld % held.length;
    this.#nextHeld = start + MAX_HELD_PER_REPLY;
    return [...held, ...held].slice(start, start + MAX_HELD_PER_REPLY);
  }
}

/** Combines the decisions for two fingerprints of one request; the stricter one applies. */
function joinDecisions(a: PoisonDecision, b: PoisonDecision): PoisonDecision {
  if (a.kind === 'held' && b.kind === 'held') return a.wait > b.wait ? a : b;
  if (a.kind === 'held' || b.kind === 'clear') return a;
  if (b.kind === 'held' || a.kind === 'clear') return b;
  return { kind: 'suspect', avoidedReleases: [...a.avoidedReleases, ...b.avoidedReleases] };
}

function createReport(
  { request, ended, releases, changedAt }: PoisonCase,
  now: number,
): PoisonReport {
  return { request, ended, releases, age: Math.max(0, now - changedAt) };
}
