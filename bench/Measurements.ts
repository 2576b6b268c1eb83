/** Measured values by name; the name ends with the unit. */
export type Measurements = Record<string, number>
