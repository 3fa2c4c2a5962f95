/**
 * A soak: real daemons run as processes under load, while a drawn plan of faults is applied to the
 * store, the targets, the links and the daemons.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type Random, createSeededRandom, pickItem } from '../kernel/index.js';
import { KEYS } from '../platform/index.js';
import { KvServer, RecordingTarget, writeConfiguration, writeTarget } from '../standin/index.js';
import { drawAnswerForm, sendFormedAnswer } from './answer-forms.js';
import { Caller } from './caller.js';
import { DaemonProcess } from './daemon-process.js';
import { Link } from './link.js';
import { type SoakEvent, type SoakSize, UNPARTITIONABLE_DAEMONS, drawPlan } from './plan.js';
import type { OrganisationLimits } from './organisation-checker.js';
import { ORGANISATION_QUOTAS, SoakOrganisations } from './organisations.js';
import { type PromisedLimits, type Violation, SoakChecker, composeBody } from './checker.js';

/** Options of a soak. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  readonly callers: number;
  /** Whether all daemons are killed at the end, with a stored learned state that is far off. */
  readonly endsWithLossOfAll?: boolean;
  readonly onEvent?: (text: string) => void;
}

/** The result of a soak. */
export interface SoakReport {
  readonly seed: number;
  readonly events: number;
  readonly ends: Readonly<Record<string, number>>;
  readonly breaks: readonly Violation[];
}

const LIMITS: PromisedLimits = {
  ...{ drainTime: 2000, applyTime: 2000, probesPerSecond: 60 },
  ...{ retryRatio: 0.2, retryWindow: 10_000, retrySlack: 20, recoveryTime: 15_000 },
};

const ORGANISATION_LIMITS: OrganisationLimits = {
  ...{ applyTime: LIMITS.applyTime, quotas: ORGANISATION_QUOTAS },
  ...{ window: 5000, overshoot: 0.1, slack: 20 },
};

const GRACE_S = 6;

/** Each run has its own range of loopback addresses, so that several may run at once. */
const LOOPBACK_PREFIX = `127.${10 + (process.pid % 200)}.9`;
const FIRST_HOST_NUMBER = 20;
const MS_PER_SECOND = 1000;
/** Time that the daemons get to start before the callers begin. */
const DAEMON_START_MS = 1500;
/** Time that a killed daemon takes to serve again; it counts as a fault. */
const DAEMON_RESTART_MS = 1000;
/** Bounds of the time in which a target answers a request. */
const MIN_WORK_MS = 10;
const MAX_WORK_MS = 80;

interface LinkedTarget {
  readonly service: string;
  target: RecordingTarget;
  link: Link;
}

/** How long requests are observed after the time in which service has to be back. */
const OBSERVED_MS = 3000;

/** Factors by which stored estimates are wrong. */
const STATE_ERRORS = [30, 1 / 30, 1000, 1e300, 0] as const;

/** Composes a stored learned state whose values are far off. */
function composeWrongState(random: Random): string {
  const distort = (value: number) => value * pickItem<number>(STATE_ERRORS, random);
  const [service, route] = [
    () => ({ mean: distort(2), slow: distort(5), life: distort(500), knee: distort(1.2) }),
    () => ({ work: distort(MAX_WORK_MS), spread: distort(1.4) }),
  ];
  return JSON.stringify({
    services: { alpha: service(), beta: service() },
    routes: Object.fromEntries(
      ['safe', 'once', 'moving'].map((name) => [`r/${name}/`, route()] as const),
    ),
    ...{ homes: distort(2), poison: [] },
  });
}

/** One running soak. */
class Soak {
  readonly #startedAt = performance.now();

  readonly #random;

  readonly #checker: SoakChecker;

  /** Undefined when requests need no keys. */
  readonly #organisations: SoakOrganisations | undefined;

  readonly #store = new KvServer();

  readonly #storeLinks: Link[] = [];

  readonly #daemons: DaemonProcess[] = [];

  /**
   * The back-off in seconds that a target asks for, for the targets that reject their requests now.
   */
  readonly #backoffs = new Map<RecordingTarget, number>();

  readonly #targets: LinkedTarget[] = [];

  /** The directory of the daemons' settings files. */
  #settingsDirectory = '';

  #configurationVersion = 0;

  #incarnationCount = 0;

