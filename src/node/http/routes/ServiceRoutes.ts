import type { Context, Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { IForwarder } from '../../../common/forward/IForwarder.js'
import { forwarderId } from '../../../common/forward/forwarderId.js'
import type { ContractRevision } from '../../../common/contract/ContractRevision.js'
import type { WorkClass } from '../../../common/schema/WorkClass.js'
import type { ApiError } from '../error/ApiError.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { Authenticator } from '../Authenticator.js'
import { authenticatorId } from '../authenticatorId.js'
import { filterHeaders } from '../request/filterHeaders.js'
import type { IRoutes } from './IRoutes.js'
import { readBody } from '../request/readBody.js'
import { readDeadline } from '../request/readDeadline.js'
import { selectCallWorkClass } from '../request/selectCallWorkClass.js'
import { sendError } from '../error/sendError.js'

interface MatchedCall { name: string, workClass: WorkClass, path: string, idempotencyKey?: string }

const ALLOWED_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
const SERVICE_PATH_PATTERN = /^\/v1\/services\/([^/]+)(\/.*)?$/s
const IDEMPOTENCY_KEY_PATTERN = /^[\x20-\x7e]{1,255}$/
const BODILESS_STATUSES = new Set([204, 205, 304])

/** Calls to plain services, such as lookups and tickets: `/v1/services/{service}/{path}`. */
export class ServiceRoutes implements IRoutes {
  constructor (
    @authenticatorId private readonly _authenticator: Authenticator,
    @forwarderId private readonly _forwarder: IForwarder
  ) {}

  mount (app: Hono<AppEnv>): void {
    app.all('/v1/services/:service', async context => await this._handle(context))
    app.all('/v1/services/:service/*', async context => await this._handle(context))
  }

  private async _handle (context: Context<AppEnv>): Promise<Response> {
    const revision = this._authenticator.authenticateOrganisation(context)
    if (revision.isErr()) return sendError(context, revision.error)
    const call = this._matchCall(context, revision.value)
    if (call.isErr()) return sendError(context, call.error)
    const { name, workClass, path, idempotencyKey } = call.value
    const deadline = readDeadline(context, workClass.deadline_ms)
    if (deadline.isErr()) return sendError(context, deadline.error)
    const body = await readBody(context)
    if (body.isErr()) return sendError(context, body.error)
    const record = context.get('record')
    record.workClass = name
    const result = await this._forwarder.forward({
      requestId: record.requestId,
      organisation: revision.value.organisation,
      revision: revision.value.revision,
      workClassName: name,
      workClass,
      method: context.req.method,
      path,
      headers: filterHeaders(context.req.raw.headers.entries()),
      body: body.value,
      idempotencyKey,
      deadlineAtMs: deadline.value,
      // A call that must not be repeated continues when its caller disconnects: the result is kept for the idempotency key.
      signal: workClass.repeat === 'never' ? new AbortController().signal : context.req.raw.signal
    })
    if (result.isErr()) return sendError(context, result.error)
    const { status, headers, body: content } = result.value
    const responseHeaders = { ...filterHeaders(Object.entries(headers)), 'x-request-id': record.requestId }
    return new Response(BODILESS_STATUSES.has(status) ? null : content as Uint8Array<ArrayBuffer>, { status, headers: responseHeaders })
  }

  private _matchCall (context: Context<AppEnv>, revision: ContractRevision): Result<MatchedCall, ApiError> {
    const method = context.req.method
    if (!ALLOWED_METHODS.includes(method)) {
      context.header('allow', ALLOWED_METHODS.join(', '))
      return err({ status: 405, kind: 'method_not_allowed', message: `allowed methods: ${ALLOWED_METHODS.join(', ')}`, outcome: 'not_run' })
    }
    const url = new URL(context.req.raw.url)
    const [, service = '', path = '/'] = SERVICE_PATH_PATTERN.exec(url.pathname) ?? []
    if (hasEncodedDotSegment(path)) {
      return err({ status: 400, kind: 'invalid_request', message: 'must not contain encoded dot segments', field: 'path', outcome: 'not_run' })
    }
    const selected = selectCallWorkClass(revision.contract, service, method, path)
    if (selected === undefined) {
      return err({ status: 403, kind: 'not_covered', message: 'no work class of the contract covers this call', outcome: 'not_run' })
    }
    const idempotencyKey = selected.workClass.repeat === 'never' ? context.req.header('idempotency-key') : undefined
    if (selected.workClass.repeat === 'never' && !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey ?? '')) {
      return err({ status: 400, kind: 'invalid_request', message: 'must be 1 to 255 printable characters for calls that are never repeated', field: 'idempotency-key', outcome: 'not_run' })
    }
    return ok({ ...selected, path: path + url.search, idempotencyKey })
  }
}

/** An upstream may decode `%2f` and then resolve `..`, which would leave the path prefix that the contract allows. */
function hasEncodedDotSegment (path: string): boolean {
  let decoded = path
  // Decodes twice, for upstreams behind one more hop that decodes.
  for (let round = 0; round < 2; round++) {
    try {
      decoded = decodeURIComponent(decoded)
    } catch {
      break
    }
  }
  return decoded.split(/[/\\]/).some(segment => segment === '..' || segment === '.')
}
