import type { Context, Handler, Hono } from 'hono'
import { z } from 'zod'
import type { ContractRevision } from '../../../common/contract/ContractRevision.js'
import type { IContractPublisher } from '../../../common/contract/IContractPublisher.js'
import { contractPublisherId } from '../../../common/contract/contractPublisherId.js'
import type { IContractStore } from '../../../common/contract/IContractStore.js'
import { contractStoreId } from '../../../common/contract/contractStoreId.js'
import type { ILogger } from '../../../common/metrics/ILogger.js'
import { loggerId } from '../../../common/metrics/loggerId.js'
import { identifierSchema } from '../../../common/schema/identifierSchema.js'
import { addRoute } from './addRoute.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { Authenticator } from '../Authenticator.js'
import { authenticatorId } from '../authenticatorId.js'
import { contractDiffId } from '../contractDiffId.js'
import type { IContractDiff } from '../IContractDiff.js'
import type { IRoutes } from './IRoutes.js'
import { readJson } from '../request/readJson.js'
import { sendError } from '../error/sendError.js'
import type { StatusReport } from '../StatusReport.js'
import { statusReportId } from '../statusReportId.js'
import { toContractApiError } from '../error/toContractApiError.js'
import { toInvalid } from '../error/toInvalid.js'

type OperatorHandler = (context: Context<AppEnv>, operator: string) => Response | Promise<Response>

const PREFIX = '/admin/v1'
const MAX_CONTRACT_CHARACTERS = 262_144

const organisationSchema = z.object({ organisation: identifierSchema })
const publishSchema = z.strictObject({
  base_revision: z.int().min(0),
  text: z.string().min(1).max(MAX_CONTRACT_CHARACTERS)
})

/** Admin API. */
export class OperatorRoutes implements IRoutes {
  constructor (
    @authenticatorId private readonly _authenticator: Authenticator,
    @contractStoreId private readonly _contracts: IContractStore,
    @contractPublisherId private readonly _publisher: IContractPublisher,
    @contractDiffId private readonly _diff: IContractDiff,
    @statusReportId private readonly _status: StatusReport,
    @loggerId private readonly _logger: ILogger
  ) {}

  mount (app: Hono<AppEnv>): void {
    addRoute(app, `${PREFIX}/contracts`, { GET: this._guard(context => context.json({ contracts: this._contracts.all().map(toHead) })) })
    addRoute(app, `${PREFIX}/contracts/:organisation`, {
      GET: this._guard(context => this._show(context)),
      POST: this._guard(async (context, operator) => await this._publish(context, operator))
    })
    addRoute(app, `${PREFIX}/contracts/:organisation/history`, { GET: this._guard(context => this._history(context)) })
    addRoute(app, `${PREFIX}/status`, { GET: this._guard(context => context.json(this._status.read())) })
    addRoute(app, `${PREFIX}/audit`, { GET: this._guard(context => context.json({ events: this._audit() })) })
  }

  private _guard (handler: OperatorHandler): Handler<AppEnv> {
    return async context => {
      const operator = this._authenticator.operator(context)
      if (operator.isErr()) return sendError(context, operator.error)
      const params = organisationSchema.partial().safeParse(context.req.param())
      if (!params.success) return sendError(context, toInvalid(params.error))
      return await handler(context, operator.value)
    }
  }

  private _show (context: Context<AppEnv>): Response {
    const revision = this._contracts.current(organisationOf(context))
    return revision === undefined ? sendUnknown(context) : context.json({ ...toHead(revision), text: revision.text })
  }

  private _history (context: Context<AppEnv>): Response {
    const revisions = this._contracts.history(organisationOf(context))
    return revisions.length === 0 ? sendUnknown(context) : context.json({ revisions: this._withChanges(revisions) })
  }

  private async _publish (context: Context<AppEnv>, operator: string): Promise<Response> {
    const body = await readJson(context, publishSchema)
    if (body.isErr()) return sendError(context, body.error)
    const organisation = organisationOf(context)
    const result = await this._publisher.publish(organisation, body.value.base_revision, operator, body.value.text)
    if (result.isErr()) return sendError(context, toContractApiError(result.error))
    const { requestId } = context.get('record')
    this._logger.info({ request: requestId, organisation, revision: result.value.revision, operator }, 'contract_published')
    return context.json(toHead(result.value))
  }

  private _audit (): object[] {
    return this._contracts.all()
      .flatMap(current => this._withChanges(this._contracts.history(current.organisation)))
      .sort((a, b) => a.at_ms - b.at_ms)
  }

  private _withChanges (revisions: ContractRevision[]): Array<ReturnType<typeof toHead> & { changes: unknown[] }> {
    return revisions.map((revision, index) => {
      const before = revisions[index - 1]
      // The first known revision is compared with nothing only when it is the first one of all.
      const isComparable = before !== undefined || revision.revision === 1
      return { ...toHead(revision), changes: isComparable ? this._diff(before?.contract, revision.contract) : [] }
    })
  }
}

function organisationOf (context: Context<AppEnv>): string {
  return context.req.param('organisation') ?? ''
}

function sendUnknown (context: Context<AppEnv>): Response {
  return sendError(context, { status: 404, kind: 'contract_unknown', message: `no contract of ${organisationOf(context)} is in force`, outcome: 'not_run' })
}

function toHead ({ organisation, revision, operator, atMs }: ContractRevision): { organisation: string, revision: number, operator: string, at_ms: number } {
  return { organisation, revision, operator, at_ms: atMs }
}
