import { err, ok, type Result } from 'neverthrow'
import type { Context } from 'hono'
import type { ContractRevision } from '../../common/contract/ContractRevision.js'
import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import { DigestTable } from '../../common/digest/DigestTable.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { Sha256Digest } from '../upstream/Sha256Digest.js'
import type { ApiError } from './error/ApiError.js'
import type { AppEnv } from './request/AppEnv.js'

const digest = new Sha256Digest()
const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,1024}) *$/i

/** Authenticates organisations and operators by bearer token; SHA-256 digests are compared in constant time. */
export class Authenticator {
  /** Names of the operators. */
  private readonly _operators: DigestTable<string>

  constructor (
    @contractStoreId private readonly _contracts: IContractStore,
    @entrySettingsId settings: EntrySettings
  ) {
    this._operators = new DigestTable(digest, [...settings.operatorsByTokenDigest].map(([known, name]) => [fromHex(known), name]))
  }

  /** Returns the contract of the caller and sets organisation and revision for the access log. */
  authenticateOrganisation (context: Context<AppEnv>): Result<ContractRevision, ApiError> {
    if (this._contracts.all().length === 0) {
      return err({ status: 503, kind: 'not_ready', message: 'no contract is in force on this entry yet', outcome: 'not_run', retryAfterMs: 1000 })
    }
    const token = bearerToken(context)
    const found = token === undefined ? undefined : this._contracts.findByTokenDigest(digest.sha256Hex(token))
    // The store looks contracts up in an index; this comparison verifies that the contract lists the full digest.
    if (token === undefined || found === undefined || !isListed(found, token)) return err(UNAUTHENTICATED)
    const record = context.get('record')
    record.organisation = found.organisation
    record.revision = found.revision
    return ok(found)
  }

  /** Returns the name of the operator and sets it for the access log. */
  authenticateOperator (context: Context<AppEnv>): Result<string, ApiError> {
    const token = bearerToken(context)
    const name = token === undefined ? undefined : this._operators.find(token)
    if (name === undefined) return err(UNAUTHENTICATED)
    context.get('record').operator = name
    return ok(name)
  }
}

const UNAUTHENTICATED: ApiError = {
  status: 401, kind: 'unauthenticated', message: 'the Authorization header contains no known bearer token', outcome: 'not_run'
}

function bearerToken (context: Context<AppEnv>): string | undefined {
  return BEARER_PATTERN.exec(context.req.header('authorization') ?? '')?.[1]
}

function isListed ({ contract }: ContractRevision, token: string): boolean {
  return new DigestTable(digest, contract.access.token_sha256.map(known => [fromHex(known), true])).find(token) === true
}

function fromHex (text: string): Uint8Array {
  return Buffer.from(text, 'hex')
}
