import type { Handler, Hono } from 'hono'
import type { AppEnv } from '../request/AppEnv.js'
import { sendError } from '../error/sendError.js'

type Method = 'GET' | 'POST'

/** Adds handlers by method for a path; other methods get 405 with the allowed ones. */
export function addRoute (app: Hono<AppEnv>, path: string, handlers: Partial<Record<Method, Handler<AppEnv>>>): void {
  for (const [method, handler] of Object.entries(handlers)) app.on(method, path, handler)
  const allow = Object.keys(handlers).join(', ')
  app.all(path, context => {
    context.header('allow', allow)
    return sendError(context, { status: 405, kind: 'method_not_allowed', message: `allowed methods: ${allow}`, outcome: 'not_run' })
  })
}
