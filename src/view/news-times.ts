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
export interface NewsTimes {
  /** How long one watch waits: news come at once, and its end shows that there were none. */
  readonly watchWait: number;
  /** When no reading younger than this is known of, a daemon near the homes reads for itself. */
  readonly nearStale: number;
  /** The same for a daemon that is told by others and is not near the homes, which read before it has to. */
  readonly remoteStale: number;
  /** How often homes and their successors ask one another. */
  readonly nearPace: number;
  /** How often the others ask the daemons that they report to. */
  readonly remotePace: number;
  /** The longest pause of a daemon that reads, after a call that the store did not answer. */
  readonly longestPause: number;
  /** The same for one whose homes try as well. */
  readonly longestRemotePause: number;
}

/** Parts of the promised time. */
const PARTS: NewsTimes = {
  watchWait: 0.35,
  nearStale: 0.5,
  remoteStale: 0.75,
  nearPace: 0.05,
  remotePace: 0.125,
  longestPause: 0.5,
  longestRemotePause: 1.25,
};

/** Presence is told by the same questions, so they come no more slowly than this, whatever is promised. */
const SLOWEST_NEAR_PACE = 100;
const SLOWEST_REMOTE_PACE = 250;

/** Pauses are no longer than this, whatever is promised: once the store is back daemons are to be in step soon. */
const LONGEST_PAUSE = 1000;
const LONGEST_REMOTE_PAUSE = 2500;

/** A longer promise is no reason to learn of a killed reader later than this, in milliseconds. */
const LONGEST_PROMISE = 3000;

/** A shorter one can't be kept with questions over a network, and its times would be spent on nothing else. */
const SHORTEST_PROMISE = 500;

/** Plans the times. @param promised the time within which a change is to be in force everywhere, in milliseconds */
export function planNews(promised: number): NewsTimes {
  const time = Math.max(SHORTEST_PROMISE, Math.min(LONGEST_PROMISE, promised));
  return {
    watchWait: PARTS.watchWait * time,
    nearStale: PARTS.nearStale * time,
    remoteStale: PARTS.remoteStale * time,
    nearPace: Math.min(SLOWEST_NEAR_PACE, PARTS.nearPace * time),
    remotePace: Math.min(SLOWEST_REMOTE_PACE, PARTS.remotePace * time),
    longestPause: Math.min(LONGEST_PAUSE, PARTS.longestPause * time),
    longestRemotePause: Math.min(LONGEST_REMOTE_PAUSE, PARTS.longestRemotePause * time),
  };
}

/** What the platform and the machines add to a way, in milliseconds. */
export interface WayDelays {
  /** One way between two daemons, until what was sent is looked at. */
  readonly hop: number;
  /** From a call to the store to its answer. */
  readonly call: number;
}

/** Hops of a question, its answer, a connection for the fetch, and the fetch. */
const HOPS_OF_NEWS = 6;

/** Computes how long after a change the last daemon has it, when those that read for all turned silent just before. */
export function computeLongestWay(times: NewsTimes, { hop, call }: WayDelays): number {
  const near = times.nearStale + call;
  const told = near + times.nearPace + times.remotePace + 2 * HOPS_OF_NEWS * hop;
  const alone = times.remoteStale + call;
  return Math.max(near, Math.min(told, alone));
}
