interface ReportSeries {
  name: string
  /** Pairs of x and y; x is a category in bar charts. */
  points: ReadonlyArray<readonly [number | string, number]>
}

/** A chart of a report. */
export interface ReportChart {
  title: string
  kind: 'bar' | 'line' | 'scatter'
  xName: string
  yName: string
  series: readonly ReportSeries[]
}
