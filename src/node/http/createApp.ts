import { Hono, type MiddlewareHandler } from 'hono'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { AppEnv } from './request/AppEnv.js'
import type { IRoutes } from './routes/IRoutes.js'
import { sendError } from './error/sendError.js'
import { toRequestId } from './request/toRequestId.js'

interface AppOptions {
  routes: IRoutes[]
  logger: ILogger
  /** Middleware around every request; runs after the request's `record` has been set. */
  track: MiddlewareHandler<AppEnv>
}

/** Builds the hono application: request ids, tracking, routes and a common error format. */
export function createApp (options: AppOptions): Hono<AppEnv> {
  const app = new Hono<AppEnv>()
  app.use(async (context, next) => {
    const requestId = toRequestId(context.req.header('x-request-id'))
    context.set('record', { requestId, startedAtMs: performance.now(), outcome: 'ok', isStream: false })
    await next()
    context.res.headers.set('x-request-id', requestId)
  })
  app.use(options.track)
  for (const routes of options.routes) routes.mount(app)
  app.notFound(context => sendError(context, { status: 404, kind: 'not_found', message: 'no route matches this path', outcome: 'not_run' }))
  app.onError((error, context) => {
    const { requestId, organisation } = context.get('record')
    options.logger.error({ request: requestId, organisation, reason: error.message, stack: error.stack }, 'request_fault')
    return sendError(context, { status: 500, kind: 'internal_error', message: 'unexpected internal error', outcome: 'unknown' })
  })
  return app
}
