/** Lines and counters for what targets say of themselves. */
import type { Log, TextMetrics } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetService } from './target-service.js';

/** What has changed of the rate that a target names. */
export interface RateChangeEvent {
  /** Requests a second before and now; undefined where none is named. */
  readonly before: number | undefined;
  readonly rate: number | undefined;
  /** How long ago the target said so, in milliseconds. */
  readonly age: number;
  /** The IP number of the daemon that told of it, or `target`. */
  readonly from: string;
}

/** A header of a target's answer that could not be read. */
export interface UnreadableHeader {
  readonly field: 'rate' | 'draining' | 'backoff';
  readonly what: string;
}

/** What is told when a target says something new of itself. */
export interface TargetListener {
  onRateChange(target: GatewayTarget, change: RateChangeEvent): void;
  /** The target drains. @param from the IP number of the daemon that told of it, or `target` */
  onDraining(target: GatewayTarget, from: string, age: number): void;
  /** The target wants nothing from this daemon for a time, in milliseconds. */
  onBackoff(target: GatewayTarget, time: number): void;
  onBackoffEnd(target: GatewayTarget): void;
  onUnreadableHeader(target: GatewayTarget, header: UnreadableHeader): void;
  /** No target of the service takes calls any more. */
  onServiceUnavailable(service: TargetService): void;
  /** Some targets of the service take calls again. */
  onServiceAvailable(service: TargetService, usable: number): void;
}

const EXPECTED_FORMATS: Readonly<Record<UnreadableHeader['field'], string>> = {
  rate: 'a decimal number',
  draining: '1',
  backoff: 'a decimal number of seconds',
};

/** Tells of targets in lines, and counts. */
export class TargetEventLog implements TargetListener {
  /** @param readLocalRate what a target may get from here now */
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
