import { mkdir, writeFile } from 'node:fs/promises'
import { dirname } from 'node:path'
import type { Report } from './Report.js'
import { renderReport } from './renderReport.js'

/** Writes a report as an HTML file and creates its folder. */
export async function writeReport (file: string, report: Report): Promise<void> {
  await mkdir(dirname(file), { recursive: true })
  await writeFile(file, renderReport(report))
}
