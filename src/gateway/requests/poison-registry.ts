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
  readonly send: (words: readonly PoisonReport[]) => void;
}

/** A request that this desk looks at. */
export interface WatchedRequest {
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
  readonly names: readonly string[];
}

/** When an attempt was lost, on the kernel's clock. */
export interface LossTimes {
  readonly startedAt: number;
  readonly lostAt: number;
}

/** News are told again with every answer for this long: some questions of each daemon, as datagrams get lost. */
const FRESH_TIME = 1500;

/** Words in one answer, of some 80 bytes each, so that it stays below what a network carries in one piece. */
const MOST_HELD_TOLD = 4;
const MOST_FRESH_TOLD = 6;

/** Words in one message of their own. */
const MOST_TOLD = 12;

/** What comes within this time goes in one message: a target that ends takes several requests with it. */
const GATHER_TIME = 2;

/** Requests in the store's record. */
const MOST_STORED = 64;

/** The desk of one daemon. */
export class PoisonRegistry {
  readonly #record = new PoisonRecord();

  /** Until when a request is told of with every answer. */
  readonly #fresh = new Map<string, number>();

  /** What the homes are about to be told. */
  readonly #news = new Set<string>();

  /** Where the next answer goes on to name those that are held out. */
  #turn = 0;

  constructor(private readonly options: PoisonRegistryOptions) {}

