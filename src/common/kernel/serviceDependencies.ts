import type { IServiceId } from './IServiceId.js'

/** Injected services by constructor and parameter index; filled by the parameter decorators. */
export const serviceDependencies = new WeakMap<object, Map<number, IServiceId<unknown>>>()
