/** The entry daemon: wires up its components, starts them, and stops them gracefully. */
import {
  type Address,
  type Kernel,
  type KeyPair,
  assertInvariant,
  clockService,
  formatAddress,
  logService,
  metricsService,
  networkService,
  randomService,
} from '../kernel/index.js';
import type { Strategy } from '../balance/index.js';
import { ConfigStore, type Manifest } from '../config/index.js';
import { DEFAULT_MEMBERSHIP_TIMES, Membership, type MembershipTimes } from '../member/index.js';
import { Claims } from '../once/index.js';
import { type EntryListener, ReadTurns } from '../overload/index.js';
import type { ServerProtection } from '../proxy/guarded-server.js';
import {
  type ExchangeMessage,
  type Knowledge,
  type LoadMessage,
  type Member,
  type PeerHandlers,
  type PeerServer,
  peerTransportService,
} from '../peer/index.js';
import { type MeteredPlatform, createMeteredPlatform, platformService } from '../platform/index.js';
import type { EntrySettings } from '../settings/index.js';
import {
  MIN_ANNOUNCED_CALLS_PER_SECOND,
  ConfigFollower,
  DEFAULT_FOLLOWER_TIMES,
  type FollowerTimes,
  HomeLoadTable,
  VmsFollower,
} from '../spread/index.js';
import { CallHandler } from './call-handler.js';
import { Clients } from './clients.js';
import { type EntryListeners, createEntryProtection, startListeners } from './listeners.js';
import { Prober } from './prober.js';
import { ServiceTable } from './service-table.js';
import { type EntryStatus, describeService } from './status.js';

/** Options that are not part of the settings file. */
export interface EntryOptions {
  readonly strategy?: Strategy;
  readonly membershipTimes?: MembershipTimes;
  readonly followerTimes?: FollowerTimes;
  readonly callersKeys?: KeyPair;
}

const POLL_INTERVAL_MS = 20;
const REFRESH_DELAY_MS = 20;
const FINAL_FLUSH_MS = 50;
const MAX_READY_WAIT_MS = 3000;
const ENTRY_ROLE = 'entry';

