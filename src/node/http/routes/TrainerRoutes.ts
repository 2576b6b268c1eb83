import type { Context, Hono } from 'hono'
import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import type { IPeerRegistry } from '../../../common/peer/IPeerRegistry.js'
import { peerRegistryId } from '../../../common/peer/peerRegistryId.js'
import type { ITrainingService } from '../../../common/training/ITrainingService.js'
import { trainingServiceId } from '../../../common/training/trainingServiceId.js'
import type { TrainingError } from '../../../common/training/TrainingError.js'
import { addRoute } from './addRoute.js'
import type { ApiError } from '../error/ApiError.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { Authenticator } from '../Authenticator.js'
import { authenticatorId } from '../authenticatorId.js'
import type { IRoutes } from './IRoutes.js'
import { readJson } from '../request/readJson.js'
import { sendError } from '../error/sendError.js'
import { toInvalidRequestError } from '../error/toInvalidRequestError.js'
import { toTrainingApiError } from '../error/toTrainingApiError.js'
import { trainerSchemas } from './trainerSchemas.js'

interface TrainerIdentity { organisation: string, trainer: string }

const PREFIX = '/v1/trainers/:trainer'

/** Endpoints of the trainers. The organisation always comes from the token, never from the request. */
export class TrainerRoutes implements IRoutes {
  constructor (
    @authenticatorId private readonly _authenticator: Authenticator,
    @trainingServiceId private readonly _training: ITrainingService,
    @peerRegistryId private readonly _peers: IPeerRegistry
  ) {}

  mount (app: Hono<AppEnv>): void {
    addRoute(app, `${PREFIX}/steps`, { POST: async context => await this._submit(context) })
    addRoute(app, `${PREFIX}/groups`, { GET: async context => await this._read(context) })
    addRoute(app, `${PREFIX}/ack`, { POST: async context => await this._acknowledge(context) })
    addRoute(app, `${PREFIX}/weights`, { POST: async context => await this._announce(context) })
  }

  private async _submit (context: Context<AppEnv>): Promise<Response> {
    const identity = this._authorize(context)
    if (identity.isErr()) return sendError(context, identity.error)
    const body = await readJson(context, trainerSchemas.step)
    if (body.isErr()) return sendError(context, body.error)
    const { organisation, trainer } = identity.value
    return await sendResult(context, this._training.submit(organisation, trainer, body.value.step, body.value.groups), () => ({ step: body.value.step }))
  }

  private async _read (context: Context<AppEnv>): Promise<Response> {
    const identity = this._authorize(context)
    if (identity.isErr()) return sendError(context, identity.error)
    const query = trainerSchemas.read.safeParse(context.req.query())
    if (!query.success) return sendError(context, toInvalidRequestError(query.error))
    const { cursor, version, max, wait_ms: waitMs } = query.data
    const result = this._training.read({
      ...identity.value,
      cursor,
      version,
      max,
      // A draining entry responds at once, so that the trainer continues reading from another entry.
      waitMs: this._peers.isDraining ? 0 : waitMs,
      signal: context.req.raw.signal
    })
    return await sendResult(context, result, page => page)
  }

  private async _acknowledge (context: Context<AppEnv>): Promise<Response> {
    const identity = this._authorize(context)
    if (identity.isErr()) return sendError(context, identity.error)
    const body = await readJson(context, trainerSchemas.ack)
    if (body.isErr()) return sendError(context, body.error)
    const { organisation, trainer } = identity.value
    return await sendResult(context, this._training.acknowledge(organisation, trainer, body.value.cursor), () => ({ cursor: body.value.cursor }))
  }

  private async _announce (context: Context<AppEnv>): Promise<Response> {
    const identity = this._authorize(context)
    if (identity.isErr()) return sendError(context, identity.error)
    const body = await readJson(context, trainerSchemas.weights)
    if (body.isErr()) return sendError(context, body.error)
    const { organisation, trainer } = identity.value
    return await sendResult(context, this._training.announceWeights(organisation, trainer, body.value.version), () => ({ version: body.value.version }))
  }

  private _authorize (context: Context<AppEnv>): Result<TrainerIdentity, ApiError> {
    return this._authenticator.authenticateOrganisation(context).andThen(revision => {
      const parsed = trainerSchemas.trainer.safeParse(context.req.param())
      if (!parsed.success) return err(toInvalidRequestError(parsed.error))
      const { trainer } = parsed.data
      if (!Object.hasOwn(revision.contract.trainer, trainer)) {
        return err<TrainerIdentity, ApiError>({ status: 404, kind: 'trainer_unknown', message: `the contract has no trainer ${trainer}`, field: 'trainer', outcome: 'not_run' })
      }
      return ok({ organisation: revision.organisation, trainer })
    })
  }
}

async function sendResult<T> (context: Context<AppEnv>, result: ResultAsync<T, TrainingError>, toBody: (value: T) => object): Promise<Response> {
  const settled = await result
  return settled.isOk() ? context.json(toBody(settled.value)) : sendError(context, toTrainingApiError(settled.error))
}