  constructor(private readonly options: SoakOptions) {
    this.#random = createSeededRandom(options.seed);
    const hasOrganisations = options.hasOrganisations === true;
    this.#checker = new SoakChecker(LIMITS, hasOrganisations ? ORGANISATION_LIMITS : undefined);
    this.#organisations =
      this.#checker.organisations &&
      new SoakOrganisations(this.#checker.organisations, () => this.#now());
  }

  readonly #now = () => performance.now() - this.#startedAt;

  async run(): Promise<SoakReport> {
    const { daemons, targets, callers, duration } = this.options;
    const plan = drawPlan(this.#random, this.options);
    const ips = Array.from(
      { length: daemons },
      (_, index) => `${LOOPBACK_PREFIX}.${FIRST_HOST_NUMBER + index}`,
    );
    this.#settingsDirectory = await mkdtemp(join(tmpdir(), 'orchidbeam-soak-'));
    await this.#store.start();
    this.#configure();
    for (let index = 0; index < targets; index += 1) {
      this.#targets.push(await this.#startTarget(index % 4 === 3 ? 'beta' : 'alpha'));
    }
    for (const ip of ips) await this.#startDaemon(ip, ips);
    await this.#wait(DAEMON_START_MS);
    const stopped = new AbortController();
    const callerRuns = Array.from({ length: callers }, (_, index) =>
      new Caller({
        ...{ name: `c${index}`, ips, checker: this.#checker, now: this.#now },
        random: createSeededRandom(this.options.seed * 1000 + index),
        pickKey: this.#createKeyPicker(index),
      }).run(stopped.signal),
    );
    const startedAt = this.#now();
    this.#checker.organisations?.recordCallersStart(startedAt);
    for (const event of plan) {
      await this.#wait(startedAt + event.at - this.#now());
      this.options.onEvent?.(JSON.stringify(event));
      await this.#applyEvent(event);
    }
    await this.#wait(startedAt + duration - this.#now());
    if (this.options.endsWithLossOfAll === true) await this.#loseAll();
    stopped.abort();
    await Promise.all(callerRuns);
    await this.#close();
    const violations = this.#checker.listViolations();
    return {
      seed: this.options.seed,
      events: plan.length,
      ends: this.#checker.countOutcomes(),
      breaks: violations,
    };
  }

  #wait(time: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, time));
    });
  }