/** Returns the processor time of this process since its start, in milliseconds. */
function readCpuTime(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

/** An entry daemon. All its state hangs off its kernel, so several can run in one process. */
export class Entry {
  readonly #platform: MeteredPlatform;

  readonly #claimPlatform: MeteredPlatform;

  readonly #clients: Clients;

  readonly #claims: Claims;

  readonly #stopController = new AbortController();

  /** Reads and writes the stored configuration; shared with the administration interface. */
  readonly store: ConfigStore;

  #membership: Membership | undefined;

  #follower: ConfigFollower | undefined;

  #vmsFollower: VmsFollower | undefined;

  #table: ServiceTable | undefined;

  #prober: Prober | undefined;

  #handler: CallHandler | undefined;

  #listeners: EntryListeners | undefined;

  /** What protects all listeners of this entry from their clients. */
  readonly protection: ServerProtection<EntryListener>;

  #peers: PeerServer | undefined;

  #isRefreshScheduled = false;

  readonly #loads = new HomeLoadTable();

  constructor(
    private readonly kernel: Kernel,
    readonly settings: EntrySettings,
    private readonly options: EntryOptions = {},
  ) {
    const clock = kernel.find(clockService);
    const random = kernel.find(randomService);
    this.#platform = createMeteredPlatform(
      kernel.find(platformService),
      settings.platform.calls_per_second,
      clock,
    );
    this.store = new ConfigStore(this.#platform, clock, random);
    this.protection = createEntryProtection(kernel, settings);
    this.#clients = this.#createClients();
    // Claims have a rate limit of their own: neither claims nor control calls can starve the other.
    this.#claimPlatform = createMeteredPlatform(
      kernel.find(platformService),
      settings.platform.claims_per_second,
      clock,
    );
    this.#claims = new Claims(this.#claimPlatform, clock, random);
  }

  /** The services that this entry runs; available after {@link start}. */
  get table(): ServiceTable {
    assertInvariant(this.#table !== undefined, 'the entry was started');
    return this.#table;
  }

  /** Keeps the configuration current; available after {@link start}. */
  get follower(): ConfigFollower {
    assertInvariant(this.#follower !== undefined, 'the entry was started');
    return this.#follower;
  }

  /** The other entries as seen from this one; available after {@link start}. */
  get membership(): Membership {
    assertInvariant(this.#membership !== undefined, 'the entry was started');
    return this.#membership;
  }

  /** Address that callers connect to; available after {@link start}. */
  get callersAddress(): Address {
    assertInvariant(this.#listeners !== undefined, 'the entry was started');
    return this.#listeners.callers.address;
  }

  /**
   * Starts listening, joins the other entries and begins to follow the configuration. Resolves when
   * a configuration is known, or after a few seconds without one.
   */
  async start(): Promise<void> {
    const { settings, kernel } = this;
    const clock = kernel.find(clockService);
    const random = kernel.find(randomService);
    const log = kernel.find(logService);
    const transport = kernel.find(peerTransportService);
    const shared = { clock, random, log, transport };

    this.#peers = await transport.serve(settings.entry.peers, this.#createPeerHandlers());
    this.#listeners = await startListeners(kernel, settings, {
      serveCall: (request, response, relayed) => this.#handler?.serve(request, response, relayed),
      findService: (name) => this.#table?.findByName(name),
      ...{ keys: this.options.callersKeys, protection: this.protection },
    });
    const { callers, relay } = this.#listeners;

    const listCandidates = () => this.membership.listCandidates();
    const selfId = () => this.membership.self.id;
    this.#membership = new Membership({
      ...shared,
      self: {
        name: settings.entry.name,
        domain: settings.entry.failure_domain,
        callers: formatAddress(callers.address),
        peers: formatAddress(this.#peers.address),
        relay: formatAddress(relay.address),
        admin: formatAddress(settings.entry.admin),
      },
      times: this.options.membershipTimes ?? DEFAULT_MEMBERSHIP_TIMES,
      readKnowledge: () => this.#readKnowledge(),
      onKnowledge: (from, knowledge) => this.#receiveKnowledge(from, knowledge),
      listLoads: () => this.#listLoads(),
      onLoads: (loads) => this.#receiveLoads(loads),
      onChange: () => this.#scheduleRefresh(),
      onTargetLeaving: (target) => this.#table?.recordLeavingTarget(target),
      listSeeds: () => this.#listSeeds(),
    });
    this.#table = new ServiceTable({
      ...{ strategy: this.options.strategy ?? 'fresh', clock, random },
      ...{ domain: settings.entry.failure_domain, selfId, listCandidates },
      onTargetRemoved: (address) => this.#clients.release(address),
      countNeededHomes: (service) => this.#loads.countHomes(service, clock.now()),
    });
    this.#follower = new ConfigFollower({
      ...shared,
      ...{ store: this.store, platform: this.#platform, listCandidates, selfId },
      times: this.options.followerTimes ?? DEFAULT_FOLLOWER_TIMES,
      onAdopted: (configuration) => {
        this.table.setConfiguration(configuration);
        this.membership.push();
      },
    });
    this.#vmsFollower = new VmsFollower({
      ...shared,
      ...{ platform: this.#platform, listCandidates, selfId },
      onChange: (vms) => {
        this.table.setVms(vms);
        this.membership.push();
      },
    });
    this.#handler = this.#createCallHandler();
    this.#prober = new Prober({
      ...{ table: this.#table, clients: this.#clients, platform: this.#platform },
      ...{ clock, log, metrics: kernel.find(metricsService) },
    });
    await this.#startTasks();
    log.info('entry.started', {
      ...{ name: settings.entry.name, callers: formatAddress(callers.address) },
      ...{
        members: this.membership.listAll().length,
        revision: this.follower.configuration.revision,
      },
    });
  }

  /**
   * Stops gracefully: withdraws this entry from discovery, waits until cached discovery answers
   * have expired, closes idle connections, and ends when the last call has ended. Calls still in
   * flight after `grace` milliseconds are aborted.
   */
  async stop(grace = this.settings.limits.stop_grace, signal?: AbortSignal): Promise<void> {
    const clock = this.kernel.find(clockService);
    const log = this.kernel.find(logService);
    const limit = clock.now() + grace;
    log.info('entry.stopping', {
      name: this.settings.entry.name,
      active: this.#countActiveCalls(),
    });
    await this.membership.announceStopping();
    await clock.sleep(Math.min(this.settings.limits.answer_ttl, grace), signal);
    await this.#listeners?.callers.drain();
    await this.#waitIdle(limit, signal);
    // Peers relay calls here until they learn that this entry is stopping; by now all of them have.
    await this.#listeners?.relay.drain();
    await this.#waitIdle(limit, signal);
    const abortedCalls = this.#countActiveCalls();
    this.#handler?.abortAll();
    await clock.sleep(FINAL_FLUSH_MS);
    await this.membership.announceGone();
    this.destroy();
    log.info('entry.stopped', { name: this.settings.entry.name, ended: abortedCalls });
  }

  /** Closes everything immediately, like a crash: calls are cut and peers are not notified. */
  destroy(): void {
    this.#stopController.abort();
    this.#listeners?.callers.destroy();
    this.#listeners?.relay.destroy();
    this.#peers?.close();
    this.#clients.destroy();
  }

  /** Replaces the certificate and key of the callers' listener without a restart. */
  replaceCallersKeys(keys: KeyPair): void {
    this.#listeners?.callers.replaceKeys(keys);
  }

  /** Adopts a manifest that the administration interface accepted at time `at`. */
  takeManifest(manifest: Manifest, at: number): Promise<void> {
    return this.follower.adoptManifest(manifest, at);
  }

  /** Returns the status of this entry; available after {@link start}. */
  describe(): EntryStatus {
    const now = this.kernel.find(clockService).now();
    const { proofAge, configuration, fault } = this.follower;
    return {
      name: this.settings.entry.name,
      domain: this.settings.entry.failure_domain,
      state: this.membership.self.state,
      revision: configuration.revision,
      proofAge: Number.isFinite(proofAge) ? Math.round(proofAge) : null,
      configFault: fault,
      active: this.#countActiveCalls(),
      connections: this.#listeners?.callers.countConnections() ?? 0,
      connectionsOpened: this.#clients.connectionsOpened,
      memory: process.memoryUsage.rss(),
      members: this.membership.listAll(),
      platform: this.#platform.counts(),
      claimCalls: this.#claimPlatform.counts(),
      cpu: readCpuTime(),
      traffic: this.kernel.find(peerTransportService).readTraffic(),
      claims: { ...this.#claims.counts },
      services: this.table
        .list()
        .map((runtime) =>
          describeService(
            runtime,
            now,
            (pool) => this.#prober?.readSpent(runtime.service.name, pool) ?? 0,
          ),
        ),
    };
  }

  /** Schedules one refresh of the service table for all changes within a short delay. */
  #scheduleRefresh(): void {
    if (this.#isRefreshScheduled) return;
    this.#isRefreshScheduled = true;
    this.kernel.find(clockService).schedule(REFRESH_DELAY_MS, () => {
      this.#isRefreshScheduled = false;
      this.#table?.refresh();
    });
  }

  /** Waits until no call is in flight, the clock reaches `limit`, or the signal aborts. */
  async #waitIdle(limit: number, signal: AbortSignal | undefined): Promise<void> {
    const clock = this.kernel.find(clockService);
    while (this.#countActiveCalls() > 0 && clock.now() < limit && signal?.aborted !== true) {
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  #countActiveCalls(): number {
    return this.#handler?.activeCalls ?? 0;
  }

  async #startTasks(): Promise<void> {
    const { signal } = this.#stopController;
    const clock = this.kernel.find(clockService);
    await this.#vmsFollower?.readPlatform();
    await this.membership.join();
    const tasks = [
      this.membership.run(signal),
      this.follower.run(signal),
      this.#vmsFollower?.run(signal),
      this.#prober?.run(signal),
    ];
    for (const task of tasks) task?.catch((error: Error) => this.#failProcess(error));
    const limit = clock.now() + MAX_READY_WAIT_MS;
    while (!this.follower.hasConfiguration && clock.now() < limit)
      await clock.sleep(POLL_INTERVAL_MS);
  }

  /** Logs and rethrows. A task fails only on a violated invariant; the process must not go on. */
  #failProcess(error: Error): void {
    const text = error.stack ?? error.message;
    this.kernel.find(logService).error('entry.broken', { error: text });
    throw error;
  }

  #createClients(): Clients {
    const { kernel } = this;
    const log = kernel.find(logService);
    const metrics = kernel.find(metricsService);
    const clock = kernel.find(clockService);
    return new Clients({
      ...{ network: kernel.find(networkService), clock },
      // Answers do not wait behind a crowd of callers, as they give slots back.
      turns: new ReadTurns({
        ...{ clock, scheduleAfterIteration: setImmediate, isAccepting: () => false },
      }),
      onOverrun: (peer, detail) => {
        metrics.count('answer.overrun', 1, { peer });
        log.info('answer.overrun', { peer, detail });
      },
    });
  }

  #createCallHandler(): CallHandler {
    const { settings, kernel } = this;
    return new CallHandler({
      ...{ table: this.table, clients: this.#clients, claims: this.#claims },
      ...{ clock: kernel.find(clockService), random: kernel.find(randomService) },
      ...{ log: kernel.find(logService), metrics: kernel.find(metricsService) },
      ...{ maxCalls: settings.limits.max_calls, logCalls: settings.log.calls },
      relaySecret: settings.security.peer_secret,
      selfId: () => this.membership.self.id,
      isConfigured: () => this.follower.hasConfiguration,
      readProofAge: () => this.follower.proofAge,
      onTargetLeaving: (target) => this.membership.announceTargetLeaving(target),
    });
  }

  #createPeerHandlers(): PeerHandlers {
    return {
      exchange: async (request): Promise<ExchangeMessage> =>
        this.membership.answerExchange(request),
      probe: (peers) => this.membership.probe(peers),
      fetchConfig: async (known) => this.follower.answerFetch(known),
      fetchVms: async (known) => (this.#vmsFollower as VmsFollower).answerFetch(known),
    };
  }

  #listLoads(): readonly LoadMessage[] {
    const now = this.kernel.find(clockService).now();
    const entry = this.membership.self.id;
    for (const busy of this.#table?.listBusy(now, MIN_ANNOUNCED_CALLS_PER_SECOND) ?? []) {
      this.#loads.add({ ...busy, entry, age: 0 }, now);
    }
    const loads = this.#loads.list(now);
    if (loads.length > 0 || this.#loads.hasMultipleHomes()) this.#scheduleRefresh();
    return loads;
  }

  #receiveLoads(loads: readonly LoadMessage[]): void {
    const now = this.kernel.find(clockService).now();
    for (const load of loads) this.#loads.add(load, now);
    this.#scheduleRefresh();
  }

  #readKnowledge(): Knowledge {
    const source = this.#vmsFollower?.source;
    return {
      revision: this.#follower?.configuration.revision ?? 0,
      proofAge: this.#follower?.proofAge ?? Infinity,
      vmsReader: source?.reader ?? '',
      vmsCount: source?.count ?? 0,
    };
  }

  #receiveKnowledge(from: Member, knowledge: Knowledge): void {
    this.#follower?.receiveKnowledge(from, knowledge.revision, knowledge.proofAge);
    this.#vmsFollower?.receiveKnowledge(from, knowledge.vmsReader, knowledge.vmsCount);
  }

  #listSeeds(): readonly string[] {
    const listed = (this.#vmsFollower?.vms ?? [])
      .filter(({ role, state }) => role === ENTRY_ROLE && state === 'live')
      .map(({ address }) => formatAddress(address));
    const configured = this.settings.entry.seeds.map(formatAddress);
    return [...new Set([...configured, ...listed])];
  }
}
