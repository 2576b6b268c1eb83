import { DisposableStore } from './DisposableStore.js'
import type { IDisposable } from './IDisposable.js'
import type { IServiceId } from './IServiceId.js'
import type { IServiceRegistry } from './IServiceRegistry.js'
import { serviceDependencies } from './serviceDependencies.js'

/** Dependency injection container: services by name, disposed in reverse order of registration. */
export class ServiceRegistry implements IServiceRegistry {
  private readonly _services = new Map<string, unknown>()
  private readonly _store = new DisposableStore()

  register<T> (id: IServiceId<T>, instance: T): T {
    if (this._services.has(id.serviceName)) {
      throw new Error(`service ${id.serviceName} is already registered`)
    }
    this._services.set(id.serviceName, instance)
    return instance
  }

  registerClass<T> (id: IServiceId<T>, ctor: new (...args: any[]) => T, ...leadingArgs: unknown[]): T {
    const instance = this.register(id, this.create(ctor, ...leadingArgs))
    if (isDisposable(instance)) {
      this._store.add(instance)
    }
    return instance
  }

  get<T> (id: IServiceId<T>): T {
    if (!this._services.has(id.serviceName)) {
      throw new Error(`service ${id.serviceName} is not registered`)
    }
    return this._services.get(id.serviceName) as T
  }

  create<T> (ctor: new (...args: any[]) => T, ...leadingArgs: unknown[]): T {
    const args = [...leadingArgs]
    const dependencies = serviceDependencies.get(ctor) ?? new Map<number, IServiceId<unknown>>()
    for (const [index, id] of dependencies) {
      args[index] = this.get(id)
    }
    return new ctor(...args) // eslint-disable-line new-cap
  }

  dispose (): void {
    this._store.dispose()
    this._services.clear()
  }
}

function isDisposable (value: unknown): value is IDisposable {
  return typeof (value as Partial<IDisposable>)?.dispose === 'function'
}
