/** Measured values by name. A name ends with its unit, for example `lookup p99 ms`. */
export type Measurements = Record<string, number>
