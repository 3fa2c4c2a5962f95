/** The daemon in front of the users' targets: puts the parts together, starts them, and stops them. */
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import {
  type Kernel,
  type LogFields,
  TextMetrics,
  clockService,
  formatAddress,
  logService,
  randomService,
} from '../kernel/index.js';
import { WindowBudget } from '../balance/index.js';
import {
  FeedClient,
  type MemberInfo,
  MemberRegistry,
  type MemberState,
  PeerLink,
  ReaderRole,
  Roster,
  serveFeed,
} from '../peering/index.js';
import { type ResolveQuery, kvStoreService } from '../platform/index.js';
import type { RouteTable } from '../routing/index.js';
import { FleetView, type PropagationTimes, StoreReader, planPropagation } from '../view/index.js';
import { chooseHomes } from './fleet/address-choice.js';
import { CallerServer, computeListenQueue } from './requests/caller-server.js';
import { serveDirectory, serveMetrics, serveReadiness } from './directory.js';
import { LoadExchange } from './targets/load-exchange.js';
import { HomePlanner } from './fleet/home-planner.js';
import { KnowledgeExchange } from './fleet/knowledge-exchange.js';
import { FleetRole } from './fleet/fleet-role.js';
import { PoisonRegistry } from './requests/poison-registry.js';
import { LearnedStateStore } from './learned-state.js';
import { Prober } from './targets/prober.js';
import { RequestHandler } from './requests/request-handler.js';
import type { GatewaySettings } from './settings.js';
import { type GatewayStatus, describeStatus, listGauges } from './status.js';
import type { ColdStartLimits } from './targets/local-rate-limits.js';
import { TargetSet } from './targets/target-set.js';
import { TargetEventLog } from './targets/target-events.js';
import { EventLoopMonitor, createEventLoopSource } from './event-loop-monitor.js';

/** A view that was the newest this shortly ago is proven. */
const PROVEN_FOR = 1500;

/** A daemon that starts waits this long for a proof before it serves what it knows unproven. */
const START_WAIT = 2500;

const START_PACE = 25;
const TRIM_PACE = 500;

/**
 * A daemon that starts waits this long for others to tell it what they know before it reads the store:
 * some ways there and back. When the whole system starts nobody calls yet, and one reading serves all.
 */
const PATIENCE = 60;
const FIRST_PATIENCE = 3000;

/** A daemon that has run this long is no newcomer; callers hold an answer a quarter of this at most. */
const SENIORITY = 60_000;

function isFirstStart({ first_start: first }: GatewaySettings['gateway']): boolean {
  return first === 'true';
}

function findPatience(gateway: GatewaySettings['gateway']): number {
  if (!isFirstStart(gateway)) return PATIENCE;
  const { seeds, ip } = gateway;
  // Somebody has to read for the others; they ask seeds every second.
  return seeds[0]?.host === ip ? 0 : FIRST_PATIENCE;
}

/** How long callers are told to keep an answer, in milliseconds; some keep it three times as long. */
const ANSWER_TTL = 5000;

/**
 * What a daemon tells callers while it does not know the others yet, in milliseconds. After a restart of
 * many the first one that is ready knows only itself: with the usual time all callers of those seconds
 * stay with it, and it held most of them until they were late.
 */
const UNSETTLED_TTL = 1000;

/**
 * Parts of the grace in which a stopping daemon takes requests, and waits for those in flight. What it
 * took in the first half may run until the last sixth begins; the rest is left for a busy machine.
 */
const TAKE_PART = 0.5;
const WAIT_PART = 0.86;

/** Callers have heard of the stop after this long. */
const LEAVE_TIME = 2200;

const STOP_PACE = 20;

const STATUS_PACE = 5000;

/** Targets that change in one moment and get a line each. */
const MOST_CHANGES_TOLD = 32;

/** The gateway daemon of one VM. */
export class Gateway {
  readonly #running = new AbortController();

  readonly #clock;

  readonly #random;

  readonly #log;

  readonly #view: FleetView;

  readonly #reader: StoreReader;

  readonly #duty: ReaderRole;

  readonly #roster: Roster;

  readonly #link: PeerLink;

  readonly #feed: FeedClient;

  readonly #exchange: KnowledgeExchange;

  readonly #registry: MemberRegistry;

  readonly #lessons: LearnedStateStore;

  readonly #targets: TargetSet;

  readonly #poison: PoisonRegistry;

  readonly #callers: CallerServer;

  readonly #prober: Prober;

  readonly #sharing: LoadExchange;

