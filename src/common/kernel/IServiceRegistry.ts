import type { IDisposable } from './IDisposable.js'
import type { IServiceId } from './IServiceId.js'

/** Looks up services by name and constructs classes, injecting the services that their constructor parameters are decorated with. */
export interface IServiceRegistry extends IDisposable {
  /** Registers an instance; throws if the name is already registered. */
  register<T> (id: IServiceId<T>, instance: T): T
  /** Constructs a class and registers the instance, which is disposed with the registry if it has a `dispose` method. */
  registerClass<T> (id: IServiceId<T>, ctor: new (...args: any[]) => T, ...leadingArgs: unknown[]): T
  /** Returns a registered service; throws if the name is not registered. */
  get<T> (id: IServiceId<T>): T
  /** Constructs a class from the leading arguments, followed by the injected services. */
  create<T> (ctor: new (...args: any[]) => T, ...leadingArgs: unknown[]): T
}
