/**
 * The micro-kernel: a registry of services with typed keys.
 *
 * The kernel knows nothing about load balancing. Each feature registers the service it offers and
 * looks up the ones it needs, so a test or another program can replace any of them.
 */

/** A key under which a service of type `T` is registered. */
export interface ServiceKey<T> {
  readonly name: string;
  /** Carries the service's type; it has no value at run time. */
  readonly type?: T;
}

/** Creates the key of a service. Keys with equal names stand for the same service. */
export function createServiceKey<T>(name: string): ServiceKey<T> {
  return { name };
}

/** A broken invariant: a fault in this program, never in its input. It stops the process. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/** Throws an {@link InvariantError} with `message` unless `holds` is true. */
export function assertInvariant(holds: boolean, message: string): asserts holds {
  if (!holds) throw new InvariantError(message);
}

/** A registry of services with typed keys. */
export class Kernel {
  readonly #services = new Map<string, unknown>();

  /** Registers `service` under `key`; each key can be registered once. */
  provide<T>(key: ServiceKey<T>, service: T): this {
    assertInvariant(!this.#services.has(key.name), `service "${key.name}" is registered twice`);
    this.#services.set(key.name, service);
    return this;
  }

  /** Returns the service registered under `key`; a missing one is a broken invariant. */
  find<T>(key: ServiceKey<T>): T {
    assertInvariant(this.#services.has(key.name), `no service is registered as "${key.name}"`);
    return this.#services.get(key.name) as T;
  }

  /** Whether a service is registered under `key`. */
  has<T>(key: ServiceKey<T>): boolean {
    return this.#services.has(key.name);
  }
}
