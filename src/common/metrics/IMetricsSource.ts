/** Renders the metrics of this process for scraping. */
export interface IMetricsSource {
  readonly contentType: string
  exposition (): Promise<string>
}
