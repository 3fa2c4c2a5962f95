/** Immutable lists of VMs, and the changes between them that are sent in place of whole lists. */
import { formatAddress, parseAddress } from '../kernel/index.js';
import type { VmMessage } from '../peer/index.js';
import type { Vm } from '../platform/index.js';

/** VMs by address `a.b.c.d:port`. */
export type VmList = ReadonlyMap<string, Vm>;

/** The change from one list to the next: VMs added or replaced, and addresses removed. */
export interface VmListChange {
  readonly put: readonly Vm[];
  readonly removed: readonly string[];
}

/** Creates a list of VMs; of two with the same address, the later one is kept. */
export function createVmList(vms: readonly Vm[]): VmList {
  return new Map(vms.map((vm) => [formatAddress(vm.address), vm]));
}

function isSameVm(a: Vm, b: Vm): boolean {
  return a.role === b.role && a.domain === b.domain && a.state === b.state;
}

/** Computes the change from one list to another. */
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

/** Merges consecutive changes; the last change of a VM wins. */
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

/** Whether a change has no effect. */
export function isEmptyChange({ put, removed }: VmListChange): boolean {
  return put.length === 0 && removed.length === 0;
}

/** Converts a VM to its message. */
export function writeVm(vm: Vm): VmMessage {
  const { role, domain, state, address } = vm;
  return { address: formatAddress(address), role, domain, leaving: state === 'leaving' };
}

/** Converts a message to a VM; undefined when its address is not valid. */
export function readVm(message: VmMessage): Vm | undefined {
  const address = parseAddress(message.address);
  if (address === undefined) return undefined;
  const { role, domain, leaving } = message;
  return { address, role, domain, state: leaving ? 'leaving' : 'live' };
}
