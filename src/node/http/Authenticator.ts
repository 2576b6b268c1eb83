import { createHash, timingSafeEqual } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { Context } from 'hono'
import type { ContractRevision } from '../../common/contract/ContractRevision.js'
import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import type { ApiError } from './error/ApiError.js'
import type { AppEnv } from './request/AppEnv.js'

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,1024}) *$/i

/** Authenticates organisations and operators by bearer token; SHA-256 digests are compared in constant time. */
export class Authenticator {
  constructor (
    @contractStoreId private readonly _contracts: IContractStore,
    @entrySettingsId private readonly _settings: EntrySettings
  ) {}

  /** Returns the contract of the caller and sets organisation and revision for the access log. */
  authenticateOrganisation (context: Context<AppEnv>): Result<ContractRevision, ApiError> {
    if (this._contracts.all().length === 0) {
      return err({ status: 503, kind: 'not_ready', message: 'no contract is in force on this entry yet', outcome: 'not_run', retryAfterMs: 1000 })
    }
    const digest = hashBearerToken(context)
    const found = digest === undefined ? undefined : this._contracts.findByTokenDigest(digest)
    // The store looks contracts up in an index; this comparison verifies that the contract lists the full digest.
    if (digest === undefined || found === undefined || !found.contract.access.token_sha256.some(known => isEqual(known, digest))) return err(UNAUTHENTICATED)
    const record = context.get('record')
    record.organisation = found.organisation
    record.revision = found.revision
    return ok(found)
  }

  /** Returns the name of the operator and sets it for the access log. */
  authenticateOperator (context: Context<AppEnv>): Result<string, ApiError> {
    const digest = hashBearerToken(context)
    let name: string | undefined
    // Compares with every operator, so that the duration does not depend on the position of the match.
    for (const [known, operator] of this._settings.operatorsByTokenDigest) {
      if (digest !== undefined && isEqual(known, digest)) name = operator
    }
    if (name === undefined) return err(UNAUTHENTICATED)
    context.get('record').operator = name
    return ok(name)
  }
}

const UNAUTHENTICATED: ApiError = {
  status: 401, kind: 'unauthenticated', message: 'the Authorization header contains no known bearer token', outcome: 'not_run'
}

function hashBearerToken (context: Context<AppEnv>): string | undefined {
  const token = BEARER_PATTERN.exec(context.req.header('authorization') ?? '')?.[1]
  return token === undefined ? undefined : createHash('sha256').update(token).digest('hex')
}

function isEqual (a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b))
}
