/** The gateway daemon of one VM: creates its parts, connects them, starts and stops them. */
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
  targetSocketService,
} from '../kernel/index.js';
import { WindowBudget, planReachTimes } from '../balance/index.js';
import {
  FeedClient,
  type FeedResponse,
  type MemberInfo,
  MemberRegistry,
  type MemberState,
  PeerLink,
  ReaderRole,
  Roster,
  serveFeed,
} from '../peering/index.js';
import {
  type GatewayListener,
  answerGuardService,
  computeGatewayLimits,
} from '../overload/index.js';
import {
  type ServerProtection,
  createProtection,
  listProtectionGauges,
} from '../proxy/guarded-server.js';
import { kvStoreService } from '../platform/index.js';
import type { RouteTable } from '../routing/index.js';
import { FleetView, type PropagationTimes, StoreReader, planPropagation } from '../view/index.js';
import { CarryService } from './carrying/carry-service.js';
import { AddressDirectory } from './fleet/address-directory.js';
import { CallerServer, computeListenQueue } from './requests/caller-server.js';
import { serveDirectory, serveMetrics, serveReadiness } from './directory.js';
import { LoadExchange } from './targets/load-exchange.js';
import { HomePlanner } from './fleet/home-planner.js';
import { KnowledgeExchange } from './fleet/knowledge-exchange.js';
import { FleetRole } from './fleet/fleet-role.js';
import { PoisonRegistry } from './requests/poison-registry.js';
import { waitUntilDrained } from './graceful-stop.js';
import { listQuotaGauges } from './quota/quota-gauges.js';
import { type QuotaBounds, QuotaService } from './quota/quota-service.js';
import { LearnedStateStore } from './learned-state.js';
import { ReachMonitor } from './targets/reach-monitor.js';
import { Prober } from './targets/prober.js';
import { RequestHandler } from './requests/request-handler.js';
import { MAX_ADDED_HEADER_BYTES } from './requests/request-reader.js';
import type { GatewaySettings } from './settings.js';
import { STATE_WAIT_MS, findStateWait, isFirstStart } from './start-up.js';
import { type GatewayStatus, describeStatus, listGauges } from './status.js';
import type { ColdStartLimits } from './targets/local-rate-limits.js';
import { TargetChangeLog } from './targets/target-change-log.js';
import { TargetSet } from './targets/target-set.js';
import { TargetEventLog } from './targets/target-events.js';
import { EventLoopMonitor, createEventLoopSource } from './event-loop-monitor.js';

/** A view is current when it was confirmed as the newest within this time, in milliseconds. */
const MAX_PROOF_AGE_MS = 1500;

/**
 * Longest wait of a starting daemon for that confirmation. After it, the daemon serves its
 * unconfirmed view.
 */
const MAX_START_WAIT_MS = 2500;

const START_CHECK_INTERVAL_MS = 25;
const TARGET_CHECK_INTERVAL_MS = 500;

/**
 * Time since its start, or since it last reached no target, from which a daemon is senior and
 * preferred as a home. Callers cache an answer for at most a quarter of this time.
 */
const SENIOR_AGE_MS = 60_000;

/** The port for carried calls follows the one for the exchange of state. */
function findCarryPort({ peer_ports: [first = 0] }: GatewaySettings['gateway']): number {
  return first + 1;
}

const STATUS_INTERVAL_MS = 5000;

/** The gateway daemon of one VM. */
export class Gateway {
  readonly #abortController = new AbortController();

  readonly #clock;

  readonly #log;

  readonly #view: FleetView;

  readonly #storeReader: StoreReader;

  readonly #readerRole: ReaderRole;

  readonly #roster: Roster;

  readonly #peerLink: PeerLink;

  readonly #feedClient: FeedClient;

  readonly #knowledgeExchange: KnowledgeExchange;

  readonly #memberRegistry: MemberRegistry;

  readonly #learnedState: LearnedStateStore;

  readonly #targets: TargetSet;

  readonly #poisonRegistry: PoisonRegistry;

  readonly #carryService: CarryService;

  readonly #quotas: QuotaService;

  readonly #callerServer: CallerServer;

  /** Accepts the calls that other daemons ask this one to carry. */
  readonly #carryServer: CallerServer;

