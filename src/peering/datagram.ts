/** The datagrams between daemons, packed: their bytes between failure domains are paid for. */
import { decode, encode } from '@msgpack/msgpack';
import type { ViewPosition } from '../view/index.js';
import type { MemberState } from './roster.js';

/** What a daemon says of itself in each question and answer. */
export interface SelfWord {
  readonly domain: string;
  readonly capacity: number;
  readonly isSenior: boolean;
  readonly state: MemberState;
  /** The part of its time in which it was at work of late, from 0 to 1. */
  readonly busy: number;
}

/** What a daemon answers when it is asked. */
export interface Knowledge {
  /** The last changes that it knows of. */
  readonly position: ViewPosition;
  /** How long ago that was shown to be the newest, in milliseconds; Infinity when never. */
  readonly proofAge: number;
  /** How long ago it read that from the store itself, in milliseconds; Infinity when never. */
  readonly readAge: number;
  /** Up to which revision it knows all changes of targets. */
  readonly targetsRevision: number;
  /** Differs when two daemons know other members. */
  readonly members: number;
  /** How many homes it takes to be wanted; the first home's word counts. */
  readonly homes: number;
}

/** What one home knows of one target that the others do not. */
export interface LoadShare {
  /** Stands for the target's incarnation. */
  readonly target: number;
  /** Calls that the home has in flight there. */
  readonly inFlight: number;
  /** How slow the target is, as the home last heard, and how many milliseconds ago; none if it has not. */
  readonly slowdown: number | undefined;
  readonly age: number;
}

/** A datagram. */
export type Datagram =
  | { readonly kind: 'ask'; readonly self: SelfWord }
  | { readonly kind: 'tell'; readonly self: SelfWord; readonly knowledge: Knowledge }
  | { readonly kind: 'load'; readonly shares: readonly LoadShare[] };

const STATES: readonly MemberState[] = ['starting', 'ready', 'stopping'];

const ASK = 0;
const TELL = 1;
const LOAD = 2;

/** Slowdowns travel as whole tenths, and none as 0. */
const SLOWDOWN_STEPS = 10;

/** The part of time at work travels in hundredths. */
const BUSY_STEPS = 100;

/** Ages travel as whole milliseconds, and none as nil. */
function encodeAge(age: number): number | null {
  return Number.isFinite(age) ? Math.max(0, Math.round(age)) : null;
}

function isAge(value: unknown): value is number | null {
  return value === null || typeof value === 'number';
}

function encodeSelf({ domain, capacity, isSenior, state, busy }: SelfWord): readonly unknown[] {
  return [domain, capacity, STATES.indexOf(state), isSenior, Math.round(busy * BUSY_STEPS)];
}

/** Packs a datagram. */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  switch (datagram.kind) {
    case 'ask':
      return encode([ASK, ...encodeSelf(datagram.self)]);
    case 'tell': {
      const { position, proofAge, readAge, targetsRevision, members, homes } = datagram.knowledge;
      return encode([
        ...[TELL, ...encodeSelf(datagram.self), position.targets, position.configuration],
        ...[encodeAge(proofAge), encodeAge(readAge), targetsRevision, members, homes],
      ]);
    }
    case 'load':
      return encode([
        LOAD,
        ...datagram.shares.flatMap(({ target, inFlight, slowdown, age }) => [
          ...[target, inFlight, Math.round((slowdown ?? 0) * SLOWDOWN_STEPS), Math.round(age)],
        ]),
      ]);
    default:
      return datagram satisfies never;
  }
}

function isNumbers(values: readonly unknown[]): values is readonly number[] {
  return values.every((value) => typeof value === 'number');
}

function decodeSelf(fields: readonly unknown[]): SelfWord | undefined {
  const [domain, capacity, state, isSenior, busy] = fields;
  const known = STATES[Number(state)];
  if (typeof domain !== 'string' || typeof capacity !== 'number' || known === undefined) {
    return undefined;
  }
  if (typeof busy !== 'number') return undefined;
  return { domain, capacity, isSenior: isSenior === true, state: known, busy: busy / BUSY_STEPS };
}

const SELF_LENGTH = 5;
const SHARE_LENGTH = 4;

function decodeTell(fields: readonly unknown[]): Datagram | undefined {
  const self = decodeSelf(fields);
  const [targets, configuration, proofAge, readAge, ...rest] = fields.slice(SELF_LENGTH);
  const [targetsRevision, members, homes] = rest;
  const numbers = [targets, configuration, targetsRevision, members, homes];
  if (self === undefined || !isNumbers(numbers)) return undefined;
  if (!isAge(proofAge) || !isAge(readAge)) return undefined;
  return {
    ...{ kind: 'tell', self },
    knowledge: {
      position: { targets: numbers[0], configuration: numbers[1] },
      ...{ proofAge: proofAge ?? Infinity, readAge: readAge ?? Infinity },
      ...{ targetsRevision: numbers[2], members: numbers[3], homes: numbers[4] },
    },
  };
}

function decodeLoad(fields: readonly unknown[]): Datagram | undefined {
  if (fields.length % SHARE_LENGTH !== 0 || !isNumbers(fields)) return undefined;
  const shares: LoadShare[] = [];
  for (let at = 0; at < fields.length; at += SHARE_LENGTH) {
    const [target, inFlight, steps, age] = fields.slice(at, at + SHARE_LENGTH);
    const slowdown = steps === 0 ? undefined : steps / SLOWDOWN_STEPS;
    shares.push({ target, inFlight, slowdown, age });
  }
  return { kind: 'load', shares };
}

/** Unpacks a datagram; undefined when it is none of ours. */
export function decodeDatagram(bytes: Uint8Array): Datagram | undefined {
  let value: unknown;
  try {
    value = decode(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(value)) return undefined;
  const [kind, ...fields] = value as readonly unknown[];
  switch (kind) {
    case ASK: {
      const self = decodeSelf(fields);
      return self === undefined ? undefined : { kind: 'ask', self };
    }
    case TELL:
      return decodeTell(fields);
    case LOAD:
      return decodeLoad(fields);
    default:
      return undefined;
  }
}
