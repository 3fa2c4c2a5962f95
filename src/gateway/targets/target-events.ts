/** Log lines and counters for changes that targets announce. */
import type { Log, TextMetrics } from '../../kernel/index.js';
import type {
  AnnouncedService,
  AnnouncedTarget,
  FullEndedEvent,
  FullEvent,
  RateChangeEvent,
  TargetListener,
  UnreadableHeader,
} from './target-listener.js';

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
    private readonly readLocalRate: (target: AnnouncedTarget) => number,
  ) {}

  onRateChange(target: AnnouncedTarget, { before, rate, age, from }: RateChangeEvent): void {
    const { incarnation, service } = target.record;
    const own = this.readLocalRate(target);
    this.log.info('target.limited', {
      ...{ target: incarnation, service, rate: rate ?? 'none', before: before ?? 'none' },
      ...{ own: own === Infinity ? 'any' : own.toFixed(2), age: Math.round(age), from },
    });
  }

  onDraining({ record }: AnnouncedTarget, from: string, age: number): void {
    const { incarnation, service } = record;
    this.log.info('target.draining', {
      ...{ target: incarnation, service, from, age: Math.round(age) },
    });
    this.metrics.count('target_draining', { service });
  }

  onBackoff({ record }: AnnouncedTarget, time: number): void {
    const { incarnation, service } = record;
    this.log.info('target.backoff', { target: incarnation, service, time: Math.round(time) });
    this.metrics.count('target_backoff', { service });
  }

  onBackoffEnd({ record }: AnnouncedTarget): void {
    const { incarnation, service } = record;
    this.log.info('target.resumed', { target: incarnation, service });
  }

  onFailing({ record }: AnnouncedTarget): void {
    const { incarnation, service } = record;
    this.log.info('target.failing', { target: incarnation, service });
    this.metrics.count('target_failing', { service });
  }

  onRecovered({ record }: AnnouncedTarget, time: number): void {
    const { incarnation, service } = record;
    this.log.info('target.recovered', {
      ...{ target: incarnation, service, time: Math.round(time) },
    });
  }

  onFull({ record }: AnnouncedTarget, { limit, from }: FullEvent): void {
    const { incarnation, service } = record;
    this.log.info('target.full', { target: incarnation, service, limit, from });
    this.metrics.count('target_full', { service });
  }

  onFullEnded({ record }: AnnouncedTarget, { time, resets }: FullEndedEvent): void {
    const { incarnation, service } = record;
    this.log.info('target.full_ended', {
      ...{ target: incarnation, service, time: Math.round(time), resets },
    });
  }

  onServiceUnavailable(service: AnnouncedService): void {
    this.log.warn('service.deserted', {
      ...{ service: service.name, targets: service.targets.size },
      ...{ draining: service.countDraining(), backed_off: service.countBackedOff() },
    });
  }

  onServiceAvailable({ name, targets }: AnnouncedService, usable: number): void {
    this.log.info('service.served', { service: name, targets: targets.size, usable });
  }

  onUnreadableHeader({ record }: AnnouncedTarget, { field, what }: UnreadableHeader): void {
    const { incarnation, service } = record;
    this.log.warn(`${field}.unreadable`, {
      ...{ target: incarnation, what, expected: EXPECTED_FORMATS[field] },
    });
    this.metrics.count(`${field}_unreadable`, { service });
  }
}
