/**
 * Keeps this daemon's configuration current.
 *
 * A few entries, chosen by rendezvous hashing among the live ones, watch the platform; all others
 * fetch changes from peers. A daemon whose proof of the newest revision is some seconds old reads
 * the platform itself, so its configuration becomes stale only when it can reach neither the
 * platform nor its peers. The revision in force never decreases while the daemon runs.
 */
import {
  type Clock,
  type Log,
  type Random,
  assertInvariant,
  parseAddress,
} from '../kernel/index.js';
import { type HomeCandidate, rankCandidates } from '../balance/index.js';
import {
  type ConfigStore,
  type Configuration,
  type Documents,
  EMPTY_CONFIGURATION,
  HEAD_KEY,
  type Manifest,
  checkConfiguration,
  formatManifest,
  parseManifest,
} from '../config/index.js';
import type { ConfigReply, Member, PeerTransport } from '../peer/index.js';
import type { Platform } from '../platform/index.js';
import { formatMistake } from '../settings/index.js';
import { type Proof, mergeProofs } from './proof.js';

/** Times of a {@link ConfigFollower}, in milliseconds. */
export interface FollowerTimes {
  /** Time between two reads of the manifest by a reader, because a watch can miss a change. */
  readonly rereadInterval: number;
  /** Age of the proof from which any daemon reads the manifest itself. */
  readonly maxProofAge: number;
  /** Timeout of a fetch from a peer. */
  readonly timeout: number;
}

/** Default times of a {@link ConfigFollower}. */
export const DEFAULT_FOLLOWER_TIMES: FollowerTimes = {
  rereadInterval: 3000,
  maxProofAge: 8000,
  timeout: 3000,
};

/** Dependencies and callbacks of a {@link ConfigFollower}. */
export interface ConfigFollowerOptions {
  readonly store: ConfigStore;
  readonly platform: Platform;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly times: FollowerTimes;
  /** Lists the live entries, from which the readers are chosen. */
  readonly listCandidates: () => readonly HomeCandidate[];
  /** Returns the identifier of this entry. */
  readonly selfId: () => string;
  /** Called after a newer configuration has come into force. */
  readonly onAdopted: (configuration: Configuration) => void;
}

/** Number of entries that watch the platform. */
export const CONFIG_READERS = 2;

/** Usual maximum age of a proof when it has reached all daemons, in reread intervals. */
const TYPICAL_PROOF_AGE_REREADS = 1.7;
const READ_STAGGER_MS = 400;
const SUBSTITUTE_DURATION_MS = 30_000;
const INITIAL_BACK_OFF_MS = 250;
const MAX_BACK_OFF_MS = 4000;
const IDLE_PERIOD_MS = 500;

/** Keeps the configuration of one daemon current, from the platform or from peers. */
export class ConfigFollower {
  #configuration = EMPTY_CONFIGURATION;

  #manifest: Manifest | undefined;

  #proof: Proof = { revision: 0, at: -Infinity };

  #fetching: Promise<void> = Promise.resolve();

  #fetchingRevision = 0;

  #storeVersion = 0;

  #fault: string | undefined;

  /** Until when this entry watches in place of the chosen readers, on the kernel's clock. */
  #substituteUntil = -Infinity;

  constructor(private readonly options: ConfigFollowerOptions) {}

  /** The configuration in force in this daemon. */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** Whether any configuration has been adopted; without one no call is served. */
  get hasConfiguration(): boolean {
    return this.#manifest !== undefined;
  }

  /** Why a newer revision was refused, if one was. */
  get fault(): string | undefined {
    return this.#fault;
  }

  /** Milliseconds since the revision in force was last known to be the newest. */
  get proofAge(): number {
    return this.options.clock.now() - this.#proof.at;
  }

  /** Follows the configuration until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.readPlatform();
    let failures = this.hasConfiguration ? 0 : 1;
    while (!signal.aborted) {
      const wait = failures === 0 ? IDLE_PERIOD_MS : this.#computeBackOff(failures);
      if (this.#isReader()) {
        if (failures > 0) await this.options.clock.sleep(wait, signal);
        failures = (await this.#watchOnce(signal)) ? 0 : failures + 1;
        continue;
      }
      await this.options.clock.sleep(wait, signal);
      if (signal.aborted) return;
      if (this.proofAge < this.#computeMaxProofAge()) {
        failures = 0;
        continue;
      }
      const isAnswered = await this.readPlatform();
      failures = isAnswered ? 0 : failures + 1;
      // The chosen readers seem unable to reach the platform; this entry watches in their place.
      if (isAnswered) this.#substituteUntil = this.options.clock.now() + SUBSTITUTE_DURATION_MS;
    }
  }

  /** Reads the manifest from the platform; false when the platform did not answer. */
  async readPlatform(): Promise<boolean> {
    const requestedAt = this.options.clock.now();
    const head = await this.options.store.readHead();
    if (head.kind === 'unavailable') return false;
    this.#storeVersion = head.item?.version ?? 0;
    if (head.manifest.revision < this.#configuration.revision) {
      // The platform returned an older revision; the one in force stays in force.
      const { revision } = head.manifest;
      this.options.log.error('config.platform-behind', {
        revision,
        own: this.#configuration.revision,
      });
      return true;
    }
    const documents = await this.options.store.readDocuments(head.manifest);
    if (documents.kind === 'unavailable') return false;
    this.#adopt(head.manifest, documents.documents);
    this.#recordProof({ revision: head.manifest.revision, at: requestedAt });
    return true;
  }

