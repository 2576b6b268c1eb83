/** Counters, gauges and duration histograms of a process. Metric names are given without the `hyssopvalve_` prefix. */
export interface IMetrics {
  count (name: string, labels?: Record<string, string>, by?: number): void
  gauge (name: string, value: number, labels?: Record<string, string>): void
  /** Records a duration in milliseconds. */
  duration (name: string, valueMs: number, labels?: Record<string, string>): void
}
