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
import { toInvalidRequestError } from '../error/toInvalidRequestError.js'

type OperatorHandler = (context: Context<AppEnv>, operator: string) => Response | Promise<Response>

const PREFIX = '/admin/v1'
const MAX_CONTRACT_CHARACTERS = 262_144

const organisationSchema = z.object({ organisation: identifierSchema })
const publishSchema = z.strictObject({
  base_revision: z.int().min(0),
  text: z.string().min(1).max(MAX_CONTRACT_CHARACTERS)
})

/** Admin API: contracts, their history, status and audit trail. */
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
    addRoute(app, `${PREFIX}/contracts`, { GET: this._authenticated(context => context.json({ contracts: this._contracts.all().map(toRevisionInfo) })) })
    addRoute(app, `${PREFIX}/contracts/:organisation`, {
      GET: this._authenticated(context => this._getContract(context)),
      POST: this._authenticated(async (context, operator) => await this._publishContract(context, operator))
    })
    addRoute(app, `${PREFIX}/contracts/:organisation/history`, { GET: this._authenticated(context => this._getHistory(context)) })
    addRoute(app, `${PREFIX}/status`, { GET: this._authenticated(context => context.json(this._status.build())) })
    addRoute(app, `${PREFIX}/audit`, { GET: this._authenticated(context => context.json({ events: this._listAuditEvents() })) })
  }

  private _authenticated (handler: OperatorHandler): Handler<AppEnv> {
    return async context => {
      const operator = this._authenticator.authenticateOperator(context)
      if (operator.isErr()) return sendError(context, operator.error)
      const params = organisationSchema.partial().safeParse(context.req.param())
      if (!params.success) return sendError(context, toInvalidRequestError(params.error))
      return await handler(context, operator.value)
    }
  }

  private _getContract (context: Context<AppEnv>): Response {
    const revision = this._contracts.current(organisationParameter(context))
    return revision === undefined ? sendContractUnknown(context) : context.json({ ...toRevisionInfo(revision), text: revision.text })
  }

  private _getHistory (context: Context<AppEnv>): Response {
    const revisions = this._contracts.history(organisationParameter(context))
    return revisions.length === 0 ? sendContractUnknown(context) : context.json({ revisions: this._addChanges(revisions) })
  }

  private async _publishContract (context: Context<AppEnv>, operator: string): Promise<Response> {
    const body = await readJson(context, publishSchema)
    if (body.isErr()) return sendError(context, body.error)
    const organisation = organisationParameter(context)
    const result = await this._publisher.publish(organisation, body.value.base_revision, operator, body.value.text)
    if (result.isErr()) return sendError(context, toContractApiError(result.error))
    const { requestId } = context.get('record')
    this._logger.info({ request: requestId, organisation, revision: result.value.revision, operator }, 'contract_published')
    return context.json(toRevisionInfo(result.value))
  }

  private _listAuditEvents (): object[] {
    return this._contracts.all()
      .flatMap(current => this._addChanges(this._contracts.history(current.organisation)))
      .sort((a, b) => a.at_ms - b.at_ms)
  }

  private _addChanges (revisions: ContractRevision[]): Array<ReturnType<typeof toRevisionInfo> & { changes: unknown[] }> {
    return revisions.map((revision, index) => {
      const before = revisions[index - 1]
      // The oldest known revision counts as a first contract only if it is revision 1; otherwise its predecessor is unknown.
      const isComparable = before !== undefined || revision.revision === 1
      return { ...toRevisionInfo(revision), changes: isComparable ? this._diff(before?.contract, revision.contract) : [] }
    })
  }
}

function organisationParameter (context: Context<AppEnv>): string {
  return context.req.param('organisation') ?? ''
}

function sendContractUnknown (context: Context<AppEnv>): Response {
  return sendError(context, { status: 404, kind: 'contract_unknown', message: `no contract of ${organisationParameter(context)} is in force`, outcome: 'not_run' })
}

function toRevisionInfo ({ organisation, revision, operator, atMs }: ContractRevision): { organisation: string, revision: number, operator: string, at_ms: number } {
  return { organisation, revision, operator, at_ms: atMs }
}
