/** A soak: real daemons as processes under calls, while a drawn plan makes everything around them fail. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createSeededRandom } from '../kernel/index.js';
import { KEYS } from '../platform/index.js';
import { KvServer, RecordingTarget, writeConfiguration, writeTarget } from '../standin/index.js';
import { Caller } from './caller.js';
import { DaemonProcess } from './daemon-process.js';
import { Link } from './link.js';
import { type SoakEvent, type SoakSize, drawPlan } from './plan.js';
import { type PromisedLimits, type Violation, SoakChecker, composeBody } from './checker.js';

/** What a soak is told. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  readonly callers: number;
  readonly onEvent?: (text: string) => void;
}

/** What a soak found. */
export interface SoakReport {
  readonly seed: number;
  readonly events: number;
  readonly ends: Readonly<Record<string, number>>;
  readonly breaks: readonly Violation[];
}

const AGREEMENT: PromisedLimits = {
  ...{ drainTime: 2000, applyTime: 2000, probesPerSecond: 60 },
  ...{ retryRatio: 0.2, retryWindow: 10_000, retrySlack: 20 },
};

const GRACE = 6;

/** Every run has loopback addresses of its own, so that several may go on at once. */
const NETWORK = `127.${10 + (process.pid % 200)}.9`;
const FIRST_IP = 20;
const SECOND = 1000;
const START_TIME = 1500;
const STARTUP = 1000;
const LEAST_WORK = 10;
const MOST_WORK = 80;

interface Place {
  readonly service: string;
  target: RecordingTarget;
  link: Link;
}

/** One running soak. */
class Soak {
  readonly #startedAt = performance.now();

  readonly #random;

  readonly #witness = new SoakChecker(AGREEMENT);

  readonly #store = new KvServer();

  readonly #storeLinks: Link[] = [];

  readonly #daemons: DaemonProcess[] = [];

  /** Seconds for which targets that reject what they get want nothing. */
  readonly #backoffs = new Map<RecordingTarget, number>();

  readonly #places: Place[] = [];

  /** Where the daemons' settings are written. */
  #directory = '';

  #version = 0;

  #incarnations = 0;

  constructor(private readonly options: SoakOptions) {
    this.#random = createSeededRandom(options.seed);
  }

  readonly #now = () => performance.now() - this.#startedAt;