  /** Adopts a manifest that this daemon read from or wrote to the platform at `at` or later. */
  async adoptManifest(manifest: Manifest, at: number): Promise<void> {
    const documents = await this.options.store.readDocuments(manifest);
    if (documents.kind === 'unavailable') return;
    this.#adopt(manifest, documents.documents);
    this.#recordProof({ revision: manifest.revision, at });
  }

  /** Processes the revision that a peer reports; fetches from the peer when it is newer. */
  receiveKnowledge(from: Member, revision: number, proofAge: number): void {
    const ownRevision = this.#configuration.revision;
    if (revision === ownRevision) {
      this.#recordProof({ revision, at: this.options.clock.now() - proofAge });
      return;
    }
    if (revision < ownRevision || revision <= this.#fetchingRevision) return;
    this.#fetchingRevision = revision;
    this.#fetching = this.#fetching
      .then(() => this.#fetchFrom(from))
      .finally(() => {
        this.#fetchingRevision = 0;
      });
  }

  /** Answers a peer's fetch: the manifest, and the texts whose hashes are not in `known`. */
  answerFetch(known: readonly string[]): ConfigReply {
    if (this.#manifest === undefined) return { manifest: '', texts: [], proofAge: Infinity };
    const knownHashes = new Set(known);
    const texts = Object.values(this.#manifest.documents)
      .filter((hash) => !knownHashes.has(hash))
      .map((hash) => ({ hash, text: this.options.store.getText(hash) ?? '' }));
    return { manifest: formatManifest(this.#manifest), texts, proofAge: this.proofAge };
  }

  /** Returns this entry's rank; the first {@link CONFIG_READERS} watch, the next replace them. */
  #findRank(): number {
    const ranked = rankCandidates('config-readers', this.options.listCandidates());
    const self = this.options.selfId();
    const rank = ranked.findIndex(({ id }) => id === self);
    return rank < 0 ? ranked.length : rank;
  }

  #isReader(): boolean {
    return this.#findRank() < CONFIG_READERS || this.options.clock.now() < this.#substituteUntil;
  }

  /** Age of the proof from which this entry reads the platform; it grows with the rank. */
  #computeMaxProofAge(): number {
    const { rereadInterval, maxProofAge } = this.options.times;
    const rank = this.#findRank() - CONFIG_READERS;
    return Math.min(
      maxProofAge,
      rereadInterval * TYPICAL_PROOF_AGE_REREADS + rank * READ_STAGGER_MS,
    );
  }

  /** Waits for a change, at most for the reread interval, then reads; false when that failed. */
  async #watchOnce(signal: AbortSignal): Promise<boolean> {
    const { clock, platform, times } = this.options;
    const rereadLimit = new AbortController();
    const timer = clock.schedule(times.rereadInterval, () => rereadLimit.abort());
    const stopSignal = AbortSignal.any([signal, rereadLimit.signal]);
    const result = await platform.watch(HEAD_KEY, this.#storeVersion, stopSignal);
    timer.cancel();
    if (signal.aborted) return true;
    // A watch that fails before the reread interval is a fault; one ended by its limit is not.
    if (result.kind === 'unavailable' && !rereadLimit.signal.aborted) {
      await this.readPlatform();
      return false;
    }
    return this.readPlatform();
  }

  #computeBackOff(failures: number): number {
    const limit = Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** failures);
    return limit * (0.5 + this.options.random.next() / 2);
  }

  async #fetchFrom(from: Member): Promise<void> {
    const address = parseAddress(from.peers);
    if (address === undefined) return;
    const requestedAt = this.options.clock.now();
    const known = Object.values(this.#manifest?.documents ?? {});
    const peer = this.options.transport.connect(address);
    const result = await peer.fetchConfig(known, this.options.times.timeout);
    if (result.isLeft()) return;
    const reply = result.unsafeCoerce();
    if (reply.manifest === '') return;
    const manifest = parseManifest(reply.manifest);
    if (manifest.revision <= this.#configuration.revision) return;
    for (const { hash, text } of reply.texts) this.options.store.keepText(hash, text);
    const documents = await this.options.store.readDocuments(manifest);
    if (documents.kind === 'unavailable') return;
    this.#adopt(manifest, documents.documents);
    this.#recordProof({ revision: manifest.revision, at: requestedAt - reply.proofAge });
  }

  #recordProof(proof: Proof): void {
    if (proof.revision !== this.#configuration.revision) return;
    this.#proof = mergeProofs(this.#proof, proof);
  }

  #adopt(manifest: Manifest, documents: Documents): void {
    const previousRevision = this.#configuration.revision;
    if (this.#manifest !== undefined && manifest.revision <= previousRevision) return;
    const checked = checkConfiguration(manifest.revision, documents);
    checked.ifLeft((mistakes) => {
      const [first] = mistakes;
      this.#fault = first === undefined ? 'invalid' : formatMistake(first);
      this.options.log.error('config.refused', { revision: manifest.revision, fault: this.#fault });
    });
    checked.ifRight((configuration) => {
      assertInvariant(
        configuration.revision >= previousRevision,
        'the revision in force must not decrease',
      );
      this.#fault = undefined;
      this.#manifest = manifest;
      this.#configuration = configuration;
      this.#proof = { revision: configuration.revision, at: -Infinity };
      this.options.store.forgetUnused(manifest);
      this.options.log.info('config.adopted', { revision: configuration.revision });
      this.options.onAdopted(configuration);
    });
  }
}
