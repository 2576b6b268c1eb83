import { Counter, Gauge, Registry } from 'prom-client'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import { DurationSeries } from './DurationSeries.js'
import type { IMetrics } from './IMetrics.js'
import type { IMetricsSource } from './IMetricsSource.js'

type Labels = Record<string, string>

const PREFIX = 'hyssopvalve_'
const DURATION_INTERVAL_MS = 30_000
// Bounds memory when a label has unexpectedly many values; further series are dropped.
const MAX_SERIES_PER_METRIC = 500

/** Counters, gauges and duration quantiles over recent intervals, exposed in the Prometheus text format. */
export class Metrics extends Disposable implements IMetrics, IMetricsSource {
  private readonly _registry = new Registry()
  private readonly _counters = new Map<string, { metric: Counter, labelNames: string[], seriesKeys: Set<string> }>()
  private readonly _gauges = new Map<string, { metric: Gauge, labelNames: string[], seriesKeys: Set<string> }>()
  private readonly _durations = new Map<string, Map<string, { labels: Labels, series: DurationSeries }>>()

  readonly contentType = this._registry.contentType

  start (): void {
    this._register(startInterval(() => this._rotate(), DURATION_INTERVAL_MS))
  }

  count (name: string, labels: Labels = {}, by = 1): void {
    const counter = getOrAdd(this._counters, name, () => ({
      metric: new Counter({ name: PREFIX + name, help: name, labelNames: Object.keys(labels), registers: [this._registry] }),
      labelNames: Object.keys(labels),
      seriesKeys: new Set<string>()
    }))
    const selected = selectLabels(counter.labelNames, labels)
    if (admitSeries(counter.seriesKeys, selected)) counter.metric.inc(selected, by)
  }

  gauge (name: string, value: number, labels: Labels = {}): void {
    const gauge = getOrAdd(this._gauges, name, () => ({
      metric: new Gauge({ name: PREFIX + name, help: name, labelNames: Object.keys(labels), registers: [this._registry] }),
      labelNames: Object.keys(labels),
      seriesKeys: new Set<string>()
    }))
    const selected = selectLabels(gauge.labelNames, labels)
    if (admitSeries(gauge.seriesKeys, selected)) gauge.metric.set(selected, value)
  }

  duration (name: string, valueMs: number, labels: Labels = {}): void {
    const byLabels = getOrAdd(this._durations, name, () => new Map<string, { labels: Labels, series: DurationSeries }>())
    const key = labelKey(labels)
    if (!byLabels.has(key) && byLabels.size >= MAX_SERIES_PER_METRIC) return
    getOrAdd(byLabels, key, () => ({ labels, series: new DurationSeries() })).series.record(valueMs)
  }

  async exposition (): Promise<string> {
    for (const [name, byLabels] of this._durations) {
      for (const { labels, series } of byLabels.values()) {
        for (const [quantile, value] of Object.entries(series.quantiles())) {
          this.gauge(`${name}_ms`, value, { ...labels, quantile })
        }
        this.gauge(`${name}_observed`, series.total, labels)
        this.gauge(`${name}_sum_ms`, series.sumMs, labels)
      }
    }
    return await this._registry.metrics()
  }

  private _rotate (): void {
    for (const byLabels of this._durations.values()) {
      for (const { series } of byLabels.values()) series.rotate()
    }
  }
}

function getOrAdd<K, V> (map: Map<K, V>, key: K, create: () => V): V {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const created = create()
  map.set(key, created)
  return created
}

/** Selects the labels that the first use of the metric declared, because prom-client throws on undeclared ones. Missing labels are empty. */
function selectLabels (names: readonly string[], labels: Labels): Labels {
  return Object.fromEntries(names.map(name => [name, labels[name] ?? '']))
}

/** Returns false when the series would exceed the limit of its metric. */
function admitSeries (seriesKeys: Set<string>, labels: Labels): boolean {
  const key = labelKey(labels)
  if (seriesKeys.has(key)) return true
  if (seriesKeys.size >= MAX_SERIES_PER_METRIC) return false
  seriesKeys.add(key)
  return true
}

function labelKey (labels: Labels): string {
  return JSON.stringify(Object.entries(labels).sort())
}