  /** Says what may be done with a request that is to be sent. */
  judge(request: WatchedRequest): PoisonDecision {
    if (!this.#mayKnow(request)) return { kind: 'clear' };
    const terms = this.#readTerms(request.service);
    return request.identity.fingerprints
      .map((name) => this.#record.judge(name, terms))
      .reduce(joinVerdicts);
  }

  /** Notes that a suspect is sent to a target. */
  start({ id, identity }: WatchedRequest, target: GatewayTarget): void {
    for (const name of identity.fingerprints) this.#record.start(name);
    const { incarnation, release } = target.record;
    const [request] = identity.fingerprints;
    this.options.log.info('poison.tried', { id, request, target: incarnation, release });
  }

  /** Notes that what was sent of a suspect has come to an end. */
  finish({ identity }: WatchedRequest): void {
    for (const name of identity.fingerprints) this.#record.finish(name);
  }

  /**
   * Notes that a target ended while it ran a request.
   *
   * A wider name counts each of the narrower ones once, so that one request does not blame all that share its path;
   * and only a request that was sent after the last end tells anything new of it: of a path that is asked for all
   * the time every target that a failure takes at one moment runs some request.
   */
  noteEnd(request: LostRequest, target: GatewayTarget, { startedAt, lostAt }: LossTimes): void {
    const { log, metrics } = this.options;
    const { id, route, service, path, names } = request;
    const { record, hash } = target;
    const end = { target: hash, release: readRelease(record) };
    const blamed: PoisonCase[] = [];
    for (const [width, name] of names.entries()) {
      const before = this.#record.findBlamed(name);
      if (width > 0 && before !== undefined && startedAt <= before.changedAt) break;
      // What was answered since then is not blamed, however late the end is found out.
      blamed.push(this.#record.recordTargetEnd(name, end, lostAt));
      if (before !== undefined) break;
    }
    for (const known of blamed) this.#tell(known);
    const most = Math.max(...blamed.map(({ ended }) => ended.length));
    metrics.count('target_ended_under', { service: service.name });
    const tell = most > 1 ? log.warn : log.info;
    tell('poison.suspected', {
      ...{ id, route: route.name, service: service.name, path },
      ...{ request: names[0], alike: names.at(-1) },
      ...{ target: record.incarnation, born: record.born, release: record.release },
      ...{ ran: Math.round(lostAt - startedAt), ended: most },
    });
  }

  /** Notes that a target ran a request to its end. */
  noteAnswer(request: WatchedRequest): void {
    if (!this.#mayKnow(request)) return;
    const { clock, log } = this.options;
    for (const name of request.identity.fingerprints) {
      const cleared = this.#record.recordAnswer(name, clock.now());
      if (cleared === undefined) continue;
      log.info('poison.cleared', { id: request.id, request: name });
      this.#tell(cleared);
    }
  }

  /** Takes what another daemon tells. */
  receive(from: string, words: readonly PoisonReport[]): void {
    const { clock, log } = this.options;
    const now = clock.now();
    for (const { request, ended, releases, age } of words) {
      const heard = this.#record.receive({ request, ended, releases, changedAt: now - age }, now);
      // Who does not know that it was answered learns it with the next answers.
      if (heard === 'outdated') this.#fresh.set(request, now + FRESH_TIME);
      if (heard !== 'news') continue;
      this.#fresh.set(request, now + FRESH_TIME);
      log.info('poison.heard', { from, request, ended: ended.length, age: Math.round(age) });
    }
  }

  /** Lists what goes with every answer to another daemon. */
  listReports(): readonly PoisonReport[] {
    if (this.#record.isEmpty) return [];
    const now = this.options.clock.now();
    const told = new Map<string, PoisonCase>();
    for (const [request, until] of [...this.#fresh].reverse()) {
      const known = this.#record.findCase(request);
      if (known === undefined || until < now) this.#fresh.delete(request);
      else if (told.size < MOST_FRESH_TOLD) told.set(request, known);
    }
    for (const held of this.#takeHeld()) told.set(held.request, held);
    return [...told.values()].map((known) => describeCase(known, now));
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
      .slice(-MOST_STORED)
      .map(({ request, ended, releases, changedAt }) => ({
        ...{ request, ended, releases, at: Math.round(changedAt + toWall) },
      }));
  }

  /** Takes what the store kept. */
  restore(stored: readonly StoredPoisonRequest[]): void {
    const { clock } = this.options;
    const words = stored.map(({ request, ended, releases, at }) => ({
      ...{ request, ended, releases, age: Math.max(0, clock.wall() - at) },
    }));
    this.receive('store', words);
  }

  #mayKnow({ identity }: WatchedRequest): boolean {
    if (this.#record.isEmpty) return false;
    return identity.headDigests.some((head) => this.#record.mayKnowHead(head));
  }

  #readTerms(service: TargetService): PoisonContext {
    const { clock, mayRunTrials: isTrier } = this.options;
    const { targets } = service;
    const releases = new Set<string>();
    for (const { record, isUsable } of targets.values()) {
      if (isUsable) releases.add(readRelease(record));
    }
    return { now: clock.now(), targets: targets.size, releases, mayRunTrials: isTrier() };
  }

  #tell({ request }: PoisonCase): void {
    const { clock } = this.options;
    this.#fresh.delete(request);
    this.#fresh.set(request, clock.now() + FRESH_TIME);
    if (this.#news.size === 0) clock.schedule(GATHER_TIME, () => this.#sendNews());
    this.#news.add(request);
  }

  #sendNews(): void {
    const now = this.options.clock.now();
    const words: PoisonReport[] = [];
    for (const request of this.#news) {
      const known = this.#record.findCase(request);
      if (known !== undefined) words.push(describeCase(known, now));
    }
    this.#news.clear();
    for (let at = 0; at < words.length; at += MOST_TOLD) {
      this.options.send(words.slice(at, at + MOST_TOLD));
    }
  }

  /** Some of those that are held out, in turn. */
  #takeHeld(): readonly PoisonCase[] {
    const held = this.#record.listHeldOut();
    if (held.length <= MOST_HELD_TOLD) return held;
    const start = this.#turn % held.length;
    this.#turn = start + MOST_HELD_TOLD;
    return [...held, ...held].slice(start, start + MOST_HELD_TOLD);
  }
}

/** What holds for a request by one name holds for it by any. */
function joinVerdicts(a: PoisonDecision, b: PoisonDecision): PoisonDecision {
  if (a.kind === 'held' && b.kind === 'held') return a.wait > b.wait ? a : b;
  if (a.kind === 'held' || b.kind === 'clear') return a;
  if (b.kind === 'held' || a.kind === 'clear') return b;
  return { kind: 'suspect', avoidedReleases: [...a.avoidedReleases, ...b.avoidedReleases] };
}

function describeCase(
  { request, ended, releases, changedAt }: PoisonCase,
  now: number,
): PoisonReport {
  return { request, ended, releases, age: Math.max(0, now - changedAt) };
}
