import { median } from './median.js'
import type { Report } from './Report.js'

/** Prints medians with the range over the rounds, and last the ratios of the default to the other variants. */
export function printReport (report: Report, headline: readonly string[]): void {
  const variants = Object.keys(report.rounds)
  const names = [...new Set(Object.values(report.rounds).flat().flatMap(figures => Object.keys(figures)))]
  const values = (variant: string, name: string) => report.rounds[variant]!.map(figures => figures[name] ?? NaN)
  const rows = Object.fromEntries(names.map(name => [name, Object.fromEntries(variants.map(variant => {
    const list = values(variant, name)
    return [variant, `${format(median(list))} [${format(Math.min(...list))}..${format(Math.max(...list))}]`]
  }))]))
  console.table(rows)
  const [standard = '', ...others] = variants
  const ratios = headline.flatMap(name => others.map(other =>
    `${name}: ${standard}/${other}=${format(median(values(standard, name)) / median(values(other, name)))}`))
  console.log(`scenario=${report.scenario} seed=${report.seed} ${ratios.join('; ')}`)
}

function format (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(Math.abs(value) >= 10 ? 1 : 2)
}
