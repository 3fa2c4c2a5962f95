/** Daemons as processes of their own, whose memory is watched. */
import { type ChildProcess, spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { once } from 'node:events';

const BYTES_PER_MB = 1_048_576;
const CHECK_INTERVAL_MS = 20;

/** How much of what a process wrote last is kept, in characters. */
const MAX_OUTPUT = 2000;

/** Reads the most memory that a process has used, in MB; undefined when it has ended. */
function readPeakMemory(pid: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    return (Number(/^VmHWM:\s+(\d+) kB/m.exec(text)?.[1] ?? 0) * 1024) / BYTES_PER_MB;
  } catch {
    return undefined;
  }
}

/** Returns the arguments with which `deploy/system.toml` runs the gateway. */
function readDeployedArguments(): readonly string[] {
  const line = /^run = "node (.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
  return line?.[1]?.split(' ') ?? [];
}

/** Watches the memory of a process; ends it when it uses more than its machine has. */
export class MemoryWatch {
  /** The most memory that it has used, in MB. */
  peak = 0;

  /** Why it ended before it was told to; undefined while it runs. */
  fault: string | undefined;

  readonly #timer: NodeJS.Timeout;

  #output = '';

  constructor(
    private readonly child: ChildProcess,
    private readonly memory: number,
  ) {
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', (data: Buffer) => {
        this.#output = (this.#output + data.toString()).slice(-MAX_OUTPUT);
      });
    }
    child.once('exit', (code, signal) => {
      this.fault ??= `ended with ${code ?? signal}: ${this.#output}`;
    });
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  #check(): void {
    const { pid } = this.child;
    const memory = pid === undefined ? undefined : readPeakMemory(pid);
    if (memory === undefined) return;
    this.peak = Math.max(this.peak, memory);
    if (memory <= this.memory || this.fault !== undefined) return;
    this.fault = `used ${Math.round(memory)} MB of ${this.memory}`;
    this.child.kill('SIGKILL');
  }

  /** Stops watching. */
  stop(): void {
    this.#check();
    clearInterval(this.#timer);
  }
}

/** Starts the gateway as it is deployed. */
export function startDeployedGateway(settingsFile: string): ChildProcess {
  const args = [...readDeployedArguments(), '--settings', settingsFile];
  return spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
}

/** Ends a process and waits until it has ended. */
export async function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = once(child, 'exit');
  child.kill('SIGKILL');
  await ended;
}