  async run(): Promise<SoakReport> {
    const { daemons, targets, callers, duration: length } = this.options;
    const plan = drawPlan(this.#random, this.options);
    const ips = Array.from({ length: daemons }, (_, index) => `${NETWORK}.${FIRST_IP + index}`);
    this.#directory = await mkdtemp(join(tmpdir(), 'orchidbeam-soak-'));
    await this.#store.start();
    this.#configure();
    for (let index = 0; index < targets; index += 1) {
      this.#places.push(await this.#openPlace(index % 4 === 3 ? 'beta' : 'alpha'));
    }
    for (const ip of ips) await this.#startDaemon(ip, ips);
    await this.#wait(START_TIME);
    const ends = new AbortController();
    const calling = Array.from({ length: callers }, (_, index) =>
      new Caller({
        ...{ name: `c${index}`, ips, witness: this.#witness, now: this.#now },
        random: createSeededRandom(this.options.seed * 1000 + index),
      }).run(ends.signal),
    );
    const startedAt = this.#now();
    for (const event of plan) {
      await this.#wait(startedAt + event.at - this.#now());
      this.options.onEvent?.(JSON.stringify(event));
      await this.#play(event);
    }
    await this.#wait(startedAt + length - this.#now());
    ends.abort();
    await Promise.all(calling);
    await this.#close();
    const breaks = this.#witness.listViolations();
    return {
      seed: this.options.seed,
      events: plan.length,
      ends: this.#witness.countOutcomes(),
      breaks,
    };
  }

  #wait(time: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, time));
    });
  }

  #configure(): void {
    this.#version += 3;
    const service = this.#version % 2 === 0 ? 'alpha' : 'beta';
    const rules = [
      { prefix: '/safe/' },
      { prefix: '/once/', kind: 'unsafe' as const },
      { prefix: '/moving/', service },
    ];
    this.#store.put(KEYS.configuration, writeConfiguration(this.#version, rules));
    this.#witness.recordConfiguration(service, this.#now());
  }

  async #openPlace(service: string): Promise<Place> {
    this.#incarnations += 1;
    const target = await new RecordingTarget(`i-${this.#incarnations}`).start();
    target.onProbe = () => this.#witness.recordProbe(target.incarnation, this.#now());
    target.behaviour = (request, response) => {
      const id = String(request.headers['attempt-id']);
      const arrival = { id, target: target.incarnation, at: this.#now() };
      const backoff = this.#backoffs.get(target);
      request.resume();
      if (backoff !== undefined) {
        this.#witness.recordRejection({ ...arrival, backoff: backoff * SECOND });
        target.reject(response, String(backoff));
        return;
      }
      this.#witness.recordRun({ ...arrival, service, saysDraining: target.draining !== undefined });
      const work = LEAST_WORK + this.#random.next() * (MOST_WORK - LEAST_WORK);
      setTimeout(() => target.answer(request, response, composeBody(id)), work);
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
        directory: this.#directory,
        promiseSettings: [
          ...[`grace = ${GRACE}`, 'answer_ttl = 5', `retry_ratio = ${AGREEMENT.retryRatio}`],
          ...[`retry_window = ${AGREEMENT.retryWindow / 1000}`],
          ...[`retry_slack = ${AGREEMENT.retrySlack}`],
          `probes_per_second = ${AGREEMENT.probesPerSecond}`,
        ],
      },
      (code) => {
        if (code !== 0) this.options.onEvent?.(`daemon ${ip} ended with ${code}`);
      },
    );
    this.#daemons.push(daemon);
    await daemon.open();
  }

  async #play(event: SoakEvent): Promise<void> {
    const now = this.#now();
    switch (event.kind) {
      case 'store':
        this.#store.fault = event.fault;
        this.#heal(event.lasts, () => {
          this.#store.fault = { kind: 'none' };
        });
        return;
      case 'store-link': {
        const link = this.#storeLinks[event.daemon];
        link?.setFault(event.fault);
        this.#heal(event.lasts, () => link?.setFault({ kind: 'none' }));
        return;
      }
      case 'target-link': {
        const { link } = this.#places[event.target];
        link.setFault(event.fault);
        this.#heal(event.lasts, () => link.setFault({ kind: 'none' }));
        return;
      }
      case 'stop':
        if (!this.#daemons[event.daemon].isRunning) return;
        this.#witness.recordStop(event.daemon, now);
        this.#witness.recordInterruption(event.daemon, now);
        this.#daemons[event.daemon].stop();
        return;
      case 'kill':
        this.#witness.recordFault(now, now + STARTUP);
        this.#witness.recordInterruption(event.daemon, now);
        this.#daemons[event.daemon].kill();
        return;
      case 'freeze':
        this.#witness.recordFault(now, now + event.lasts);
        this.#witness.recordInterruption(event.daemon, now);
        this.#daemons[event.daemon].freeze(event.lasts);
        return;
      case 'configure':
        this.#configure();
        return;
      case 'compact':
        this.#store.compact();
        return;
      case 'drain':
        await this.#drain(event.target, event.toldAfter);
        return;
      case 'reject': {
        const { target } = this.#places[event.target];
        this.#backoffs.set(target, Number(event.backoff.toFixed(3)));
        setTimeout(() => this.#backoffs.delete(target), event.lasts);
        return;
      }
      default:
        event satisfies never;
    }
  }

  #heal(lasts: number, end: () => void): void {
    const now = this.#now();
    this.#witness.recordFault(now, now + lasts);
    setTimeout(end, lasts);
  }

  /** A target leaves as the users' do: it says so, serves on for a while, and another one comes. */
  async #drain(index: number, toldAfter: number): Promise<void> {
    const leaving = this.#places[index];
    const { service, target, link } = leaving;
    const entry = KEYS.targets + target.incarnation;
    const text = this.#store.get(entry);
    if (text === undefined) return;
    target.draining = '1';
    target.healthDraining = '1';
    setTimeout(() => {
      this.#store.put(entry, text.replace('"ready"', '"draining"'));
      this.#witness.recordDrain(target.incarnation, this.#now());
    }, toldAfter);
    this.#places[index] = await this.#openPlace(service);
    setTimeout(
      () => {
        this.#store.remove(entry);
        link.stop();
        target.stop();
      },
      toldAfter + AGREEMENT.drainTime * 2,
    );
  }

  async #close(): Promise<void> {
    for (const daemon of this.#daemons) daemon.close();
    for (const link of this.#storeLinks) link.stop();
    for (const { link, target } of this.#places) {
      link.stop();
      target.stop();
    }
    this.#store.stop();
    await rm(this.#directory, { recursive: true, force: true });
  }
}

/** Plays one soak. */
export function runSoak(options: SoakOptions): Promise<SoakReport> {
  return new Soak(options).run();
}
