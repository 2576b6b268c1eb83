import { err, errAsync, ok, type Result, type ResultAsync } from 'neverthrow'
import type { ILogHub } from '../log/ILogHub.js'
import type { LogError } from '../log/LogError.js'
import { logHubId } from '../log/logHubId.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { IniError } from '../settings/IniError.js'
import { checkContract } from './checkContract.js'
import { checkContractSettings } from './checkContractSettings.js'
import type { ContractError } from './ContractError.js'
import type { ContractRevision } from './ContractRevision.js'
import { replicatedContractStoreId } from './replicatedContractStoreId.js'
import type { IContractPublisher } from './IContractPublisher.js'
import type { IReplicatedContractStore } from './IReplicatedContractStore.js'
import { parseContract } from './parseContract.js'

// Allows several append retries, and is short enough for an interactive command.
const PUBLISH_TIMEOUT_MS = 10_000

/** Validates a contract text, appends it to the log and returns the decision of the fold. */
export class ContractPublisher implements IContractPublisher {
  constructor (
    @replicatedContractStoreId private readonly _store: IReplicatedContractStore,
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId private readonly _settings: EntrySettings
  ) {}

  publish (organisation: string, baseRevision: number, operator: string, text: string): ResultAsync<ContractRevision, ContractError> {
    const rejection = this._check(organisation, baseRevision, text)
    if (rejection !== undefined) return errAsync(rejection)
    const id = crypto.randomUUID()
    const record = { type: 'publish', id, organisation, base_revision: baseRevision, operator, at_ms: Date.now(), text }
    return this._hub.append('contracts', record, PUBLISH_TIMEOUT_MS)
      .mapErr(toContractError)
      .andThen(() => this._readDecision(organisation, id))
  }

  private _check (organisation: string, baseRevision: number, text: string): ContractError | undefined {
    const parsed = parseContract(organisation, text)
    if (parsed.isErr()) return invalid(parsed.error)
    const errors = [...checkContract(parsed.value, text), ...checkContractSettings(parsed.value, text, this._settings)]
    if (errors.length > 0) return invalid(errors)
    if (!this._hub.status('contracts').isCaughtUp) {
      return { kind: 'contract_unavailable', message: 'this entry has not read the contract log to its end yet', mayTakeEffect: false }
    }
    const currentRevision = this._store.current(organisation)?.revision ?? 0
    if (currentRevision !== baseRevision) return conflict(currentRevision)
    if (!this._store.isExact(organisation)) {
      const message = 'records were lost to retention and the revision is not confirmed yet; publish through another entry'
      return { kind: 'contract_unavailable', message, mayTakeEffect: false }
    }
    return undefined
  }

  private _readDecision (organisation: string, id: string): Result<ContractRevision, ContractError> {
    const decision = this._store.decision(id)
    if (decision?.kind === 'conflict') return err(conflict(decision.currentRevision))
    if (decision?.kind === 'invalid') return err(invalid([{ line: 1, field: decision.field, rule: decision.rule }]))
    const revision = this._store.history(organisation).find(item => item.revision === decision?.revision)
    if (revision !== undefined) return ok(revision)
    return err({ kind: 'contract_unavailable', message: 'the publication was appended, but its outcome is unknown', mayTakeEffect: true })
  }
}

function conflict (currentRevision: number): ContractError {
  return { kind: 'contract_conflict', message: `the current revision is ${currentRevision}`, currentRevision }
}

/** Error with the position of the first violation; the message lists all of them. */
function invalid (errors: IniError[]): ContractError {
  const [first] = errors
  const message = errors.map(error => `line ${error.line}: ${error.field}: ${error.rule}`).join('; ')
  return { kind: 'contract_invalid', message, line: first?.line ?? 1, field: first?.field ?? '', rule: first?.rule ?? '' }
}

function toContractError (error: LogError): ContractError {
  return { kind: 'contract_unavailable', message: error.message, mayTakeEffect: error.mayTakeEffect }
}
