import type { IContractStore } from '../../contract/IContractStore.js'
import { LogHub } from '../../log/LogHub.js'
import type { FakeLog } from '../../log/test/FakeLog.js'
import { testServices } from '../../log/test/testServices.js'
import type { EntrySettings } from '../../settings/EntrySettings.js'
import type { ClaimError } from '../ClaimError.js'
import type { ClaimOutcome } from '../ClaimOutcome.js'
import { ClaimService } from '../ClaimService.js'

/** Result of one claim, filled in when it is decided. */
interface ClaimResult { outcome?: ClaimOutcome, error?: ClaimError }

/** For tests: an entry with a claim service on a fake log. */
export class ClaimEntry {
  readonly hub: LogHub
  readonly service: ClaimService
  /** Key window of the contract. */
  windowS = 15

  constructor (log: FakeLog, id: string, overrides: Partial<EntrySettings> = {}) {
    const { settings, logger, metrics } = testServices(id, overrides)
    this.hub = new LogHub(log, settings, logger, metrics)
    const contracts = { current: () => ({ contract: { limits: { key_window_s: this.windowS } } }) } as unknown as IContractStore
    this.service = new ClaimService(this.hub, contracts, settings, logger, metrics)
    this.hub.start()
  }

  claim (key: string, timeoutMs: number, bodySha256 = 'x'): ClaimResult {
    const result: ClaimResult = {}
    const request = { organisation: 'a', service: 's', key, bodySha256, deadlineAtMs: performance.now() + timeoutMs }
    this.service.claim(request).match(outcome => { result.outcome = outcome }, error => { result.error = error }).catch(() => {})
    return result
  }

  dispose (): void {
    this.service.dispose()
    this.hub.dispose()
  }
}
