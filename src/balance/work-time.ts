/**
 * How long work takes at a target whose speed was reported a while ago and is about to change.
 *
 * Work is measured in milliseconds at a usual, idle target. The speed expected later falls evenly from
 * the reported one to the mean of all targets while the report's life lasts.
 */
import type { SpeedPattern } from './slowdown-memory.js';

/** What is known of a target's speed. */
export interface SpeedForecast {
  /** The speed reported last. */
  readonly reported: number;
  /** How long ago that was, in milliseconds. */
  readonly age: number;
  readonly pattern: SpeedPattern;
}

/** Returns for how long the report still says something. */
function computeRest({ age, pattern }: SpeedForecast): number {
  return Math.max(0, pattern.life - age);
}

/** Computes the work that is done in the time to come. */
export function computeWork(forecast: SpeedForecast, time: number): number {
  const { reported, age, pattern } = forecast;
  const told = Math.min(time, computeRest(forecast));
  const trust = told * (1 - age / pattern.life) - told ** 2 / (2 * pattern.life);
  return pattern.mean * time + (reported - pattern.mean) * trust;
}

/** Estimates how long work takes that begins now. */
export function estimateDuration(forecast: SpeedForecast, work: number): number {
  const { reported, age, pattern } = forecast;
  const rest = computeRest(forecast);
  const workInRest = computeWork(forecast, rest);
  if (workInRest <= work) return rest + (work - workInRest) / pattern.mean;
  const difference = reported - pattern.mean;
  const speed = pattern.mean + difference * (1 - age / pattern.life);
  const bend = -difference / (2 * pattern.life);
  return (2 * work) / (speed + Math.sqrt(speed ** 2 + 4 * bend * work));
}

/** How a call ran, as far as the reports around it tell. */
export interface RunReports {
  readonly time: number;
  readonly start: SpeedForecast;
  /** The speed that came with the answer. */
  readonly atEnd: number;
}

/** Estimates the work of a call that ended, from its time and the reports at both ends. */
export function estimateWork({ time, start, atEnd }: RunReports): number {
  const { pattern, age } = start;
  const usual = pattern.mean * time;
  const fromStart = computeWork(start, time) - usual;
  const fromEnd = computeWork({ reported: atEnd, age: 0, pattern }, time) - usual;
  // A short call lies within the lives of both reports; each moment is to be counted once.
  const overlap = Math.max(1, 2 - (age + time) / pattern.life);
  return Math.max(0, usual + (fromStart + fromEnd) / overlap);
}
