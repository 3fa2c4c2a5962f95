/**
 * The micro-kernel: a registry in which services find each other by name.
 *
 * The kernel knows nothing about load balancing. Each feature registers the service it offers and
 * looks up the ones it needs, so a test or another program can replace any of them.
 */

/** A name under which a service of type `T` is registered. */
export interface ServiceKey<T> {
  readonly name: string;
  /** Carries the service's type; it has no value at run time. */
  readonly type?: T;
}

/** Names a service. Two names are the same service when their texts are equal. */
export function createServiceKey<T>(text: string): ServiceKey<T> {
  return { name: text };
}

/** A broken invariant: a fault in this program, never in its input. It stops the process. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/** Throws an {@link InvariantError} with `message` unless `holds` is true. */
export function assertInvariant(holds: boolean, message: string): asserts holds {
  if (!holds) throw new InvariantError(message);
}

/** A registry of services with typed names. */
export class Kernel {
  readonly #services = new Map<string, unknown>();

  /** Registers `service` under `name`; a name can be registered once. */
  provide<T>(name: ServiceKey<T>, service: T): this {
    assertInvariant(!this.#services.has(name.name), `service "${name.name}" is registered twice`);
    this.#services.set(name.name, service);
    return this;
  }

  /** Returns the service registered under `name`; a missing one is a broken invariant. */
  find<T>(name: ServiceKey<T>): T {
    assertInvariant(this.#services.has(name.name), `no service is registered as "${name.name}"`);
    return this.#services.get(name.name) as T;
  }

  /** Tells whether a service is registered under `name`. */
  has<T>(name: ServiceKey<T>): boolean {
    return this.#services.has(name.name);
  }
}
