import { init } from 'echarts'
import type { ReportChart } from './ReportChart.js'

const WIDTH_PX = 820
const HEIGHT_PX = 320

/** Renders a chart as an SVG image. */
export function renderChart ({ title, kind, xName, yName, series }: ReportChart): string {
  const chart = init(null, undefined, { renderer: 'svg', ssr: true, width: WIDTH_PX, height: HEIGHT_PX })
  chart.setOption({
    animation: false,
    title: { text: title, textStyle: { fontSize: 14 } },
    legend: { top: 24 },
    grid: { top: 64, containLabel: true },
    xAxis: { type: kind === 'bar' ? 'category' : 'value', name: xName, nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'value', name: yName },
    series: series.map(({ name, points }) => ({ name, type: kind, data: points, symbolSize: 5 }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}
