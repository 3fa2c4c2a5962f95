/** What announces changes of targets and services, and to whom. */
import type { TargetRecord } from '../../platform/index.js';

/** A target, as far as its changes are announced. */
export interface AnnouncedTarget {
  readonly record: TargetRecord;
  /** Identifies the incarnation between daemons. */
  readonly hash: number;
}

/** A service, as far as its changes are announced. */
export interface AnnouncedService {
  readonly name: string;
  readonly targets: ReadonlyMap<string, AnnouncedTarget>;
  /** Counts the targets that stated that they are draining. */
  countDraining(): number;
  /** Counts the targets that asked this daemon for a back-off that lasts still. */
  countBackedOff(): number;
}

/** A change of the rate that a target advertises. */
export interface RateChangeEvent {
  /** Requests a second before and now; undefined when the target advertises no rate. */
  readonly before: number | undefined;
  readonly rate: number | undefined;
  /** Time since the target advertised it, in milliseconds. */
  readonly age: number;
  /** The IP address of the daemon that relayed it, or `target`. */
  readonly from: string;
}

/** A header of a target's response that could not be parsed. */
export interface UnreadableHeader {
  readonly field: 'rate' | 'draining' | 'backoff';
  /** The header's value, as received. */
  readonly what: string;
}

/** A target has reset a connection because it was full. */
export interface FullEvent {
  /** Calls that it may have from all daemons from now on. */
  readonly limit: number;
  /** The IP address of the daemon that told, or `target`. */
  readonly from: string;
}

/** The limit of a full target has ended. */
export interface FullEndedEvent {
  /** Time since its first reset, in milliseconds. */
  readonly time: number;
  /** Calls of this daemon that were reset in that time. */
  readonly resets: number;
}

/** Receives the changes that targets announce. */
export interface TargetListener {
  onRateChange(target: AnnouncedTarget, change: RateChangeEvent): void;
  /**
   * The target is draining.
   *
   * @param from the IP address of the daemon that relayed it, or `target`
   * @param age time since the target announced it, in milliseconds
   */
  onDraining(target: AnnouncedTarget, from: string, age: number): void;
  /** The target asked this daemon for a back-off of this time, in milliseconds. */
  onBackoff(target: AnnouncedTarget, time: number): void;
  onBackoffEnd(target: AnnouncedTarget): void;
  onUnreadableHeader(target: AnnouncedTarget, header: UnreadableHeader): void;
  /** Nearly all recent calls failed there, so it gets only trials. */
  onFailing(target: AnnouncedTarget): void;
  /** A target that had been failing for some time, in milliseconds, has answered a call. */
  onRecovered(target: AnnouncedTarget, time: number): void;
  /** The target reset a connection because it was full, so it gets fewer calls. */
  onFull(target: AnnouncedTarget, event: FullEvent): void;
  /** The target may have as many calls again as before. */
  onFullEnded(target: AnnouncedTarget, event: FullEndedEvent): void;
  /** The service has no usable target any more. */
  onServiceUnavailable(service: AnnouncedService): void;
  /** The service has usable targets again. */
  onServiceAvailable(service: AnnouncedService, usable: number): void;
}
