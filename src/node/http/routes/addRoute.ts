import type { Handler, Hono } from 'hono'
import type { AppEnv } from '../request/AppEnv.js'
import { sendError } from '../error/sendError.js'

type Method = 'GET' | 'POST'

/** Registers handlers by method for a path; other methods get 405 with the allowed methods. */
export function addRoute (app: Hono<AppEnv>, path: string, handlers: Partial<Record<Method, Handler<AppEnv>>>): void {
  for (const [method, handler] of Object.entries(handlers)) app.on(method, path, handler)
  const allowedMethods = Object.keys(handlers).join(', ')
  app.all(path, context => {
    context.header('allow', allowedMethods)
    return sendError(context, { status: 405, kind: 'method_not_allowed', message: `allowed methods: ${allowedMethods}`, outcome: 'not_run' })
  })
}