  #configure(): void {
    this.#configurationVersion += 3;
    const service = this.#configurationVersion % 2 === 0 ? 'alpha' : 'beta';
    const rules = [
      { prefix: '/safe/' },
      { prefix: '/once/', kind: 'unsafe' as const },
      { prefix: '/moving/', service },
    ];
    const tenants = this.#organisations?.describe();
    this.#store.put(
      KEYS.configuration,
      writeConfiguration(this.#configurationVersion, rules, { tenants }),
    );
    this.#checker.recordConfiguration(service, this.#now());
  }

  /** Returns the choice of a key for each request of a caller. */
  #createKeyPicker(caller: number): ((id: string) => string) | undefined {
    const organisations = this.#organisations;
    if (organisations === undefined) return undefined;
    const random = createSeededRandom(this.options.seed * 1000 + 500 + caller);
    return (id) => {
      const key = organisations.pickKey(caller, random);
      this.#checker.organisations?.recordRequest(id, key, this.#now());
      return key;
    };
  }

  async #startTarget(service: string): Promise<LinkedTarget> {
    this.#incarnationCount += 1;
    const target = await new RecordingTarget(`i-${this.#incarnationCount}`).start();
    target.onProbe = () => this.#checker.recordProbe(target.incarnation, this.#now());
    target.behaviour = (request, response) => {
      const id = String(request.headers['attempt-id']);
      const observation = { id, target: target.incarnation, at: this.#now() };
      const backoff = this.#backoffs.get(target);
      request.resume();
      if (backoff !== undefined) {
        this.#checker.recordRejection({ ...observation, backoff: backoff * MS_PER_SECOND });
        target.reject(response, String(backoff));
        return;
      }
      this.#checker.recordRun({
        ...observation,
        service,
        saysDraining: target.draining !== undefined,
      });
      const { tenant, 'api-key': key } = request.headers;
      this.#checker.organisations?.recordRun({
        ...{ id, at: observation.at, hasKey: key !== undefined },
        organisation: typeof tenant === 'string' ? tenant : undefined,
      });
      const serviceTime = MIN_WORK_MS + this.#random.next() * (MAX_WORK_MS - MIN_WORK_MS);
      const answer = { target, form: drawAnswerForm(this.#random), body: composeBody(id) };
      setTimeout(() => sendFormedAnswer(request, response, answer), serviceTime);
    };
    const link = new Link(target.address);
    const address = await link.start();
    this.#store.put(KEYS.targets + target.incarnation, writeTarget(address, { service }));
    return { service, target, link };
  }

  async #startDaemon(ip: string, ips: readonly string[]): Promise<void> {
    const link = new Link(this.#store.address);
    this.#storeLinks.push(link);
    const index = this.#daemons.length;
    const daemon = new DaemonProcess(
      {
        ...{ ip, domain: `d${index % 3}`, seeds: ips.slice(0, 3), store: await link.start() },
        cores: 0.5,
        directory: this.#settingsDirectory,
        isPartitionable: index >= UNPARTITIONABLE_DAEMONS,
        promiseSettings: [
          ...[`grace = ${GRACE_S}`, 'answer_ttl = 5', `retry_ratio = ${LIMITS.retryRatio}`],
          ...[`retry_window = ${LIMITS.retryWindow / 1000}`],
          ...[`retry_slack = ${LIMITS.retrySlack}`],
          `probes_per_second = ${LIMITS.probesPerSecond}`,
        ],
      },
      (code) => {
        if (code !== 0) this.options.onEvent?.(`daemon ${ip} ended with ${code}`);
      },
    );
    this.#daemons.push(daemon);
    await daemon.open();
  }

  async #applyEvent(event: SoakEvent): Promise<void> {
    const now = this.#now();
    switch (event.kind) {
      case 'store':
        this.#store.fault = event.fault;
        this.#scheduleFaultEnd(event.lasts, () => {
          this.#store.fault = { kind: 'none' };
        });
        return;
      case 'store-link': {
        const link = this.#storeLinks[event.daemon];
        link?.setFault(event.fault);
        this.#scheduleFaultEnd(event.lasts, () => link?.setFault({ kind: 'none' }));
        return;
      }
      case 'target-link': {
        const { link } = this.#targets[event.target];
        link.setFault(event.fault);
        this.#scheduleFaultEnd(event.lasts, () => link.setFault({ kind: 'none' }));
        return;
      }
      case 'partition': {
        const daemon = this.#daemons[event.daemon];
        daemon.partition(event.fault);
        this.#scheduleFaultEnd(event.lasts, () => daemon.partition('none'));
        return;
      }
      case 'stop':
        if (!this.#daemons[event.daemon].isRunning) return;
        this.#checker.recordStop(event.daemon, now);
        this.#checker.recordInterruption(event.daemon, now);
        this.#daemons[event.daemon].stop();
        return;
      case 'kill':
        this.#checker.recordFault(now, now + DAEMON_RESTART_MS);
        this.#checker.recordInterruption(event.daemon, now);
        this.#daemons[event.daemon].kill();
        return;
      case 'freeze':
        this.#checker.recordFault(now, now + event.lasts);
        this.#checker.recordInterruption(event.daemon, now);
        this.#daemons[event.daemon].freeze(event.lasts);
        return;
      case 'configure':
        this.#configure();
        return;
      case 'revoke':
        this.#organisations?.revoke(event.organisation);
        this.#configure();
        return;
      case 'compact':
        this.#store.compact();
        return;
      case 'drain':
        await this.#drainTarget(event.target, event.toldAfter);
        return;
      case 'reject': {
        const { target } = this.#targets[event.target];
        this.#backoffs.set(target, Number(event.backoff.toFixed(3)));
        setTimeout(() => this.#backoffs.delete(target), event.lasts);
        return;
      }
      default:
        event satisfies never;
    }
  }

  /** Kills all daemons at once and waits until service has to be back. */
  async #loseAll(): Promise<void> {
    const now = this.#now();
    const text = composeWrongState(this.#random);
    this.#store.put(KEYS.learnedState, text);
    this.options.onEvent?.(text);
    this.#checker.recordFault(now, now + DAEMON_RESTART_MS);
    this.#checker.recordLossOfAll(now);
    for (const [index, daemon] of this.#daemons.entries()) {
      this.#checker.recordInterruption(index, now);
      daemon.kill();
    }
    await this.#wait(LIMITS.recoveryTime + OBSERVED_MS);
  }

  #scheduleFaultEnd(duration: number, end: () => void): void {
    const now = this.#now();
    this.#checker.recordFault(now, now + duration);
    setTimeout(end, duration);
  }

  /**
   * Drains a target as a real one drains: it reports that it is draining, serves on for a while,
   * and a new target takes its place.
   */
  async #drainTarget(index: number, storeDelay: number): Promise<void> {
    const leavingTarget = this.#targets[index];
    const { service, target, link } = leavingTarget;
    const key = KEYS.targets + target.incarnation;
    const text = this.#store.get(key);
    if (text === undefined) return;
    target.draining = '1';
    target.healthDraining = '1';
    setTimeout(() => {
      this.#store.put(key, text.replace('"ready"', '"draining"'));
      this.#checker.recordDrain(target.incarnation, this.#now());
    }, storeDelay);
    this.#targets[index] = await this.#startTarget(service);
    setTimeout(
      () => {
        this.#store.remove(key);
        link.stop();
        target.stop();
      },
      storeDelay + LIMITS.drainTime * 2,
    );
  }

  async #close(): Promise<void> {
    for (const daemon of this.#daemons) daemon.close();
    for (const link of this.#storeLinks) link.stop();
    for (const { link, target } of this.#targets) {
      link.stop();
      target.stop();
    }
    this.#store.stop();
    await rm(this.#settingsDirectory, { recursive: true, force: true });
  }
}

/** Runs one soak and resolves with its result. */
export function runSoak(options: SoakOptions): Promise<SoakReport> {
  return new Soak(options).run();
}
