/**
 * The daemon's dealings with poison requests: what its own requests saw, what the other daemons tell, what the
 * platform's store keeps, and the lines and counters for engineers on call.
 *
 * What one daemon saw goes to the homes at once, and again with every answer for a while, as datagrams get lost; who
 * is held out goes with every answer, so a daemon that starts knows it before it serves. What is held out lies in
 * the store as well, for a fleet that loses all power.
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

/** What the desk is made from. */
export interface PoisonRegistryOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
  /** Whether it falls to this daemon to try requests that are held out: one daemon does, so one target ends. */
  readonly mayRunTrials: () => boolean;
  /** Tells the homes. */
  readonly send: (reports: readonly PoisonReport[]) => void;
}

/** A request that this desk looks at. */
export interface IdentifiedRequest {
  readonly id: string;
  readonly service: TargetService;
  readonly identity: RequestIdentity;
}

/** A request that was lost with its target. */
export interface LostRequest {
  readonly id: string;
  readonly route: { readonly name: string };
  readonly service: TargetService;
  readonly path: string;
  /** What it is known by, the narrowest first. */
  readonly fingerprints: readonly string[];
}

/** When an attempt was lost, on the kernel's clock. */
export interface LossTimes {
  readonly startedAt: number;
  readonly lostAt: number;
}

/** News are told again with every answer for this long: some questions of each daemon, as datagrams get lost. */
const ANNOUNCE_TIME_MS = 1500;

/** Words in one answer, of some 80 bytes each, so that it stays below what a network carries in one piece. */
const MAX_HELD_PER_REPLY = 4;
const MAX_CHANGED_PER_REPLY = 6;

/** Words in one message of their own. */
const MAX_REPORTS_PER_MESSAGE = 12;

/** What comes within this time goes in one message: a target that ends takes several requests with it. */
const BATCH_DELAY_MS = 2;

/** Requests in the store's record. */
const MAX_STORED_CASES = 64;

/** The desk of one daemon. */
export class PoisonRegistry {
  readonly #record = new PoisonRecord();

  /** Until when a request is told of with every answer. */
  readonly #announceUntil = new Map<string, number>();

  /** What the homes are about to be told. */
  readonly #unsent = new Set<string>();

  /** Where the next answer goes on to name those that are held out. */
  #nextHeld = 0;

  constructor(private readonly options: PoisonRegistryOptions) {}

  /** Says what may be done with a request that is to be sent. */
  check(request: IdentifiedRequest): PoisonDecision {
    if (!this.#mayHaveCase(request)) return { kind: 'clear' };
    const context = this.#createContext(request.service);
    return request.identity.fingerprints
      .map((fingerprint) => this.#record.judge(fingerprint, context))
      .reduce(joinDecisions);
  }

  /** Notes that a suspect is sent to a target. */
  recordStart({ id, identity }: IdentifiedRequest, target: GatewayTarget): void {
    for (const fingerprint of identity.fingerprints) this.#record.start(fingerprint);
    const { incarnation, release } = target.record;
    const [request] = identity.fingerprints;
    this.options.log.info('poison.tried', { id, request, target: incarnation, release });
  }

  /** Notes that what was sent of a suspect has come to an end. */
  recordFinish({ identity }: IdentifiedRequest): void {
    for (const fingerprint of identity.fingerprints) this.#record.finish(fingerprint);
  }

  /**
   * Notes that a target ended while it ran a request.
   *
   * A wider name counts each of the narrower ones once, so that one request does not blame all that share its path;
   * and only a request that was sent after the last end tells anything new of it: of a path that is asked for all
   * the time every target that a failure takes at one moment runs some request.
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
      // What was answered since then is not blamed, however late the end is found out.
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

  /** Notes that a target ran a request to its end. */
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

  /** Takes what another daemon tells. */
  receive(from: string, reports: readonly PoisonReport[]): void {
    const { clock, log } = this.options;
    const now = clock.now();
    for (const { request, ended, releases, age } of reports) {
      const outcome = this.#record.receive({ request, ended, releases, changedAt: now - age }, now);
      // Who does not know that it was answered learns it with the next answers.
      if (outcome === 'outdated') this.#announceUntil.set(request, now + ANNOUNCE_TIME_MS);
      if (outcome !== 'news') continue;
      this.#announceUntil.set(request, now + ANNOUNCE_TIME_MS);
      log.info('poison.heard', { from, request, ended: ended.length, age: Math.round(age) });
    }
  }

  /** Lists what goes with every answer to another daemon. */
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

  /** Requests that are held out. */
  get heldOutCount(): number {
    return this.#record.isEmpty ? 0 : this.#record.listHeldOut().length;
  }

  /** Lists what the store is to keep: of those that are held out, the ones that lost a target last. */
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

  /** Takes what the store kept. */
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

  /** Some of those that are held out, in turn. */
  #pickHeld(): readonly PoisonCase[] {
    const held = this.#record.listHeldOut();
    if (held.length <= MAX_HELD_PER_REPLY) return held;
    const start = this.#nextHeld % held.length;
    this.#nextHeld = start + MAX_HELD_PER_REPLY;
    return [...held, ...held].slice(start, start + MAX_HELD_PER_REPLY);
  }
}

/** What holds for a request by one name holds for it by any. */
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
