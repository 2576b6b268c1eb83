import type { Hono } from 'hono'
import type { IMetricsSource } from '../../../common/metrics/IMetricsSource.js'
import { metricsSourceId } from '../../../common/metrics/metricsSourceId.js'
import { addRoute } from './addRoute.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { IRoutes } from './IRoutes.js'
import type { Readiness } from '../Readiness.js'
import { readinessId } from '../readinessId.js'

/** Health and metrics endpoints, without authentication. */
export class HealthRoutes implements IRoutes {
  constructor (
    @readinessId private readonly _readiness: Readiness,
    @metricsSourceId private readonly _metrics: IMetricsSource
  ) {}

  mount (app: Hono<AppEnv>): void {
    addRoute(app, '/livez', { GET: context => context.json({ live: true }) })
    addRoute(app, '/readyz', {
      GET: context => {
        const reason = this._readiness.notReadyReason()
        return reason === undefined ? context.json({ ready: true }) : context.json({ ready: false, reason }, 503)
      }
    })
    addRoute(app, '/metrics', {
      GET: async context => context.body(await this._metrics.exposition(), 200, { 'content-type': this._metrics.contentType })
    })
  }
}
