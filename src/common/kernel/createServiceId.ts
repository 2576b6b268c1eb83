import type { IServiceId } from './IServiceId.js'
import { serviceDependencies } from './serviceDependencies.js'

/** Creates the identifier under which a service is registered and looked up. */
export function createServiceId<T> (serviceName: string): IServiceId<T> {
  const id = (target: object, _key: string | symbol | undefined, index: number): void => {
    const dependencies = serviceDependencies.get(target) ?? new Map<number, IServiceId<unknown>>()
    dependencies.set(index, id as IServiceId<unknown>)
    serviceDependencies.set(target, dependencies)
  }
  return Object.assign(id, { serviceName })
}
