/**
 * The timing with which changes in the store reach every daemon, derived from the promised
 * propagation time.
 *
 * The slowest case: the daemons that read the store for all others fail just before the change. A
 * daemon near the homes then finds that the last read it knows of is older than `nearMaxAge` and
 * reads the store itself. The others near the homes poll it within `nearPollInterval`, daemons
 * farther away poll those within `remotePollInterval` and fetch the changes. If that fails too, a
 * daemon farther away reads the store itself once the last read it knows of is older than
 * `remoteMaxAge`.
 *
 * The limits hold because a watch without changes ends after `watchTimeout`: near the homes, the
 * last known read is at most that and one poll old, unless both readers have failed.
 */

/** The timing of reads of the store and polls between daemons, in milliseconds. */
export interface PropagationTimes {
  /**
   * The longest wait of one watch. A change ends it at once; its timeout shows that there was none.
   */
  readonly watchTimeout: number;
  /**
   * A daemon near the homes reads the store itself when the last read it knows of is older than
   * this.
   */
  readonly nearMaxAge: number;
  /**
   * The same for a daemon that others answer and that is not near the homes; those read before it
   * has to.
   */
  readonly remoteMaxAge: number;
  /** The interval at which homes and their successors poll one another. */
  readonly nearPollInterval: number;
  /** The interval at which the other daemons poll those that they report to. */
  readonly remotePollInterval: number;
  /** The longest back-off of a reading daemon after a call that the store did not answer. */
  readonly maxBackoff: number;
  /** The same for a daemon far from the homes, which retry as well. */
  readonly maxRemoteBackoff: number;
}

/** The times as fractions of the promised propagation time. */
const FRACTIONS: PropagationTimes = {
  watchTimeout: 0.35,
  nearMaxAge: 0.5,
  remoteMaxAge: 0.75,
  nearPollInterval: 0.05,
  remotePollInterval: 0.125,
  maxBackoff: 0.5,
  maxRemoteBackoff: 1.25,
};

/**
 * Upper bounds of the poll intervals for any promise, because the same polls detect failed daemons.
 */
const MAX_NEAR_POLL_INTERVAL_MS = 100;
const MAX_REMOTE_POLL_INTERVAL_MS = 250;

/**
 * Upper bounds of the back-off for any promise, so that daemons catch up soon after an outage of
 * the store.
 */
const MAX_BACKOFF_MS = 1000;
const MAX_REMOTE_BACKOFF_MS = 2500;

/** Longer promises count as this one, so that a killed reader is noticed no later. */
const MAX_PROMISE_MS = 3000;

/**
 * Shorter promises count as this one: polls over a network can't keep them, and would take all of a
 * daemon's time.
 */
const MIN_PROMISE_MS = 500;

/**
 * Derives the times.
 *
 * @param promised the time within which a change is in force everywhere, in milliseconds
 */
export function planPropagation(promised: number): PropagationTimes {
  const time = Math.max(MIN_PROMISE_MS, Math.min(MAX_PROMISE_MS, promised));
  return {
    watchTimeout: FRACTIONS.watchTimeout * time,
    nearMaxAge: FRACTIONS.nearMaxAge * time,
    remoteMaxAge: FRACTIONS.remoteMaxAge * time,
    nearPollInterval: Math.min(MAX_NEAR_POLL_INTERVAL_MS, FRACTIONS.nearPollInterval * time),
    remotePollInterval: Math.min(MAX_REMOTE_POLL_INTERVAL_MS, FRACTIONS.remotePollInterval * time),
    maxBackoff: Math.min(MAX_BACKOFF_MS, FRACTIONS.maxBackoff * time),
    maxRemoteBackoff: Math.min(MAX_REMOTE_BACKOFF_MS, FRACTIONS.maxRemoteBackoff * time),
  };
}

/** The delays that the network, the store and the machines add, in milliseconds. */
export interface NetworkDelays {
  /** From sending a message to another daemon until that one handles it. */
  readonly hop: number;
  /** From a call to the store to its answer. */
  readonly storeCall: number;
}

/**
 * One-way trips of a poll, its reply, the connection for the fetch, and the fetch: two each for
 * connection and fetch.
 */
const HOPS_OF_FETCH = 6;

/**
 * Computes when the last daemon has a change, in milliseconds after it, if all readers failed just
 * before it.
 */
export function computeMaxPropagationDelay(
  times: PropagationTimes,
  { hop, storeCall }: NetworkDelays,
): number {
  const readNearHomes = times.nearMaxAge + storeCall;
  const fetchedElsewhere =
    readNearHomes + times.nearPollInterval + times.remotePollInterval + 2 * HOPS_OF_FETCH * hop;
  const readElsewhere = times.remoteMaxAge + storeCall;
  return Math.max(readNearHomes, Math.min(fetchedElsewhere, readElsewhere));
}
