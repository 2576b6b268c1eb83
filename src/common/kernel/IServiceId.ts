/** Identifies a service. As a parameter decorator of a constructor it injects that service. */
export interface IServiceId<T> {
  (target: object, key: string | symbol | undefined, index: number): void
  readonly serviceName: string
  /** Holds the type of the service for type inference; never set at run time. */
  readonly _type?: T
}
