/** Lists of VMs as values, and the differences between them that travel instead of whole lists. */
import { formatAddress, parseAddress } from '../kernel/index.js';
import type { VmMessage } from '../peer/index.js';
import type { Vm } from '../platform/index.js';

/** VMs by address `a.b.c.d:port`. */
export type VmList = ReadonlyMap<string, Vm>;

/** What leads from one list to the next. */
export interface VmListChange {
  readonly put: readonly Vm[];
  readonly removed: readonly string[];
}

/** Makes a list of VMs; of two with one address the later stands. */
export function createVmList(vms: readonly Vm[]): VmList {
  return new Map(vms.map((vm) => [formatAddress(vm.address), vm]));
}

function isSameVm(a: Vm, b: Vm): boolean {
  return a.role === b.role && a.domain === b.domain && a.state === b.state;
}

/** Finds what leads from one list to another. */
export function diffVmLists(before: VmList, after: VmList): VmListChange {
  const put: Vm[] = [];
  for (const [name, vm] of after) {
    const known = before.get(name);
    if (known === undefined || !isSameVm(known, vm)) put.push(vm);
  }
  return { put, removed: [...before.keys()].filter((name) => !after.has(name)) };
}

/** Applies a change to a list. */
export function applyVmChange(list: VmList, { put, removed }: VmListChange): VmList {
  const next = new Map(list);
  for (const name of removed) next.delete(name);
  for (const vm of put) next.set(formatAddress(vm.address), vm);
  return next;
}

/** Joins changes that follow each other; of one VM the last word stands. */
export function mergeVmChanges(changes: readonly VmListChange[]): VmListChange {
  const put = new Map<string, Vm>();
  const removed = new Set<string>();
  for (const change of changes) {
    for (const name of change.removed) {
      put.delete(name);
      removed.add(name);
    }
    for (const vm of change.put) {
      put.set(formatAddress(vm.address), vm);
      removed.delete(formatAddress(vm.address));
    }
  }
  return { put: [...put.values()], removed: [...removed] };
}

/** Whether a change changes nothing. */
export function isEmptyChange({ put, removed }: VmListChange): boolean {
  return put.length === 0 && removed.length === 0;
}

/** Writes a VM as a message. */
export function writeVm(vm: Vm): VmMessage {
  const { role, domain, state, address } = vm;
  return { address: formatAddress(address), role, domain, leaving: state === 'leaving' };
}

/** Reads a VM from a message; undefined when its address cannot be read. */
export function readVm(message: VmMessage): Vm | undefined {
  const address = parseAddress(message.address);
  if (address === undefined) return undefined;
  const { role, domain, leaving } = message;
  return { address, role, domain, state: leaving ? 'leaving' : 'live' };
}
