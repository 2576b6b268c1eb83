import type { IDisposable } from './IDisposable.js'
import type { IServiceId } from './IServiceId.js'

/** Finds services by name and builds classes whose constructors name the services they need. */
export interface IServiceRegistry extends IDisposable {
  /** Registers an instance; a second registration of the same name throws. */
  register<T> (id: IServiceId<T>, instance: T): T
  /** Builds a class and registers the instance, which is disposed with the registry. */
  registerClass<T> (id: IServiceId<T>, ctor: new (...args: any[]) => T, ...leading: unknown[]): T
  /** Returns a registered service; throws when the name is unknown. */
  get<T> (id: IServiceId<T>): T
  /** Builds a class: leading arguments first, then the services its constructor names. */
  create<T> (ctor: new (...args: any[]) => T, ...leading: unknown[]): T
}