  readonly #protection: ServerProtection<GatewayListener>;

  readonly #reachMonitor: ReachMonitor;

  readonly #prober: Prober;

  readonly #loadExchange: LoadExchange;

  readonly #servers: Server[] = [];

  readonly #requestHandler: RequestHandler;

  #settings: GatewaySettings;

  #state: MemberState = 'starting';

  readonly #metrics = new TextMetrics();

  /** When this daemon last began to stop, read its settings again, or adopted a configuration. */
  readonly #changedAt = new Map<'stopping' | 'reloaded' | 'configured', number>();

  readonly #eventLoop: EventLoopMonitor;

  #isRefreshScheduled = false;

  readonly #targetChangeLog: TargetChangeLog;

  readonly #fleetRole: FleetRole;

  readonly #directory: AddressDirectory;

  readonly #homePlanner: HomePlanner;

  /**
   * Number of daemons in the member list of the store when this daemon read it. The roster may have
   * fewer at first.
   */
  #listedMemberCount = 0;

  constructor(
    private readonly kernel: Kernel,
    settings: GatewaySettings,
  ) {
    this.#settings = settings;
    const clock = kernel.find(clockService);
    const random = kernel.find(randomService);
    const log = kernel.find(logService);
    const store = kernel.find(kvStoreService);
    const answerGuard = kernel.find(answerGuardService);
    const { gateway, machine, promises, tuning } = settings;
    this.#clock = clock;
    this.#log = log;
    this.#targetChangeLog = new TargetChangeLog(log);
    const capacity = machine.cpu_share * machine.core_speed;
    this.#reachMonitor = new ReachMonitor({
      ...{ clock, random, log, metrics: this.#metrics },
      listServices: () => this.#targets.listServices(),
      countPartitionedPeers: () => this.#roster.countPartitioned(),
    });
    const readSelf = (): MemberInfo => ({
      ...{ ip: gateway.ip, domain: gateway.domain, capacity },
      isSenior: this.#isSenior(),
    });
    const readSelfState = () => this.#readMemberState();
    this.#fleetRole = new FleetRole({
      ...{
        clock,
        self: gateway.ip,
        readRoster: () => this.#roster,
        readLink: () => this.#peerLink,
      },
      countListedDaemons: () => this.#listedMemberCount,
    });
    this.#roster = new Roster({
      ...{ clock, self: readSelf(), readSelfState },
      ...{ minHomes: tuning.homes, minHomeCapacity: tuning.home_capacity },
      onFull: (kept) => log.error('members.full', { kept }),
    });
    this.#directory = new AddressDirectory({
      ...{ roster: this.#roster, fleetRole: this.#fleetRole, random },
      ...{ ownAddress: gateway.callers, findRegion: (domain) => this.#findRegion(domain) },
      ...{ isReady: () => this.#state === 'ready', readSettings: () => this.#settings },
    });
    this.#targets = new TargetSet({
      ...{ clock, random, domain: gateway.domain },
      ...{ openSocket: kernel.find(targetSocketService), answerGuard },
      reachTimes: planReachTimes(promises.contact),
      confirmReach: (refusing) => this.#reachMonitor.confirmReach(refusing),
      onContact: (service) => this.#reachMonitor.recordContact(service),
      onConnectionFailed: (service, target) => this.#reachMonitor.recordFailure(service, target),
      findRegion: (domain) => this.#findRegion(domain),
      countHomes: () => this.#roster.listHomes().length,
      countReportingHomes: () => this.#loadExchange.countReportingHomes(),
      readColdStartLimits: (service) => this.#readColdStartLimits(service),
      readShare: () => this.#fleetRole.readShare(),
      listener: new TargetEventLog(log, this.#metrics, ({ hash, record }) => {
        const target = this.#targets.findByHash(hash);
        if (target === undefined) return Infinity;
        return this.#targets.getService(record.service).rateLimits.refresh(target);
      }),
      createRetryBudget: () =>
        new WindowBudget(clock, () => {
          const { retry_ratio: ratio, retry_window, retry_slack } = this.#settings.promises;
          const slack = this.#fleetRole.isHome()
            ? retry_slack / (2 * this.#roster.listHomes().length)
            : 0;
          return { ratio, window: retry_window * 1000, slack };
        }),
    });
    this.#view = new FleetView({
      onTable: (table) => this.#applyTable(table),
      onTarget: (incarnation, record, revision) => {
        this.#scheduleTargetRefresh();
        this.#targetChangeLog.record({
          ...{ target: incarnation, state: record?.state ?? 'gone', revision },
          service: record?.service,
          cold: record?.coldLeft,
        });
      },
      onEvacuations: (evacuations) => {
        const { domains, revision } = evacuations;
        log.warn('domains.evacuated', { domains: domains.join(',') || 'none', revision });
        this.#scheduleTargetRefresh();
      },
      onFault: (problem) => {
        log.error('configuration.unreadable', { what: problem });
        this.#metrics.count('configuration_unreadable', {});
      },
      onFull: (incarnation, kept) => log.error('targets.full', { incarnation, kept }),
    });
    this.#readerRole = new ReaderRole(
      clock,
      {
        isDesignated: () => this.#fleetRole.isDesignatedReader(),
        isNearHomes: () => this.#roster.isNearHomes(),
      },
      () => this.#planPropagation(),
      findStateWait(gateway),
    );
    this.#storeReader = new StoreReader({
      ...{ store, view: this.#view, clock, random, log },
      isReader: () => this.#readerRole.isReader(),
      getReadDelay: () => this.#readerRole.getReadDelay(),
      getMaxBackoff: () => this.#readerRole.getMaxBackoff(),
      getWatchTimeout: () => this.#planPropagation().watchTimeout,
    });
    const [port = 0] = gateway.peer_ports;
    this.#homePlanner = new HomePlanner({
      ...{ clock, log, roster: this.#roster, self: gateway.ip, capacity },
      readMinHomes: () => this.#settings.tuning.homes,
    });
    this.#peerLink = new PeerLink({
      ...{
        address: { host: gateway.ip, port },
        readSelf,
        readSelfState,
        roster: this.#roster,
      },
      ...{
        clock,
        log,
        readUtilisation: () => this.#homePlanner.utilisation,
        readTimes: () => this.#planPropagation(),
      },
      readKnowledge: () => this.#knowledgeExchange.read(),
      onKnowledge: (from, knowledge) => {
        this.#knowledgeExchange.receive(from, knowledge).catch(() => undefined);
      },
      onLoadReports: (from, reports) => this.#loadExchange.receive(from, reports),
      onDrainingReports: (from, reports) => this.#loadExchange.receiveDraining(from, reports),
      onFullReports: (from, reports) => this.#loadExchange.receiveFull(from, reports),
      onPoisonReports: (from, reports) => this.#poisonRegistry.receive(from, reports),
      onQuotaMessages: (from, messages) => this.#quotas.receive(from, messages),
    });
    this.#quotas = new QuotaService({
      ...{ clock, random, log },
      readShare: () => ({
        part: this.#fleetRole.readQuotaShare().part,
        peers: this.#fleetRole.listQuotaPeers(),
      }),
      readBounds: () => this.#readQuotaBounds(),
      send: (ip, messages) => this.#peerLink.sendQuotaMessages(ip, messages),
    });
    this.#poisonRegistry = new PoisonRegistry({
      ...{ clock, log, metrics: this.#metrics },
      mayRunTrials: () => this.#fleetRole.isFirstHome(),
      send: (reports) => {
        for (const { ip } of this.#roster.listHomes()) {
          if (ip !== gateway.ip) this.#peerLink.sendPoisonReports(ip, reports);
        }
      },
    });
    const applyResponse = ({ delta, members }: FeedResponse) => {
      const pending = this.#view.applyDelta(delta, clock.now());
      for (const member of members) this.#roster.addMember(member);
      return pending;
    };
    this.#feedClient = new FeedClient(clock, port, applyResponse, {
      guard: answerGuard,
      onRefused: (from, reason) => log.warn('feed.refused', { from, reason }),
    });
    this.#knowledgeExchange = new KnowledgeExchange({
      ...{
        clock,
        self: gateway.ip,
        view: this.#view,
        roster: this.#roster,
        reader: this.#storeReader,
      },
      ...{
        readerRole: this.#readerRole,
        feed: this.#feedClient,
        listPoisonReports: () => this.#poisonRegistry.listReports(),
      },
    });
    this.#memberRegistry = new MemberRegistry({
      ...{ store, roster: this.#roster, clock, log, isFirstStart: isFirstStart(gateway) },
      isWriter: () => this.#fleetRole.isFirstHome(),
      onFound: (ips) => {
        this.#listedMemberCount = ips.length;
        this.#peerLink.addSeeds(ips);
      },
    });
    this.#learnedState = new LearnedStateStore({
      ...{ store, clock, log, isHome: () => this.#fleetRole.isHome() },
      isFirstStart: isFirstStart(gateway),
      isWriter: () => this.#fleetRole.isFirstHome(),
      readLearnedState: () => ({
        services: this.#targets.readLearnedState(),
        routes: this.#requestHandler.readLearnedState(),
        homes: this.#roster.desiredHomes,
        poison: this.#poisonRegistry.listForStore(),
      }),
      onRead: ({ services, routes, homes, poison }) => {
        this.#poisonRegistry.restore(poison);
        if (this.#roster.desiredHomes < homes) this.#roster.setDesiredHomes(homes);
        this.#targets.restoreLearnedState(services);
        this.#requestHandler.restoreLearnedState(routes);
      },
    });
    this.#eventLoop = new EventLoopMonitor({
      ...{ clock, log, metrics: this.#metrics, source: createEventLoopSource() },
      listenQueue: computeListenQueue(capacity),
    });
    this.#carryService = new CarryService({
      ...{ clock, random, log, store, answerGuard, roster: this.#roster, self: gateway.ip },
      ...{ domain: gateway.domain, port: findCarryPort(gateway) },
      ...{ isFirstStart: isFirstStart(gateway), isWriter: () => this.#fleetRole.isFirstHome() },
      findRegion: (domain) => this.#findRegion(domain),
      serve: (request, response, cameAt, terms) =>
        this.#requestHandler.handle(request, response, cameAt, terms),
      onInvariantViolation: (error: Error) => this.#fail(error),
    });
    this.#requestHandler = new RequestHandler({
      ...{ clock, random, log, targets: this.#targets, metrics: this.#metrics },
      ...{ poison: this.#poisonRegistry, carryService: this.#carryService, quotas: this.#quotas },
      ...{ eventLoop: this.#eventLoop, onInvariantViolation: (error: Error) => this.#fail(error) },
      readTable: () => (this.#state === 'starting' ? undefined : this.#view.table),
      isUnconfirmed: () => this.#isUnconfirmed(),
    });
    const limits = computeGatewayLimits(machine.memory, machine.descriptors);
    this.#protection = createProtection(limits, {
      clock,
      scheduleAfterIteration: (action) => this.#eventLoop.scheduleAfterIteration(action),
      isAccepting: () => this.#eventLoop.mayHavePendingConnections,
      onClose: (listener, reason) => {
        this.#metrics.count('clients_closed', { listener, reason });
        log.info('client.closed', { listener, reason });
      },
    });
    answerGuard.joinTurns(this.#protection.turns);
    this.#callerServer = new CallerServer({
      ...{ name: 'callers', protection: this.#protection, addedHeaderBytes: 0 },
      isBusy: () => this.#requestHandler.isBusy,
      ...{ log, describeChanges: () => this.#describeChanges() },
      ...{ address: gateway.callers, clock, eventLoop: this.#eventLoop, metrics: this.#metrics },
      listenQueue: computeListenQueue(capacity),
      serve: (request, response, cameAt) => this.#requestHandler.handle(request, response, cameAt),
    });
    this.#carryServer = new CallerServer({
      ...{ name: 'carrying', protection: this.#protection },
      isBusy: () => this.#requestHandler.isBusy,
      ...{ log, describeChanges: () => this.#describeChanges() },
      addedHeaderBytes: MAX_ADDED_HEADER_BYTES,
      address: { host: gateway.ip, port: findCarryPort(gateway) },
      ...{ clock, eventLoop: this.#eventLoop, metrics: this.#metrics },
      listenQueue: computeListenQueue(capacity),
      serve: (request, response, cameAt) => this.#carryService.handle(request, response, cameAt),
    });
    this.#loadExchange = new LoadExchange({
      ...{ clock, targets: this.#targets, self: gateway.ip },
      listHomes: () => this.#fleetRole.listHomes(),
      isServing: () => this.#targets.isServing(clock.now()),
      send: (ip, reports) => this.#peerLink.sendLoadReports(ip, reports),
      sendDraining: (ip, reports) => this.#peerLink.sendDrainingReports(ip, reports),
      sendFull: (ip, reports) => this.#peerLink.sendFullReports(ip, reports),
    });
    this.#prober = new Prober({
      ...{ targets: this.#targets, clock },
      // While calls wait, targets are probed twice as often; the agreed number has to cover that as
      // well.
      interval: Math.max(tuning.probe_interval, (2 * 1000) / promises.probes_per_second),
      ...{ self: gateway.ip, listHomes: () => this.#roster.listHomes() },
      readTable: () => this.#view.table,
      readUtilisation: () => this.#homePlanner.utilisation,
      readProbeLimit: () => this.#settings.promises.probes_per_second,
      countDaemons: () => this.#fleetRole.countDaemons(),
    });
  }

  /**
   * Applies changed settings. Addresses and the store stay as they were until the next start; the
   * sections promises and tuning apply from now on.
   */
  reconfigure(settings: GatewaySettings): void {
    const { promises, tuning, machine, log } = settings;
    this.#settings = { ...this.#settings, promises, tuning, machine, log };
    this.#changedAt.set('reloaded', this.#clock.now());
    this.#log.info('settings.reloaded', { homes: tuning.homes, retry_ratio: promises.retry_ratio });
  }

  /** Starts all parts; resolves when this daemon is ready to serve. */
  async start(): Promise<void> {
    const { gateway } = this.#settings;
    const [port = 0] = gateway.peer_ports;
    const { signal } = this.#abortController;
    const protection = this.#protection;
    // Every task of this daemon listens for the abort, some of them more than once.
    setMaxListeners(0, signal);
    this.#fleetRole.start();
    this.#log.info('gateway.starting', {
      ...{ callers: formatAddress(gateway.callers), first_start: gateway.first_start },
      seeds: gateway.seeds.map(({ host }) => host).join(','),
    });
    this.#servers.push(
      await serveReadiness(
        { address: gateway.readiness, protection },
        () => this.#state === 'ready',
      ),
      await serveFeed({ host: gateway.ip, port }, protection, ({ position, members }) => ({
        delta: this.#view.diffSince(position, this.#clock.now()),
        members: members === this.#roster.readFingerprint() ? [] : this.#roster.list(),
      })),
      await serveDirectory(
        { address: gateway.directory, protection },
        (query) => this.#directory.listAddresses(query),
        () => this.#directory.readAnswerTtl(),
      ),
    );
    if (gateway.metrics !== 'none') {
      this.#metrics.addGauges(() => listGauges(this.#readStatus()));
      this.#metrics.addGauges(() => listQuotaGauges(this.#quotas.describe()));
      this.#metrics.addGauges(() => listProtectionGauges(protection));
      const answerGuard = this.kernel.find(answerGuardService);
      this.#metrics.addGauges(() => ({
        answer_memory_bytes: answerGuard.held,
        answers_evicted: answerGuard.evictions,
      }));
      const address = gateway.metrics;
      this.#servers.push(await serveMetrics({ address, protection }, () => this.#metrics.format()));
    }
    for (const server of this.#callServers) await server.listen();
    this.#peerLink.addSeeds(gateway.seeds.map(({ host }) => host));
    const tasks = [
      this.#peerLink.run(signal),
      this.#memberRegistry.run(signal),
      this.#learnedState.run(signal),
      this.#readStoreOnce(signal),
      this.#storeReader.run(signal),
      this.#prober.run(signal),
      this.#reachMonitor.run(signal),
      this.#carryService.fleetKey.run(signal),
      this.#quotas.run(signal),
      this.#loadExchange.run(signal),
      this.#runTargetChecks(signal),
      this.#homePlanner.run(signal),
      this.#eventLoop.run(signal),
      this.#logStatus(signal),
    ];
    for (const task of tasks) task.catch((error: Error) => this.#fail(error));
    await this.#waitUntilReady();
  }

  /**
   * Stops without losing a request: callers are told, accepted requests are answered, and the
   * process ends before the platform's grace period does.
   */
  async stop(): Promise<void> {
    const clock = this.#clock;
    // The grace period began when the signal arrived, which may have been unread for a while.
    const startedAt = this.#eventLoop.readEarliestArrival();
    const grace = this.#settings.promises.grace * 1000;
    this.#state = 'stopping';
    this.#changedAt.set('stopping', startedAt);
    this.#peerLink.pushToPollers();
    this.#log.info('gateway.stopping', { active: this.#countActive() });
    for (const server of this.#callServers) server.drain();
    await waitUntilDrained(
      { startedAt, grace },
      {
        clock,
        countActive: () => this.#countActive(),
        countConnections: () => this.#callerServer.countConnections(),
        acceptUntil: (time) => this.#requestHandler.acceptUntil(time),
        refuseWaiting: () => this.#refuseWaiting(),
      },
    );
    const unanswered = this.#countActive();
    this.#refuseWaiting();
    await Promise.all(this.#callServers.map((server) => server.closeIdle()));
    this.destroy();
    this.#log.info('gateway.stopped', {
      cut: unanswered,
      took: Math.round(clock.now() - startedAt),
    });
  }

  #refuseWaiting(): void {
    this.#requestHandler.refuseWaiting();
    for (const server of this.#callServers) server.startWaiting();
  }

  /** Ends at once, as a crash would. */
  destroy(): void {
    this.#abortController.abort();
    for (const server of this.#callServers) server.close();
    this.#feedClient.close();
    for (const server of this.#servers) server.close();
    this.kernel.find(kvStoreService).close();
  }

  /**
   * Reads the store once, with a cheap stale read, to have a view soon. On the first start of the
   * whole system one read serves all daemons: three more reads by each of 312 daemons would make
   * the calls to the store grow with the number of machines.
   */
  async #readStoreOnce(signal: AbortSignal): Promise<void> {
    const stateWait = findStateWait(this.#settings.gateway);
    if (stateWait > STATE_WAIT_MS) await this.#clock.sleep(stateWait, signal);
    if (!signal.aborted && this.#view.provenAt === -Infinity) await this.#storeReader.readStale();
  }

  async #waitUntilReady(): Promise<void> {
    const clock = this.#clock;
    const startedAt = clock.now();
    for (;;) {
      const isProven = clock.now() - this.#view.provenAt < MAX_PROOF_AGE_MS;
      const isLate = clock.now() - startedAt > MAX_START_WAIT_MS;
      if (this.#view.table !== undefined && (isProven || isLate)) break;
      await clock.sleep(START_CHECK_INTERVAL_MS);
    }
    if (this.#state === 'starting') this.#state = 'ready';
    this.#readerRole.recordServing();
    this.#peerLink.pushToPollers();
    this.#log.info('gateway.ready', {
      ...{ version: this.#view.table?.version, revision: this.#view.position.targets },
      targets: this.#view.listTargets().length,
      took: Math.round(clock.now() - startedAt),
    });
  }

  get #callServers(): readonly CallerServer[] {
    return [this.#callerServer, this.#carryServer];
  }

  /** Counts the requests in progress, of callers and for other daemons. */
  #countActive(): number {
    return this.#callServers.reduce((sum, server) => sum + server.countActive(), 0);
  }

  #planPropagation(): PropagationTimes {
    const { config_apply: configApply, drain } = this.#settings.promises;
    return planPropagation(Math.min(configApply, drain));
  }

  #findRegion(domain: string): string | undefined {
    const { domains, domain: ownDomain, region } = this.#settings.gateway;
    if (domain === ownDomain) return region;
    return domains.find((entry) => entry.domain === domain)?.region;
  }

  #readColdStartLimits(service: string): ColdStartLimits {
    const { cold_overshoot: overshoot, cold_slack: slack } = this.#settings.promises;
    const spec = this.#view.table?.findService(service);
    const { coldRate: rate = Infinity, coldTime: duration = 0 } = spec ?? {};
    return { rate, duration, overshoot, slack };
  }

  #readQuotaBounds(): QuotaBounds {
    const {
      quota_window,
      quota_overshoot: overshoot,
      quota_slack: slack,
    } = this.#settings.promises;
    return { window: quota_window * 1000, overshoot, slack };
  }

  #isSenior(): boolean {
    if (this.#reachMonitor.readTimeSincePartition() <= SENIOR_AGE_MS) return false;
    return isFirstStart(this.#settings.gateway) || this.#fleetRole.age > SENIOR_AGE_MS;
  }

  /** Whether requests that need a key are rejected, because a key may have been revoked since. */
  #isUnconfirmed(): boolean {
    const { fail_closed: failClosed, revoke } = this.#settings.promises;
    return failClosed === 'true' && this.#clock.now() - this.#view.provenAt > revoke;
  }

  #readMemberState(): MemberState {
    const isPartitioned = this.#reachMonitor.readTimeSincePartition() < this.#reconnectHold;
    return this.#state === 'ready' && isPartitioned ? 'partitioned' : this.#state;
  }

  /** How long a daemon has to reach targets again before callers are sent to it. */
  get #reconnectHold(): number {
    return this.#settings.promises.contact;
  }

  /** Describes how long ago this daemon changed what may end requests, in milliseconds. */
  #describeChanges(): LogFields {
    const now = this.#clock.now();
    return Object.fromEntries(
      [...this.#changedAt].map(([change, at]) => [`${change}_for`, Math.round(now - at)] as const),
    );
  }

  #applyTable(table: RouteTable): void {
    this.#changedAt.set('configured', this.#clock.now());
    for (const server of this.#callServers) server.setLimits(table.limits);
    this.#quotas.configure(table);
    // At that moment the store held no newer configuration, so this is the longest time for which
    // it has been there.
    const age = this.#clock.now() - this.#view.provenAt;
    if (age < Infinity) this.#metrics.observe('configuration_age_ms', {}, age);
    this.#log.info('configuration.adopted', {
      ...{ version: table.version, age: age < Infinity ? Math.round(age) : 'unknown' },
      ...{ idle_timeout: table.limits.idleTimeout, header_timeout: table.limits.headerTimeout },
    });
  }

  /** Schedules one update of the targets from the view, for all changes of the current task. */
  #scheduleTargetRefresh(): void {
    if (this.#isRefreshScheduled) return;
    this.#isRefreshScheduled = true;
    queueMicrotask(() => {
      this.#isRefreshScheduled = false;
      this.#targets.update(this.#view);
      this.#targetChangeLog.flush(this.#view.position.targets);
    });
  }

  async #runTargetChecks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(TARGET_CHECK_INTERVAL_MS, signal);
      this.#targets.runPeriodicChecks();
      this.#carryService.pool.closeExpired();
    }
  }

  #readStatus(): GatewayStatus {
    const homes = this.#fleetRole.listHomes();
    return {
      ...{
        state: this.#state,
        homes,
        isHome: this.#fleetRole.isHome(),
        utilisation: this.#homePlanner.utilisation,
      },
      members: this.#roster.size,
      configurationVersion: this.#view.table?.version,
      proofAge: this.#clock.now() - this.#view.provenAt,
      requests: this.#requestHandler.counts,
      lookups: this.#directory.lookups,
      connectionsAccepted: this.#callerServer.accepted,
      connections: this.#callerServer.countConnections(),
      backlog: this.#requestHandler.backlogSize,
      unreadableEntries: this.#storeReader.unreadableCount,
      evacuatedDomains: this.#view.evacuations.domains,
      heldOutRequests: this.#poisonRegistry.heldOutCount,
      probes: this.#prober.sent,
      isPartitioned: this.#reachMonitor.isPartitioned,
      partitionedPeers: this.#roster.countPartitioned(),
      carryRejections: this.#carryService.rejected,
      reachChecks: this.#reachMonitor.checks,
      targetConnectionsOpened: this.#targets.connectionsOpened,
      storeCalls: this.kernel.find(kvStoreService).counts(),
      services: this.#targets.listServices(),
      routeTimes: this.#requestHandler.describeRouteTimes(),
    };
  }

  /** Logs the state and the counters periodically. */
  async #logStatus(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(STATUS_INTERVAL_MS, signal);
      this.#log.info('gateway.status', describeStatus(this.#readStatus()));
    }
  }

  /** A task that fails has met a broken invariant: the process must not go on. */
  #fail(error: Error): void {
    this.#log.error('gateway.broken', { error: error.stack ?? error.message });
    throw error;
  }
}
