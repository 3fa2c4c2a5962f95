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

/** Memory of a process without clients, in MB. */
const IDLE_MEMORY_MB = 80;

/** The rest is for garbage, connections, and what the estimates leave out. */
const HELD_PART = 0.25;

const MIN_HELD_MB = 16;

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

function computeHeldBytes(memory: number): number {
  const heldMb = (memory - IDLE_MEMORY_MB) * HELD_PART;
  return Math.min(MAX_HELD_MB, Math.max(MIN_HELD_MB, heldMb)) * BYTES_PER_MB;
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
    heldBytes: computeHeldBytes(memory),
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
    heldBytes: computeHeldBytes(memory),
    connections: { callers: connections, relay: connections, administration: FEW_CONNECTIONS },
  };
}
