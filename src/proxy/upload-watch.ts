/** Watches an upload that is streamed to a target, whether it keeps its slot. */
import type { IncomingMessage } from 'node:http';
import { UploadPace } from '../balance/index.js';
import type { Clock, Timer } from '../kernel/index.js';

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** An upload and what happens to it. */
export interface WatchedUpload {
  readonly clock: Clock;
  readonly request: IncomingMessage;
  /** Whether other calls wait for a slot. */
  readonly hasWaitingCalls: () => boolean;
  /** Called once, when the upload is too slow to keep its slot from them. */
  readonly onTooSlow: () => void;
}

/** Watches an upload until all of it has arrived, or the watch is cancelled. */
export function watchUpload(upload: WatchedUpload): Timer {
  const { clock, request, hasWaitingCalls, onTooSlow } = upload;
  const { socket } = request;
  const readState = () => ({
    received: socket.bytesRead,
    isRead: !socket.isPaused(),
    hasWaitingCalls: hasWaitingCalls(),
  });
  const pace = new UploadPace(clock.now(), readState());
  const scheduleCheck = (): Timer =>
    clock.schedule(CHECK_INTERVAL_MS, () => {
      if (request.complete || request.destroyed) return;
      if (pace.isTooSlow(clock.now(), readState())) onTooSlow();
      else timer = scheduleCheck();
    });
  let timer = scheduleCheck();
  return { cancel: () => timer.cancel() };
}
