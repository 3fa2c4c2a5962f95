/**
 * Keeps this daemon's copy of the platform's list of VMs.
 *
 * One entry, the first by rendezvous hashing, reads the list every second. Changes of the list are
 * passed from peer to peer; the whole list goes only to a peer that lacks the list on which the
 * changes are based. When that reader has been silent for too long, others read the list
 * themselves.
 */
import { type Clock, type Random, parseAddress } from '../kernel/index.js';
import { type HomeCandidate, rankCandidates } from '../balance/index.js';
import type { Member, PeerTransport, VmsReply, VmsRequest } from '../peer/index.js';
import type { Platform, Vm } from '../platform/index.js';
import {
  type VmListChange,
  type VmList,
  applyVmChange,
  createVmList,
  diffVmLists,
  isEmptyChange,
  mergeVmChanges,
  readVm,
  writeVm,
} from './vm-list.js';

/** Dependencies and callbacks of a {@link VmsFollower}. */
export interface VmsFollowerOptions {
  readonly platform: Platform;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  /** Lists the live entries, from which the reader is chosen. */
  readonly listCandidates: () => readonly HomeCandidate[];
  /** Returns the identifier of this entry. */
  readonly selfId: () => string;
  /** Called when the list of VMs changes. */
  readonly onChange: (vms: readonly Vm[]) => void;
}

/** The version of a list: who read it, and how often it has changed since that entry started. */
export interface VmsSource {
  readonly reader: string;
  readonly count: number;
}

interface LoggedChange {
  readonly count: number;
  readonly change: VmListChange;
}

const READ_PERIOD_MS = 1000;
const MAX_SILENCE_MS = 10_000;
const FETCH_TIMEOUT_MS = 3000;
const MAX_LOGGED_CHANGES = 64;

/** Keeps the list of VMs of one daemon current, from the platform or from peers. */
export class VmsFollower {
  #list: VmList = new Map();

  #source: VmsSource = { reader: '', count: 0 };

  /** Consecutive changes by the current reader; the last one produced the current list. */
  #changeLog: readonly LoggedChange[] = [];

  #ownChangeCount = 0;

  /** When the list was last confirmed to be current, on the kernel's clock. */
  #confirmedAt = -Infinity;

  #fetching = false;

  constructor(private readonly options: VmsFollowerOptions) {}

  /** The list of VMs as last read or received. */
  get vms(): readonly Vm[] {
    return [...this.#list.values()];
  }

  /** The version of the list that this daemon has. */
  get source(): VmsSource {
    return this.#source;
  }

  /** Follows the list until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isSilent = this.options.clock.now() - this.#confirmedAt > MAX_SILENCE_MS;
      if (this.#findReader() === this.options.selfId() || isSilent) await this.readPlatform();
      await this.options.clock.sleep(
        READ_PERIOD_MS * (0.8 + this.options.random.next() * 0.4),
        signal,
      );
    }
  }

  /** Reads the list from the platform; does nothing when the platform does not answer. */
  async readPlatform(): Promise<void> {
    const result = await this.options.platform.vms();
    if (result.kind === 'unavailable') return;
    this.#confirmedAt = this.options.clock.now();
    const list = createVmList(result.vms);
    const reader = this.options.selfId();
    const change = diffVmLists(this.#list, list);
    if (this.#source.reader === reader && isEmptyChange(change)) return;
    this.#ownChangeCount += 1;
    this.#replaceList(list, change, { reader, count: this.#ownChangeCount });
  }

  /** Processes the list version that a peer reports; fetches from the peer when it is newer. */
  receiveKnowledge(from: Member, reader: string, count: number): void {
    if (reader === '' || reader === this.options.selfId()) return;
    const designatedReader = this.#findReader();
    if (reader === this.#source.reader) {
      const isCurrent = count === this.#source.count && reader === designatedReader;
      if (isCurrent) this.#confirmedAt = this.options.clock.now();
      if (count <= this.#source.count) return;
    } else if (reader !== designatedReader && this.#source.reader !== '') {
      return;
    }
    this.#fetchFrom(from).catch(() => undefined);
  }

  /** Answers a peer's fetch with the changes since the list it has, or with the whole list. */
  answerFetch(known: VmsRequest): VmsReply {
    const change = this.#findChange(known);
    const { put, removed } = change ?? { put: this.vms, removed: [] };
    return { ...this.#source, isWhole: change === undefined, vms: put.map(writeVm), removed };
  }

  /** Finds the change from a peer's list to the current one; undefined when it is not logged. */
  #findChange(known: VmsRequest): VmListChange | undefined {
    if (known.reader !== this.#source.reader || known.count > this.#source.count) return undefined;
    const later = this.#changeLog.filter(({ count }) => count > known.count);
    if (later.length !== this.#source.count - known.count) return undefined;
    return mergeVmChanges(later.map(({ change }) => change));
  }

  #findReader(): string {
    const [first] = rankCandidates('vms-reader', this.options.listCandidates());
    return first?.id ?? this.options.selfId();
  }

  async #fetchFrom(from: Member): Promise<void> {
    const address = parseAddress(from.peers);
    if (address === undefined || this.#fetching) return;
    this.#fetching = true;
    const known = this.#source;
    const result = await this.options.transport.connect(address).fetchVms(known, FETCH_TIMEOUT_MS);
    this.#fetching = false;
    result.ifRight((reply) => this.#applyReply(known, reply));
  }

  #applyReply(known: VmsSource, { reader, count, isWhole, vms, removed }: VmsReply): void {
    // A change is based on the list that this daemon had when it requested the change.
    if (!isWhole && known !== this.#source) return;
    if (reader === this.#source.reader && count <= this.#source.count) return;
    const put = vms.map(readVm).filter((vm) => vm !== undefined);
    const list = isWhole ? createVmList(put) : applyVmChange(this.#list, { put, removed });
    this.#confirmedAt = this.options.clock.now();
    this.#replaceList(list, diffVmLists(this.#list, list), { reader, count });
  }

  #replaceList(list: VmList, change: VmListChange, source: VmsSource): void {
    const isNextChange =
      source.reader === this.#source.reader && source.count === this.#source.count + 1;
    const loggedChange = { count: source.count, change };
    this.#changeLog = isNextChange
      ? [...this.#changeLog, loggedChange].slice(-MAX_LOGGED_CHANGES)
      : [];
    this.#list = list;
    this.#source = source;
    if (!isEmptyChange(change)) this.options.onChange(this.vms);
  }
}
