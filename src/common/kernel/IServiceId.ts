/** Names a service; used as a parameter decorator it injects that service into a constructor. */
export interface IServiceId<T> {
  (target: object, key: string | symbol | undefined, index: number): void
  readonly serviceName: string
  /** Carries the service's interface for type inference; never set at run time. */
  readonly _type?: T
}
