/** Counters, gauges and latency histograms of a process. Names have no prefix. */
export interface IMetrics {
  count (name: string, labels?: Record<string, string>, by?: number): void
  gauge (name: string, value: number, labels?: Record<string, string>): void
  /** Records a duration in milliseconds. */
  duration (name: string, valueMs: number, labels?: Record<string, string>): void
}
