/**
 * Long randomised runs: daemons in this process under calls, while targets, the platform, the links
 * between daemons and the daemons themselves fail at random. The invariants are asserted inside the
 * program; what only the outside can see is checked here: no key runs twice, no call that was called
 * not run has run, and no answer belongs to another call.
 */
import http from 'node:http';
import {
  type Address,
  type Random,
  createSeededRandom,
  pickItem,
  shuffleItems,
} from '../kernel/index.js';
import { Fleet, putDocuments, writeService, pause } from '../demo/index.js';
import type { Entry } from '../entry/index.js';
import type { Fault, TargetFault, TargetServer } from '../standin/index.js';

/** What a soak is told. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Calls a second. */
  readonly rate: number;
  readonly entries: number;
  readonly targets: number;
  readonly onEvent?: (text: string) => void;
}

/** What a soak found. */
export interface SoakReport {
  readonly calls: number;
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly faults: number;
  /** Configuration changes made, and the revision in force at the end in each daemon. */
  readonly revision: number;
  readonly revisions: readonly number[];
  /** Each is a broken promise. */
  readonly violations: readonly string[];
}

interface Told {
  readonly key: string;
  readonly outcome: 'whole' | 'not-run' | 'unknown' | 'wrong';
  readonly detail: string;
}

const TARGET_FAULTS: readonly TargetFault[] = [
  { kind: 'slow', factor: 5 },
  { kind: 'hang' },
  { kind: 'fail-fast' },
  { kind: 'draining', refuses: false },
  { kind: 'draining', refuses: true },
  { kind: 'shed' },
  { kind: 'reset' },
  { kind: 'cut', framing: 'length' },
  { kind: 'cut', framing: 'chunked' },
  { kind: 'wrong-answer' },
];

const PLATFORM_FAULTS: readonly Fault[] = [
  { kind: 'down' },
  { kind: 'slow', delay: 60 },
  { kind: 'lose-write-replies' },
  { kind: 'skip-watches' },
  { kind: 'close-watches' },
  { kind: 'stale' },
];

const FAULT_GAP = 150;
const HEAL_TIME = 12_000;
const DEADLINE = 1500;
const SAME_KEY_SHARE = 0.3;

/** Sends one call and says what its caller was told. */
function sendCall(to: Address, key: string, posting: boolean): Promise<Told> {
  return new Promise((resolve) => {
    const tell = (outcome: Told['outcome'], detail = '') => resolve({ key, outcome, detail });
    const request = http.request({
      ...{ host: to.host, port: to.port, agent: false, method: posting ? 'POST' : 'GET' },
      path: posting ? '/postings' : '/balance',
      headers: {
        ...{ host: 'test.example', 'x-token': key, 'orchidbeam-deadline': String(DEADLINE) },
        ...(posting ? { 'idempotency-key': key, 'content-length': 1 } : {}),
      },
    });
    // A caller that loses its connection knows nothing.
    request.on('error', (error: NodeJS.ErrnoException) =>
      tell(error.code === 'ECONNREFUSED' ? 'not-run' : 'unknown', error.code),
    );
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () => {
        if (!response.complete) {
          tell('unknown', 'cut');
          return;
        }
        const outcome = response.headers['orchidbeam-outcome'];
        const text = Buffer.concat(chunks).toString('utf8');
        if (outcome === 'not-run' || outcome === 'unknown') tell(outcome, text);
        else if ((response.statusCode ?? 0) >= 500) tell('whole', 'error');
        else tell(text.includes(`"token":"${key}"`) ? 'whole' : 'wrong', text);
      });
    });
    request.end(posting ? 'x' : undefined);
  });
}

/** One soak under way. */
class Soak {
  readonly #random: Random;

  readonly #fleet = new Fleet();

  readonly #targets: TargetServer[] = [];

  readonly #told: Told[] = [];

  readonly #violations: string[] = [];

  #faults = 0;

  #changes = 0;

  #faulting = true;

  constructor(private readonly options: SoakOptions) {
    this.#random = createSeededRandom(options.seed);
  }

