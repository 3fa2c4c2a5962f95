/** How the memory and the descriptors of a machine are divided among the listeners. */

/** The listeners of a gateway daemon. */
export type GatewayListener =
  'callers' | 'carrying' | 'directory' | 'feed' | 'readiness' | 'metrics';

/** The listeners of an entry daemon. */
export type EntryListener = 'callers' | 'relay' | 'administration';

/** The part of a machine that its process has for clients; `Name` is that of a listener. */
export interface ClientLimits<Name extends string> {
  /** What all connections hold together, in bytes. */
  readonly heldBytes: number;
  /** Connections that each listener holds at most. */
  readonly connections: Readonly<Record<Name, number>>;
}

const BYTES_PER_MB = 1_048_576;

/** How the memory of a machine is divided for one kind of daemon. */
interface MemoryPlan {
  /** Memory of the process without clients, in MB. */
  readonly idleMb: number;
  /** The rest is for garbage, connections, and what the estimates leave out. */
  readonly heldPart: number;
}

const GATEWAY_MEMORY: MemoryPlan = { idleMb: 80, heldPart: 0.2 };

/** It loads more libraries, and nothing limits the heap in which garbage waits for its collection. */
const ENTRY_MEMORY: MemoryPlan = { idleMb: 130, heldPart: 0.15 };

const MIN_HELD_MB = 12;

/** Node's heap, where much of it is, does not grow with the machine. */
const MAX_HELD_MB = 64;

/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;

/** What these parts leave is for connections to targets and other daemons. */
const CALLERS_PART = 0.5;
const CARRYING_PART = 0.1;
const DIRECTORY_PART = 0.1;
const FEED_PART = 0.03;

const FEW_CONNECTIONS = 32;

function computeHeldBytes(memory: number, { idleMb, heldPart }: MemoryPlan): number {
  const heldMb = (memory - idleMb) * heldPart;
  return Math.min(MAX_HELD_MB, Math.max(MIN_HELD_MB, heldMb)) * BYTES_PER_MB;
}

/** The part of a daemon's memory for answers that are being received, and its bounds in MB. */
const ANSWERS_PART = 0.1;
const MIN_ANSWERS_MB = 8;
const MAX_ANSWERS_MB = 32;

/**
 * Computes what a daemon may hold of answers that it receives, in bytes.
 *
 * @param memory of the machine, in MB
 */
export function computeAnswerBytes(memory: number): number {
  const heldMb = (memory - GATEWAY_MEMORY.idleMb) * ANSWERS_PART;
  return Math.min(MAX_ANSWERS_MB, Math.max(MIN_ANSWERS_MB, heldMb)) * BYTES_PER_MB;
}

/**
 * Computes what the clients of a gateway daemon may hold.
 *
 * @param memory of the machine, in MB
 * @param descriptors that a process may open
 */
export function computeGatewayLimits(
  memory: number,
  descriptors: number,
): ClientLimits<GatewayListener> {
  const take = (part: number) => Math.max(1, Math.floor((descriptors - FILE_DESCRIPTORS) * part));
  return {
    heldBytes: computeHeldBytes(memory, GATEWAY_MEMORY),
    connections: {
      ...{ callers: take(CALLERS_PART), carrying: take(CARRYING_PART) },
      ...{ directory: take(DIRECTORY_PART), feed: take(FEED_PART) },
      ...{ readiness: FEW_CONNECTIONS, metrics: FEW_CONNECTIONS },
    },
  };
}

/**
 * Computes what the clients of an entry daemon may hold.
 *
 * @param memory of the machine, in MB
 * @param connections of callers, and of other entries that relay calls
 */
export function computeEntryLimits(
  memory: number,
  connections: number,
): ClientLimits<EntryListener> {
  return {
    heldBytes: computeHeldBytes(memory, ENTRY_MEMORY),
    connections: { callers: connections, relay: connections, administration: FEW_CONNECTIONS },
  };
}
