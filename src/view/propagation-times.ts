/**
 * The times by which a change in the store comes to every daemon, worked out from the time within which that is promised.
 *
 * The longest way: those that read the store for all have turned silent just before the change. A daemon near the homes
 * notices that it knows of no reading younger than `nearStale` and reads itself; others near the homes ask it within
 * `nearPace`, those farther off ask these within `remotePace` and fetch what is new. Should that fail as well, a daemon
 * farther off reads by itself once it knows of no reading younger than `remoteStale`.
 *
 * What makes these more than a guess: a watch that brings nothing ends after `watchWait`, so a reading that is known near
 * the homes is no older than that and a question, unless both readers are silent.
 */

/** Times in milliseconds. */
export interface PropagationTimes {
  /** How long one watch waits: news come at once, and its end shows that there were none. */
  readonly watchTimeout: number;
  /** When no reading younger than this is known of, a daemon near the homes reads for itself. */
  readonly nearMaxAge: number;
  /** The same for a daemon that is told by others and is not near the homes, which read before it has to. */
  readonly remoteMaxAge: number;
  /** How often homes and their successors ask one another. */
  readonly nearPollInterval: number;
  /** How often the others ask the daemons that they report to. */
  readonly remotePollInterval: number;
  /** The longest pause of a daemon that reads, after a call that the store did not answer. */
  readonly maxBackoff: number;
  /** The same for one whose homes try as well. */
  readonly maxRemoteBackoff: number;
}

/** Parts of the promised time. */
const FRACTIONS: PropagationTimes = {
  watchTimeout: 0.35,
  nearMaxAge: 0.5,
  remoteMaxAge: 0.75,
  nearPollInterval: 0.05,
  remotePollInterval: 0.125,
  maxBackoff: 0.5,
  maxRemoteBackoff: 1.25,
};

/** Presence is told by the same questions, so they come no more slowly than this, whatever is promised. */
const MAX_NEAR_POLL_INTERVAL_MS = 100;
const MAX_REMOTE_POLL_INTERVAL_MS = 250;

/** Pauses are no longer than this, whatever is promised: once the store is back daemons are to be in step soon. */
const MAX_BACKOFF_MS = 1000;
const MAX_REMOTE_BACKOFF_MS = 2500;

/** A longer promise is no reason to learn of a killed reader later than this, in milliseconds. */
const MAX_PROMISE_MS = 3000;

/** A shorter one can't be kept with questions over a network, and its times would be spent on nothing else. */
const MIN_PROMISE_MS = 500;

/** Plans the times. @param promised the time within which a change is to be in force everywhere, in milliseconds */
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

/** What the platform and the machines add to a way, in milliseconds. */
export interface NetworkDelays {
  /** One way between two daemons, until what was sent is looked at. */
  readonly hop: number;
  /** From a call to the store to its answer. */
  readonly storeCall: number;
}

/** Hops of a question, its answer, a connection for the fetch, and the fetch. */
const HOPS_OF_FETCH = 6;

/** Computes how long after a change the last daemon has it, when those that read for all turned silent just before. */
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
