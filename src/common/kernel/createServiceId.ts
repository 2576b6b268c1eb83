import type { IServiceId } from './IServiceId.js'
import { serviceDependencies } from './serviceDependencies.js'

/** Creates the identifier under which a service is registered and found. */
export function createServiceId<T> (serviceName: string): IServiceId<T> {
  const id = (target: object, _key: string | symbol | undefined, index: number): void => {
    const known = serviceDependencies.get(target) ?? new Map<number, IServiceId<unknown>>()
    known.set(index, id as IServiceId<unknown>)
    serviceDependencies.set(target, known)
  }
  return Object.assign(id, { serviceName })
}
