import { median } from './median.js'
import type { Report } from './Report.js'

/**
 * Prints the median and range of each measurement over the rounds, then for the measurements in `summaryNames`
 * the ratios of the default to each other variant.
 */
export function printReport (report: Report, summaryNames: readonly string[]): void {
  const variants = Object.keys(report.rounds)
  const names = [...new Set(Object.values(report.rounds).flat().flatMap(measurements => Object.keys(measurements)))]
  const getValues = (variant: string, name: string) => report.rounds[variant]!.map(measurements => measurements[name] ?? NaN)
  const rows = Object.fromEntries(names.map(name => [name, Object.fromEntries(variants.map(variant => {
    const roundValues = getValues(variant, name)
    return [variant, `${format(median(roundValues))} [${format(Math.min(...roundValues))}..${format(Math.max(...roundValues))}]`]
  }))]))
  console.table(rows)
  const [defaultVariant = '', ...others] = variants
  const ratios = summaryNames.flatMap(name => others.map(other =>
    `${name}: ${defaultVariant}/${other}=${format(median(getValues(defaultVariant, name)) / median(getValues(other, name)))}`))
  console.log(`scenario=${report.scenario} seed=${report.seed} ${ratios.join('; ')}`)
}

function format (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(Math.abs(value) >= 10 ? 1 : 2)
}
