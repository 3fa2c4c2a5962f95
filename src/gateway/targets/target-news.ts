/** Lines and counters for what targets say of themselves. */
import type { Log, TextMetrics } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';
import type { TargetService } from './target-service.js';

/** What has changed of the rate that a target names. */
export interface RateNews {
  /** Requests a second before and now; undefined where none is named. */
  readonly before: number | undefined;
  readonly rate: number | undefined;
  /** How long ago the target said so, in milliseconds. */
  readonly age: number;
  /** The IP number of the daemon that told of it, or `target`. */
  readonly from: string;
}

/** A header of a target's answer that could not be read. */
export interface UnreadableStatement {
  readonly field: 'rate' | 'draining' | 'backoff';
  readonly what: string;
}

/** What is told when a target says something new of itself. */
export interface TargetListener {
  onRate(target: GatewayTarget, news: RateNews): void;
  /** The target drains. @param from the IP number of the daemon that told of it, or `target` */
  onDraining(target: GatewayTarget, from: string, age: number): void;
  /** The target wants nothing from this daemon for a time, in milliseconds. */
  onBackoff(target: GatewayTarget, time: number): void;
  onBackoffOver(target: GatewayTarget): void;
  onUnreadable(target: GatewayTarget, statement: UnreadableStatement): void;
  /** No target of the service takes calls any more. */
  onDeserted(service: TargetService): void;
  /** Some targets of the service take calls again. */
  onServed(service: TargetService, usable: number): void;
}

const EXPECTED: Readonly<Record<UnreadableStatement['field'], string>> = {
  rate: 'a decimal number',
  draining: '1',
  backoff: 'a decimal number of seconds',
};

/** Tells of targets in lines, and counts. */
export class TargetNews implements TargetListener {
  /** @param readOwnRate what a target may get from here now */
  constructor(
    private readonly log: Log,
    private readonly metrics: TextMetrics,
    private readonly readOwnRate: (target: GatewayTarget) => number,
  ) {}

  onRate(target: GatewayTarget, { before, rate, age, from }: RateNews): void {
    const { incarnation, service } = target.record;
    const own = this.readOwnRate(target);
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

  onBackoffOver({ record }: GatewayTarget): void {
    const { incarnation, service } = record;
    this.log.info('target.resumed', { target: incarnation, service });
  }

  onDeserted(service: TargetService): void {
    this.log.warn('service.deserted', {
      ...{ service: service.name, targets: service.targets.size },
      ...{ draining: service.countDraining(), backed_off: service.countBackedOff() },
    });
  }

  onServed({ name, targets }: TargetService, usable: number): void {
    this.log.info('service.served', { service: name, targets: targets.size, usable });
  }

  onUnreadable({ record }: GatewayTarget, { field, what }: UnreadableStatement): void {
    const { incarnation, service } = record;
    this.log.warn(`${field}.unreadable`, {
      ...{ target: incarnation, what, expected: EXPECTED[field] },
    });
    this.metrics.count(`${field}_unreadable`, { service });
  }
}
