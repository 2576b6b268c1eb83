/** Measured values by name; the name ends with the unit. */
export type Figures = Record<string, number>
