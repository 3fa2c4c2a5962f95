/** Time as a kernel service, so that a test or a test bench can replace it. */
import os from 'node:os';
import { createServiceKey } from './kernel.js';
import { SuspensionMeter, type ClockSources } from './suspension.js';

/** A pending timer. */
export interface Timer {
  /** Cancels the timer; no effect when it has fired. */
  cancel(): void;
}

/** The time service. All times are in milliseconds. */
export interface Clock {
  /**
   * Monotonic time from an arbitrary origin; it never goes back. It includes the time for which the
   * machine was suspended, so that state from before a suspension doesn't look fresh after it.
   * Timers don't count that time.
   */
  now(): number;
  /** Wall-clock time since 1970. It may jump, and differs between VMs. */
  wall(): number;
  /** Calls `action` once after `delay` milliseconds. */
  schedule(delay: number, action: () => void): Timer;
  /** Resolves after `delay` milliseconds, or at once when `signal` aborts. */
  sleep(delay: number, signal?: AbortSignal): Promise<void>;
}

/** The key of the time service. */
export const clockService = createServiceKey<Clock>('clock');

/** Resolves after `delay` on the given scheduler, or when `signal` aborts, whichever is first. */
export function sleepOn(
  schedule: Clock['schedule'],
  delay: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      signal?.removeEventListener('abort', finish);

      timer.cancel();
      resolve();
    };
    const timer = schedule(delay, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}

const SYSTEM_CLOCKS: ClockSources = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
  sinceBoot: () => os.uptime() * 1000,
};

/** Creates the system clock of the machine. */
export function createSystemClock(sources = SYSTEM_CLOCKS): Clock {
  const meter = new SuspensionMeter(sources);
  const schedule = (delay: number, action: () => void): Timer => {
    const handle = setTimeout(action, delay);
    return { cancel: () => clearTimeout(handle) };
  };
  return {
    now: () => {
      const monotonic = sources.monotonic();
      return monotonic + meter.read(monotonic);
    },
    wall: () => sources.wall(),
    schedule,
    sleep: (delay, signal) => sleepOn(schedule, delay, signal),
  };
}

interface PendingTimer {
  readonly dueAt: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** A clock that only moves when it is advanced. Timers fire in the order of their due times. */
export class ManualClock implements Clock {
  #now = 0;

  #nextSequence = 0;

  #pending: readonly PendingTimer[] = [];

  readonly #origin: number;

  /** @param origin wall-clock time at the start, in milliseconds since 1970 */
  constructor(origin = 0) {
    this.#origin = origin;
  }

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#origin + this.#now;
  }

  schedule(delay: number, action: () => void): Timer {
    const timer: PendingTimer = {
      dueAt: this.#now + Math.max(0, delay),
      sequence: this.#nextSequence,
      action,
    };
    this.#nextSequence += 1;
    this.#pending = [...this.#pending, timer];
    return {
      cancel: () => {
        this.#pending = this.#pending.filter((other) => other !== timer);
      },
    };
  }

  sleep(delay: number, signal?: AbortSignal): Promise<void> {
    return sleepOn((after, action) => this.schedule(after, action), delay, signal);
  }

  /** Advances time by `span`; fires each due timer and lets its continuations run. */
  async advance(span: number): Promise<void> {
    const end = this.#now + span;
    const runContinuations = () =>
      new Promise((resolve) => {
        setImmediate(resolve);
      });
    // Code that is already running may be about to set a timer within this span.
    await runContinuations();
    for (;;) {
      const [next] = this.#pending
        .filter((entry) => entry.dueAt <= end)
        .sort((a, b) => a.dueAt - b.dueAt || a.sequence - b.sequence);
      if (next === undefined) break;
      this.#pending = this.#pending.filter((entry) => entry !== next);
      this.#now = next.dueAt;
      next.action();
      await runContinuations();
    }
    this.#now = end;
  }
}
