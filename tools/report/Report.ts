import type { ReportChart } from './ReportChart.js'

/** Content of a report of a run. */
export interface Report {
  title: string
  /** Lines of a table: name and value. */
  facts: ReadonlyArray<readonly [name: string, value: string]>
  charts: readonly ReportChart[]
}
