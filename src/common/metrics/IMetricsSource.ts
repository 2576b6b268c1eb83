/** Renders the metrics of this process for a scraper. */
export interface IMetricsSource {
  readonly contentType: string
  /** All metrics in the Prometheus text format. */
  exposition (): Promise<string>
}
