/** Log lines and counters for changes that targets announce. */
import type { Log, TextMetrics } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetService } from './target-service.js';

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

/** Receives the changes that targets announce. */
export interface TargetListener {
  onRateChange(target: GatewayTarget, change: RateChangeEvent): void;
  /**
   * The target is draining.
   *
   * @param from the IP address of the daemon that relayed it, or `target`
   * @param age time since the target announced it, in milliseconds
   */
  onDraining(target: GatewayTarget, from: string, age: number): void;
  /** The target asked this daemon for a back-off of this time, in milliseconds. */
  onBackoff(target: GatewayTarget, time: number): void;
  onBackoffEnd(target: GatewayTarget): void;
  onUnreadableHeader(target: GatewayTarget, header: UnreadableHeader): void;
  /** Nearly all recent calls failed there, so it gets only trials. */
  onFailing(target: GatewayTarget): void;
  /** A target that had been failing for some time, in milliseconds, has answered a call. */
  onRecovered(target: GatewayTarget, time: number): void;
  /** The service has no usable target any more. */
  onServiceUnavailable(service: TargetService): void;
  /** The service has usable targets again. */
  onServiceAvailable(service: TargetService, usable: number): void;
}

const EXPECTED_FORMATS: Readonly<Record<UnreadableHeader['field'], string>> = {
  rate: 'a decimal number',
  draining: '1',
  backoff: 'a decimal number of seconds',
};

/** Writes a log line and counts a metric for each change. */
export class TargetEventLog implements TargetListener {
  /** @param readLocalRate returns the calls a second that this daemon may send to a target now */
  constructor(
    private readonly log: Log,
    private readonly metrics: TextMetrics,
    private readonly readLocalRate: (target: GatewayTarget) => number,
  ) {}

  onRateChange(target: GatewayTarget, { before, rate, age, from }: RateChangeEvent): void {
    const { incarnation, service } = target.record;
    const own = this.readLocalRate(target);
    this.log.info('target.limited', {
      ...{ target: incarnation, service, rate: rate ?? 'none', before: before ?? 'none' },
      ...{ own: own === Infinity ? 'any' : own.toFixed(2), age: Math.round(age), from },
    });
  }

  onDraining({ record }: GatewayTarget, from: string, age: number): void {
    const { incarnation, service } = record;
    this.log.info('target.draining', {
      ...{ target: incarnation, service, from, age: Math.round(age) },
    });
    this.metrics.count('target_draining', { service });
  }

  onBackoff({ record }: GatewayTarget, time: number): void {
    const { incarnation, service } = record;
    this.log.info('target.backoff', { target: incarnation, service, time: Math.round(time) });
    this.metrics.count('target_backoff', { service });
  }

  onBackoffEnd({ record }: GatewayTarget): void {
    const { incarnation, service } = record;
    this.log.info('target.resumed', { target: incarnation, service });
  }

  onFailing({ record }: GatewayTarget): void {
    const { incarnation, service } = record;
    this.log.info('target.failing', { target: incarnation, service });
    this.metrics.count('target_failing', { service });
  }

  onRecovered({ record }: GatewayTarget, time: number): void {
    const { incarnation, service } = record;
    this.log.info('target.recovered', {
      ...{ target: incarnation, service, time: Math.round(time) },
    });
  }

  onServiceUnavailable(service: TargetService): void {
    this.log.warn('service.deserted', {
      ...{ service: service.name, targets: service.targets.size },
      ...{ draining: service.countDraining(), backed_off: service.countBackedOff() },
    });
  }

  onServiceAvailable({ name, targets }: TargetService, usable: number): void {
    this.log.info('service.served', { service: name, targets: targets.size, usable });
  }

  onUnreadableHeader({ record }: GatewayTarget, { field, what }: UnreadableHeader): void {
    const { incarnation, service } = record;
    this.log.warn(`${field}.unreadable`, {
      ...{ target: incarnation, what, expected: EXPECTED_FORMATS[field] },
    });
    this.metrics.count(`${field}_unreadable`, { service });
  }
}
