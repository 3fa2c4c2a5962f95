/**
 * The calls that wait in an entry for a slot.
 *
 * Calls wait in lanes: one per class of work and policy that holds calls back. Lanes share the
 * slots by weight, and the callers within a lane take turns. A lane whose hold is used up is
 * skipped.
 */
import type { ClassConfig } from '../config/index.js';
import type { Hold } from '../policy/index.js';

/** A waiting call, as far as the queue depends on it. */
export interface WaitingCall {
  readonly class: ClassConfig;
  readonly caller: string;
  readonly hold: Hold | undefined;
}

interface Lane<T> {
  readonly name: string;
  readonly weight: number;
  readonly hold: Hold | undefined;
  /** Waiting calls by caller; the order of the map is the order of the callers' turns. */
  readonly callers: Map<string, T[]>;
  /** Calls taken from the lane so far, divided by its weight. */
  virtualTime: number;
  size: number;
}

/** A weighted fair queue, with turns between the callers of a lane. */
export class CallQueue<T extends WaitingCall> {
  readonly #lanes = new Map<string, Lane<T>>();

  #virtualTime = 0;

  #size = 0;

  /** The number of waiting calls. */
  get size(): number {
    return this.#size;
  }

  /** Returns the number of waiting calls of a class, in all its lanes. */
  countClass(name: string): number {
    let count = 0;
    for (const lane of this.#lanes.values()) {
      if (lane.name === name) count += lane.size;
    }
    return count;
  }

  /** Adds a call behind those of its caller. */
  add(item: T): void {
    const lane = this.#findLane(item);
    if (lane.size === 0) lane.virtualTime = Math.max(lane.virtualTime, this.#virtualTime);
    const calls = lane.callers.get(item.caller);
    if (calls === undefined) lane.callers.set(item.caller, [item]);
    else calls.push(item);
    lane.size += 1;
    this.#size += 1;
  }

  /** Removes a call wherever it waits; false if it does not wait. */
  remove(item: T): boolean {
    const lane = this.#findLane(item);
    const calls = lane.callers.get(item.caller);
    const index = calls?.indexOf(item) ?? -1;
    if (calls === undefined || index < 0) return false;
    calls.splice(index, 1);
    if (calls.length === 0) lane.callers.delete(item.caller);
    this.#decrementSize(lane);
    return true;
  }

  /** Takes the next call from the lanes whose hold `allows` accepts; undefined if there is none. */
  take(allows: (hold: Hold | undefined) => boolean): T | undefined {
    let best: Lane<T> | undefined;
    for (const lane of this.#lanes.values()) {
      if (lane.size === 0 || !allows(lane.hold)) continue;
      if (best === undefined || lane.virtualTime < best.virtualTime) best = lane;
    }
    if (best === undefined) return undefined;
    this.#virtualTime = best.virtualTime;
    best.virtualTime += 1 / best.weight;
    return this.#takeFromLane(best);
  }

  #takeFromLane(lane: Lane<T>): T | undefined {
    const [first] = lane.callers;
    if (first === undefined) return undefined;
    const [caller, calls] = first;
    const item = calls.shift();
    lane.callers.delete(caller);
    if (calls.length > 0) lane.callers.set(caller, calls);
    this.#decrementSize(lane);
    return item;
  }

  #decrementSize(lane: Lane<T>): void {
    lane.size -= 1;
    this.#size -= 1;
  }

  #findLane(item: T): Lane<T> {
    const key = `${item.class.name}\n${item.hold?.policy ?? ''}`;
    const known = this.#lanes.get(key);
    if (known !== undefined && known.hold?.share === item.hold?.share) return known;
    const lane: Lane<T> = {
      ...{ name: item.class.name, weight: item.class.weight, hold: item.hold },
      ...{ callers: known?.callers ?? new Map<string, T[]>() },
      ...{ virtualTime: known?.virtualTime ?? this.#virtualTime, size: known?.size ?? 0 },
    };
    this.#lanes.set(key, lane);
    return lane;
  }
}
