import { html, raw } from 'hono/html'
import type { Report } from './Report.js'
import { renderChart } from './renderChart.js'

/** Renders a report as one HTML page without external resources. */
export function renderReport ({ title, facts, charts }: Report): string {
  const rows = facts.map(([name, value]) => html`<tr><th>${name}</th><td>${value}</td></tr>`)
  const page = html`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${title}</title>
<style>body { font-family: sans-serif; margin: 2em } th { text-align: left; padding-right: 2em } td { white-space: pre-wrap }</style>
</head>
<body>
<h1>${title}</h1>
<table>${rows}</table>
${charts.map(chart => raw(renderChart(chart)))}
</body>
</html>
`
  return String(page)
}
