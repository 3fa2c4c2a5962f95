/**
 * Keeps this daemon's copy of the platform's list of VMs.
 *
 * One entry, the first by rendezvous hashing, reads the list every second; a change of it travels
 * from peer to peer. When that entry is silent for long, others read the list themselves.
 */
import { type Clock, type Random, formatAddress, parseAddress } from '../kernel/index.js';
import { type HomeCandidate, rankCandidates } from '../balance/index.js';
import type { Member, PeerTransport, VmMessage, VmsReply } from '../peer/index.js';
import type { Platform, Vm } from '../platform/index.js';

/** What the follower is made from. */
export interface VmsFollowerOptions {
  readonly platform: Platform;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly listCandidates: () => readonly HomeCandidate[];
  readonly selfId: () => string;
  /** Called when the list changes. */
  readonly onChange: (vms: readonly Vm[]) => void;
}

const PERIOD = 1000;
const DOUBT = 10_000;
const TIMEOUT = 3000;

function writeVm(vm: Vm): VmMessage {
  const { role, domain, state, address } = vm;
  return { address: formatAddress(address), role, domain, leaving: state === 'leaving' };
}

function readVm(message: VmMessage): Vm | undefined {
  const address = parseAddress(message.address);
  if (address === undefined) return undefined;
  const { role, domain, leaving } = message;
  return { address, role, domain, state: leaving ? 'leaving' : 'live' };
}

/** Follows the list of VMs for one daemon. */
export class VmsFollower {
  #vms: readonly Vm[] = [];

  #text = '';

  #reader = '';

  #count = 0;

  #ownCount = 0;

  /** When the list was last heard to be what it is. */
  #heardAt = -Infinity;

  #fetching = false;

  constructor(private readonly options: VmsFollowerOptions) {}

  /** The list as last learnt. */
  get vms(): readonly Vm[] {
    return this.#vms;
  }

  /** Who read the list that is known here, and its count. */
  get source(): { readonly reader: string; readonly count: number } {
    return { reader: this.#reader, count: this.#count };
  }

  /** Follows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const silent = this.options.clock.now() - this.#heardAt > DOUBT;
      if (this.#readerOf() === this.options.selfId() || silent) await this.readPlatform();
      await this.options.clock.sleep(PERIOD * (0.8 + this.options.random.next() * 0.4), signal);
    }
  }

  /** Reads the list from the platform. */
  async readPlatform(): Promise<void> {
    const result = await this.options.platform.vms();
    if (result.kind === 'unavailable') return;
    const text = JSON.stringify(result.vms);
    const self = this.options.selfId();
    this.#heardAt = this.options.clock.now();
    if (text === this.#text && this.#reader === self) return;
    this.#ownCount += 1;
    this.#take(result.vms, text, { reader: self, count: this.#ownCount });
  }

  /** Takes what a peer says it knows; fetches the list when the peer's is newer. */
  hearKnowledge(from: Member, reader: string, count: number): void {
    if (reader === '') return;
    if (reader === this.#reader && count <= this.#count) {
      if (count === this.#count && reader === this.#readerOf()) {
        this.#heardAt = this.options.clock.now();
      }
      return;
    }
    if (reader === this.options.selfId()) return;
    const rightful = this.#readerOf();
    const better = reader === rightful || (this.#reader !== rightful && this.#reader === '');
    if (!better && reader !== this.#reader) return;
    this.#fetchFrom(from).catch(() => undefined);
  }

  /** Answers a peer that asks for the list. */
  answerFetch(): VmsReply {
    return { reader: this.#reader, count: this.#count, vms: this.#vms.map(writeVm) };
  }

  #readerOf(): string {
    const [first] = rankCandidates('vms-reader', this.options.listCandidates());
    return first?.id ?? this.options.selfId();
  }

  async #fetchFrom(from: Member): Promise<void> {
    const address = parseAddress(from.peers);
    if (address === undefined || this.#fetching) return;
    this.#fetching = true;
    const result = await this.options.transport.connect(address).fetchVms(TIMEOUT);
    this.#fetching = false;
    result.ifRight(({ reader, count, vms }) => {
      if (reader === this.#reader && count <= this.#count) return;
      const read = vms.map(readVm).filter((vm) => vm !== undefined);
      this.#heardAt = this.options.clock.now();
      this.#take(read, JSON.stringify(read), { reader, count });
    });
  }

  #take(
    vms: readonly Vm[],
    text: string,
    source: { readonly reader: string; readonly count: number },
  ): void {
    const changed = text !== this.#text;
    this.#vms = vms;
    this.#text = text;
    this.#reader = source.reader;
    this.#count = source.count;
    if (changed) this.options.onChange(vms);
  }
}