  readonly #servers: Server[] = [];

  readonly #reception: RequestHandler;

  #settings: GatewaySettings;

  #state: MemberState = 'starting';

  readonly #metrics = new TextMetrics();

  readonly #turns: EventLoopMonitor;

  #isRefreshing = false;

  /** Changes of targets since the last refresh, as the fields of their lines. */
  #changes: LogFields[] = [];

  readonly #place: FleetRole;

  readonly #planner: HomePlanner;

  #lookups = 0;

  /** Daemons that the store's list named when this one looked; it may know fewer itself at first. */
  #listedMembers = 0;

  constructor(
    private readonly kernel: Kernel,
    settings: GatewaySettings,
  ) {
    this.#settings = settings;
    const clock = kernel.find(clockService);
    const random = kernel.find(randomService);
    const log = kernel.find(logService);
    const store = kernel.find(kvStoreService);
    const { gateway, machine, promises, tuning } = settings;
    this.#clock = clock;
    this.#random = random;
    this.#log = log;
    const capacity = machine.cpu_share * machine.core_speed;
    const readSelf = (): MemberInfo => ({
      ...{ ip: gateway.ip, domain: gateway.domain, capacity },
      isSenior: this.#isSenior(),
    });
    const selfState = () => this.#state;
    this.#place = new FleetRole({
      ...{ clock, self: gateway.ip, readRoster: () => this.#roster, readLink: () => this.#link },
      countListedDaemons: () => this.#listedMembers,
    });
    this.#roster = new Roster({
      ...{ clock, self: readSelf(), readSelfState: selfState },
      ...{ minHomes: tuning.homes, minHomeCapacity: tuning.home_capacity },
    });
    this.#targets = new TargetSet({
      ...{ clock, random, domain: gateway.domain },
      findRegion: (domain) => this.#findRegion(domain),
      countHomes: () => this.#roster.listHomes().length,
      countReportingHomes: () => this.#sharing.countReportingHomes(),
      readColdStartLimits: (service) => this.#readColdness(service),
      readShare: () => this.#place.readShare(),
      listener: new TargetEventLog(log, this.#metrics, (target) =>
        this.#targets.getService(target.record.service).rateLimits.refresh(target),
      ),
      createRetryBudget: () =>
        new WindowBudget(clock, () => {
          const { retry_ratio: ratio, retry_window, retry_slack } = this.#settings.promises;
          const share = this.#place.isHome()
            ? retry_slack / (2 * this.#roster.listHomes().length)
            : 0;
          return { ratio, window: retry_window * 1000, slack: share };
        }),
    });
    this.#view = new FleetView({
      onTable: (table) => this.#adopt(table),
      onTarget: (incarnation, record, revision) => {
        this.#refreshTargets();
        this.#changes.push({
          ...{ target: incarnation, state: record?.state ?? 'gone', revision },
          service: record?.service,
          cold: record?.coldLeft,
        });
      },
      onEvacuations: (evacuations) => {
        const { domains, revision } = evacuations;
        log.warn('domains.evacuated', { domains: domains.join(',') || 'none', revision });
        this.#refreshTargets();
      },
      onFault: (what) => {
        log.error('configuration.unreadable', { what });
        this.#metrics.count('configuration_unreadable', {});
      },
    });
    this.#duty = new ReaderRole(
      clock,
      {
        isDesignated: () => this.#place.isDesignatedReader(),
        isNearHomes: () => this.#roster.isNearHomes(),
      },
      () => this.#planNews(),
      findPatience(gateway),
    );
    this.#reader = new StoreReader({
      ...{ store, view: this.#view, clock, random, log },
      isReader: () => this.#duty.isReader(),
      getReadDelay: () => this.#duty.getReadDelay(),
      getMaxBackoff: () => this.#duty.getMaxBackoff(),
      getWatchTimeout: () => this.#planNews().watchTimeout,
    });
    const [port = 0] = gateway.peer_ports;
    this.#planner = new HomePlanner({
      ...{ clock, log, roster: this.#roster, self: gateway.ip, capacity },
      readMinHomes: () => this.#settings.tuning.homes,
    });
    this.#link = new PeerLink({
      ...{
        address: { host: gateway.ip, port },
        readSelf,
        readSelfState: selfState,
        roster: this.#roster,
      },
      ...{
        clock,
        log,
        readUtilisation: () => this.#planner.utilisation,
        readTimes: () => this.#planNews(),
      },
      readKnowledge: () => this.#exchange.read(),
      onKnowledge: (from, knowledge) => {
        this.#exchange.receive(from, knowledge).catch(() => undefined);
      },
      onLoadReports: (from, shares) => this.#sharing.receive(from, shares),
      onDrainingReports: (from, shares) => this.#sharing.receiveDraining(from, shares),
      onPoisonReports: (from, cases) => this.#poison.receive(from, cases),
    });
    this.#poison = new PoisonRegistry({
      ...{ clock, log, metrics: this.#metrics },
      mayRunTrials: () => this.#place.isFirstHome(),
      send: (words) => {
        for (const { ip } of this.#roster.listHomes()) {
          if (ip !== gateway.ip) this.#link.sendPoisonReports(ip, words);
        }
      },
    });
    this.#feed = new FeedClient(clock, port, ({ delta, members }) => {
      this.#view.applyDelta(delta, clock.now());
      for (const member of members) this.#roster.addMember(member);
    });
    this.#exchange = new KnowledgeExchange({
      ...{ clock, self: gateway.ip, view: this.#view, roster: this.#roster, reader: this.#reader },
      ...{
        readerRole: this.#duty,
        feed: this.#feed,
        listPoisonReports: () => this.#poison.listReports(),
      },
    });
    this.#registry = new MemberRegistry({
      ...{ store, roster: this.#roster, clock, log, isFirstStart: isFirstStart(gateway) },
      isWriter: () => this.#place.isFirstHome(),
      onFound: (ips) => {
        this.#listedMembers = ips.length;
        this.#link.addSeeds(ips);
      },
    });
    this.#lessons = new LearnedStateStore({
      ...{ store, clock, log, isHome: () => this.#place.isHome() },
      isFirstStart: isFirstStart(gateway),
      isWriter: () => this.#place.isFirstHome(),
      readLearnedState: () => ({
        services: this.#targets.readLearnedState(),
        routes: this.#reception.readLearnedState(),
        homes: this.#roster.desiredHomes,
        poison: this.#poison.listForStore(),
      }),
      onFound: ({ services, routes, homes, poison }) => {
        this.#poison.restore(poison);
        if (this.#roster.desiredHomes < homes) this.#roster.setDesiredHomes(homes);
        this.#targets.restoreLearnedState(services);
        this.#reception.restoreLearnedState(routes);
      },
    });
    this.#turns = new EventLoopMonitor({
      ...{ clock, log, metrics: this.#metrics, source: createEventLoopSource() },
      listenQueue: computeListenQueue(capacity),
    });
    this.#reception = new RequestHandler({
      ...{ clock, random, log, targets: this.#targets, metrics: this.#metrics },
      poison: this.#poison,
      ...{ turns: this.#turns, onInvariantViolation: (error: Error) => this.#fail(error) },
      readTable: () => (this.#state === 'starting' ? undefined : this.#view.table),
    });
    this.#callers = new CallerServer({
      ...{ address: gateway.callers, clock, turns: this.#turns },
      listenQueue: computeListenQueue(capacity),
      serve: (request, response, cameAt) => this.#reception.handle(request, response, cameAt),
    });
    this.#sharing = new LoadExchange({
      ...{ clock, targets: this.#targets, self: gateway.ip },
      listHomes: () => this.#place.listHomes(),
      isServing: () => this.#targets.isServing(clock.now()),
      send: (ip, shares) => this.#link.sendLoadReports(ip, shares),
      sendDraining: (ip, shares) => this.#link.sendDrainingReports(ip, shares),
    });
    this.#prober = new Prober({
      ...{ targets: this.#targets, clock },
      // While calls wait, probes come twice as often; that has to fit the agreed number as well.
      interval: Math.max(tuning.probe_interval, (2 * 1000) / promises.probes_per_second),
      ...{ self: gateway.ip, listHomes: () => this.#roster.listHomes() },
      readTable: () => this.#view.table,
      readUtilisation: () => this.#planner.utilisation,
      readProbeLimit: () => this.#settings.promises.probes_per_second,
      countDaemons: () => this.#place.countDaemons(),
    });
  }

  /**
   * Takes changed settings. Addresses and the store stay as they were until the next start; promises
   * and tuning hold from now on.
   */
  reconfigure(settings: GatewaySettings): void {
    const { promises, tuning, machine, log } = settings;
    this.#settings = { ...this.#settings, promises, tuning, machine, log };
    this.#log.info('settings.reloaded', { homes: tuning.homes, retry_ratio: promises.retry_ratio });
  }

  /** Starts everything; resolves when this daemon is ready to serve. */
  async start(): Promise<void> {
    const { gateway } = this.#settings;
    const [port = 0] = gateway.peer_ports;
    const { signal } = this.#running;
    // Every task of this daemon listens for its end, some of them more than once.
    setMaxListeners(0, signal);
    this.#place.start();
    this.#log.info('gateway.starting', {
      ...{ callers: formatAddress(gateway.callers), first_start: gateway.first_start },
      seeds: gateway.seeds.map(({ host }) => host).join(','),
    });
    this.#servers.push(
      await serveReadiness(gateway.readiness, () => this.#state === 'ready'),
      await serveFeed({ host: gateway.ip, port }, ({ position, members }) => ({
        delta: this.#view.diffSince(position, this.#clock.now()),
        members: members === this.#roster.readFingerprint() ? [] : this.#roster.list(),
      })),
      await serveDirectory(
        gateway.directory,
        (question) => this.#listAddresses(question),
        () => this.#readAnswerTtl(),
      ),
    );
    if (gateway.metrics !== 'none') {
      this.#metrics.addGauges(() => listGauges(this.#readStatus()));
      this.#servers.push(await serveMetrics(gateway.metrics, () => this.#metrics.format()));
    }
    await this.#callers.listen();
    this.#link.addSeeds(gateway.seeds.map(({ host }) => host));
    const tasks = [
      this.#link.run(signal),
      this.#registry.run(signal),
      this.#lessons.run(signal),
      this.#readEarly(signal),
      this.#reader.run(signal),
      this.#prober.run(signal),
      this.#sharing.run(signal),
      this.#trim(signal),
      this.#planner.run(signal),
      this.#turns.run(signal),
      this.#reportStatus(signal),
    ];
    for (const task of tasks) task.catch((error: Error) => this.#fail(error));
    await this.#waitReady();
  }

  /**
   * Stops without losing a request: callers hear of it, what is read is answered, and the process
   * ends before the platform's grace does.
   */
  async stop(): Promise<void> {
    const clock = this.#clock;
    const startedAt = clock.now();
    const grace = this.#settings.promises.grace * 1000;
    this.#state = 'stopping';
    this.#link.pushToPollers();
    this.#log.info('gateway.stopping', { active: this.#callers.countActive() });
    this.#callers.drain();
    while (clock.now() - startedAt < grace * WAIT_PART) {
      const elapsed = clock.now() - startedAt;
      if (elapsed > grace * TAKE_PART) this.#reception.close();
      const isQuiet = this.#callers.countActive() === 0;
      if (isQuiet && elapsed > LEAVE_TIME && this.#callers.countConnections() === 0) break;
      if (isQuiet && elapsed > grace * TAKE_PART) break;
      await clock.sleep(STOP_PACE);
    }
    const left = this.#callers.countActive();
    this.#reception.close();
    await this.#callers.closeIdle();
    this.destroy();
    this.#log.info('gateway.stopped', { cut: left, took: Math.round(clock.now() - startedAt) });
  }

  /** Ends at once, as a crash would. */
  destroy(): void {
    this.#running.abort();
    this.#callers.close();
    this.#feed.close();
    for (const server of this.#servers) server.close();
    this.kernel.find(kvStoreService).close();
  }

  /**
   * Reads the store once, cheaply, so as to know something soon. When the whole system starts one reading
   * serves all: with three more of each of 312 daemons, calls to the store grew with the machines.
   */
  async #readEarly(signal: AbortSignal): Promise<void> {
    const patience = findPatience(this.#settings.gateway);
    if (patience > PATIENCE) await this.#clock.sleep(patience, signal);
    if (!signal.aborted && this.#view.provenAt === -Infinity) await this.#reader.readStale();
  }

  async #waitReady(): Promise<void> {
    const clock = this.#clock;
    const startedAt = clock.now();
    for (;;) {
      const isProven = clock.now() - this.#view.provenAt < PROVEN_FOR;
      const isLate = clock.now() - startedAt > START_WAIT;
      if (this.#view.table !== undefined && (isProven || isLate)) break;
      await clock.sleep(START_PACE);
    }
    if (this.#state === 'starting') this.#state = 'ready';
    this.#duty.recordServing();
    this.#link.pushToPollers();
    this.#log.info('gateway.ready', {
      ...{ version: this.#view.table?.version, revision: this.#view.position.targets },
      targets: this.#view.listTargets().length,
      took: Math.round(clock.now() - startedAt),
    });
  }

  #planNews(): PropagationTimes {
    const { config_apply: configApply, drain } = this.#settings.promises;
    return planPropagation(Math.min(configApply, drain));
  }

  #findRegion(domain: string): string | undefined {
    const { domains, domain: own, region } = this.#settings.gateway;
    if (domain === own) return region;
    return domains.find((placed) => placed.domain === domain)?.region;
  }

  #readColdness(service: string): ColdStartLimits {
    const { cold_overshoot: overshoot, cold_slack: slack } = this.#settings.promises;
    const spec = this.#view.table?.findService(service);
    const { coldRate: rate = Infinity, coldTime: time = 0 } = spec ?? {};
    return { rate, duration: time, overshoot, slack };
  }

  #isSenior(): boolean {
    return isFirstStart(this.#settings.gateway) || this.#place.age > SENIORITY;
  }

  #adopt(table: RouteTable): void {
    this.#callers.setLimits(table.limits);
    // Before that moment the store held no newer one, so it has been there for this long at most.
    const age = this.#clock.now() - this.#view.provenAt;
    if (age < Infinity) this.#metrics.observe('configuration_age_ms', {}, age);
    this.#log.info('configuration.adopted', {
      ...{ version: table.version, age: age < Infinity ? Math.round(age) : 'unknown' },
      ...{ idle_timeout: table.limits.idleTimeout, header_timeout: table.limits.headerTimeout },
    });
  }

  /** Takes the targets of the view once for all the changes of a moment. */
  #refreshTargets(): void {
    if (this.#isRefreshing) return;
    this.#isRefreshing = true;
    queueMicrotask(() => {
      this.#isRefreshing = false;
      this.#targets.update(this.#view);
      this.#tellChanges();
    });
  }

  /** A line for each target that changed; one in all for a whole list, as hundreds of daemons get it. */
  #tellChanges(): void {
    const changes = this.#changes;
    this.#changes = [];
    if (changes.length <= MOST_CHANGES_TOLD) {
      for (const change of changes) this.#log.info('target.changed', change);
      return;
    }
    const { targets: revision } = this.#view.position;
    this.#log.info('targets.changed', { changed: changes.length, revision });
  }

  #listAddresses(question: ResolveQuery): readonly string[] {
    this.#lookups += 1;
    const { port } = this.#settings.gateway.callers;
    const homes = this.#roster.listHomes();
    // A caller is not sent to another region while its own has somebody.
    const local = homes.filter(({ domain }) => this.#findRegion(domain) === question.region);
    const { domain } = question;
    const chosen = chooseHomes(local.length > 0 ? local : homes, domain, this.#random);
    if (chosen.length > 0) return chosen.map(({ ip }) => `${ip}:${port}`);
    return this.#state === 'ready' ? [formatAddress(this.#settings.gateway.callers)] : [];
  }

  #readAnswerTtl(): number {
    const { promises, tuning } = this.#settings;
    const usual = Math.min(ANSWER_TTL, promises.answer_ttl * 1000);
    const { isNew } = this.#place;
    const isShort = this.#roster.listHomes().length < Math.min(tuning.homes, this.#roster.size);
    return isNew || isShort ? Math.min(usual, UNSETTLED_TTL) : usual;
  }

  async #trim(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(TRIM_PACE, signal);
      this.#targets.runPeriodicChecks();
    }
  }

  #readStatus(): GatewayStatus {
    const homes = this.#place.listHomes();
    return {
      ...{
        state: this.#state,
        homes,
        isHome: this.#place.isHome(),
        busy: this.#planner.utilisation,
      },
      members: this.#roster.size,
      version: this.#view.table?.version,
      proofAge: this.#clock.now() - this.#view.provenAt,
      counts: this.#reception.counts,
      lookups: this.#lookups,
      accepted: this.#callers.accepted,
      connections: this.#callers.countConnections(),
      backlog: this.#reception.backlogSize,
      unreadable: this.#reader.unreadableCount,
      evacuated: this.#view.evacuations.domains,
      heldOut: this.#poison.heldOutCount,
      probes: this.#prober.sent,
      opened: this.#targets.connectionsOpened,
      storeCalls: this.kernel.find(kvStoreService).counts(),
      services: this.#targets.listServices(),
    };
  }

  /** Writes now and then what was done and what it cost. */
  async #reportStatus(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(STATUS_PACE, signal);
      this.#log.info('gateway.status', describeStatus(this.#readStatus()));
    }
  }

  /** A task that ends with an error met a broken invariant: the process must not go on. */
  #fail(error: Error): void {
    this.#log.error('gateway.broken', { error: error.stack ?? error.message });
    throw error;
  }
}