  async run(): Promise<SoakReport> {
    const { seconds, entries, targets } = this.options;
    for (let index = 0; index < targets; index += 1) {
      this.#targets.push(await this.#fleet.startTarget({ serviceTime: 8 }));
    }
    this.#changeConfiguration();
    for (let index = 0; index < entries; index += 1) await this.#startEntry(index);
    const end = performance.now() + seconds * 1000;
    const faulting = this.#injectFaults();
    const checking = this.#watchRevisions();
    await this.#sendCalls(end);
    this.#faulting = false;
    await faulting;
    this.#heal();
    await this.#waitConverged();
    await checking;
    this.#checkRuns();
    const revisions = this.#fleet.entries.map(({ follower }) => follower.configuration.revision);
    this.#fleet.close();
    const count = (outcome: Told['outcome']) =>
      this.#told.filter((told) => told.outcome === outcome).length;
    return {
      ...{ calls: this.#told.length, whole: count('whole'), notRun: count('not-run') },
      ...{ unknown: count('unknown'), faults: this.#faults, revision: this.#changes, revisions },
      violations: this.#violations,
    };
  }

  async #startEntry(index: number): Promise<Entry> {
    return this.#fleet.start(`hu/${index % 3}`);
  }

  #changeConfiguration(): void {
    this.#changes += 1;
    const addresses = this.#targets.map(({ address }) => address);
    const more = `queue_limit = ${100 + this.#changes}\nretry_percent = 10`;
    putDocuments(this.#fleet.store, { 'service/test': writeService(addresses, more) });
  }

  async #sendCalls(end: number): Promise<void> {
    const running: Promise<void>[] = [];
    let number = 0;
    while (performance.now() < end) {
      number += 1;
      const posting = this.#random.next() < 0.5;
      const repeats = posting && this.#random.next() < SAME_KEY_SHARE ? 2 : 1;
      // The same key at several entries at once: a caller that got no answer and sent it again.
      for (let turn = 0; turn < repeats; turn += 1) {
        const entry = pickItem(this.#fleet.entries, this.#random);
        const key = `key-${number}`;
        running.push(
          sendCall(entry.callersAddress, key, posting).then((told) => {
            this.#told.push(told);
          }),
        );
      }
      await pause(1000 / this.options.rate);
    }
    await Promise.all(running);
  }

  async #injectFaults(): Promise<void> {
    while (this.#faulting) {
      await pause(FAULT_GAP * (0.5 + this.#random.next()));
      if (!this.#faulting) return;
      this.#faults += 1;
      const draw = this.#random.next();
      if (draw < 0.45) this.#failTarget();
      else if (draw < 0.6) this.#failPlatform();
      else if (draw < 0.72) this.#cutLinks();
      else if (draw < 0.85) this.#changeConfiguration();
      else if (draw < 0.9) this.#fleet.transports.isLinkCut = () => false;
      else await this.#replaceEntry();
    }
  }

  #failTarget(): void {
    const target = pickItem(this.#targets, this.#random);
    const healthy = this.#random.next() < 0.4;
    const fault: TargetFault = healthy ? { kind: 'none' } : pickItem(TARGET_FAULTS, this.#random);
    this.#say(`target fault ${fault.kind}`);
    target.setFault(fault);
  }

  #failPlatform(): void {
    const healthy = this.#random.next() < 0.5;
    const fault: Fault = healthy ? { kind: 'none' } : pickItem(PLATFORM_FAULTS, this.#random);
    this.#say(`platform fault ${fault.kind}`);
    this.#fleet.store.setFault(fault);
  }

  #cutLinks(): void {
    const peers = this.#fleet.entries.map(({ settings }) => settings.entry.peers.host);
    const half = new Set(shuffleItems(peers, this.#random).slice(0, Math.floor(peers.length / 2)));
    this.#say(`cut ${[...half].join(' ')}`);
    const isHalf = (address: string) => half.has(address.split(':')[0] ?? '');
    this.#fleet.transports.isLinkCut = (from, to) => isHalf(from) !== isHalf(to);
  }

  /** Crashes a daemon and starts an empty one. */
  async #replaceEntry(): Promise<void> {
    const index = Math.floor(this.#random.next() * this.#fleet.entries.length);
    const [old] = this.#fleet.entries.splice(index, 1);
    this.#say(`crash ${old?.settings.entry.name ?? ''}`);
    old?.destroy();
    await this.#startEntry(index);
  }

  /** The revision in force never falls in a daemon's life. */
  async #watchRevisions(): Promise<void> {
    const seen = new Map<Entry, number>();
    while (this.#faulting) {
      for (const entry of this.#fleet.entries) {
        const { revision } = entry.follower.configuration;
        if (revision < (seen.get(entry) ?? 0)) {
          this.#violations.push(`revision fell to ${revision} in ${entry.settings.entry.name}`);
        }
        seen.set(entry, revision);
      }
      await pause(20);
    }
  }

  #heal(): void {
    this.#fleet.store.setFault({ kind: 'none' });
    this.#fleet.transports.isLinkCut = () => false;
    for (const target of this.#targets) target.setFault({ kind: 'none' });
  }

  async #waitConverged(): Promise<void> {
    const end = performance.now() + HEAL_TIME;
    const isCurrent = (entry: Entry) => entry.follower.configuration.revision === this.#changes;
    while (performance.now() < end) {
      if (this.#fleet.entries.every(isCurrent)) return;
      await pause(50);
    }
    this.#violations.push(`revision ${this.#changes} is not in force everywhere after healing`);
  }

  #checkRuns(): void {
    const runs = new Map<string, number>();
    for (const target of this.#targets) {
      for (const [key, count] of target.runs) runs.set(key, (runs.get(key) ?? 0) + count);
    }
    for (const [key, count] of runs) {
      if (count > 1) this.#violations.push(`${key} ran ${count} times`);
    }
    const outcomes = new Map<string, Told[]>();
    for (const told of this.#told) {
      if (told.outcome === 'wrong') this.#violations.push(`${told.key} got ${told.detail}`);
      outcomes.set(told.key, [...(outcomes.get(told.key) ?? []), told]);
    }
    for (const [key, told] of outcomes) {
      const allNotRun = told.every(({ outcome }) => outcome === 'not-run');
      if (allNotRun && (runs.get(key) ?? 0) > 0) {
        this.#violations.push(`${key} was called not run and ran: ${told[0]?.detail ?? ''}`);
      }
    }
  }

  #say(text: string): void {
    this.options.onEvent?.(text);
  }
}

/** Runs a soak. */
export function runSoak(options: SoakOptions): Promise<SoakReport> {
  return new Soak(options).run();
}
