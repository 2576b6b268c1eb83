import type { IContractStore } from '../../contract/IContractStore.js'
import { LogHub } from '../../log/LogHub.js'
import type { FakeLog } from '../../log/test/FakeLog.js'
import { testServices } from '../../log/test/testServices.js'
import type { EntrySettings } from '../../settings/EntrySettings.js'
import type { ClaimError } from '../ClaimError.js'
import type { ClaimOutcome } from '../ClaimOutcome.js'
import { ClaimService } from '../ClaimService.js'

/** Outcome of one claim call, filled in when it is decided. */
interface Seen { outcome?: ClaimOutcome, error?: ClaimError }

/** An entry with a claim service on a fake log. */
export class ClaimEntry {
  readonly hub: LogHub
  readonly service: ClaimService
  windowS = 15

  constructor (log: FakeLog, id: string, overrides: Partial<EntrySettings> = {}) {
    const { settings, logger, metrics } = testServices(id, overrides)
    this.hub = new LogHub(log, settings, logger, metrics)
    const contracts = { current: () => ({ contract: { limits: { key_window_s: this.windowS } } }) } as unknown as IContractStore
    this.service = new ClaimService(this.hub, contracts, settings, logger, metrics)
    this.hub.start()
  }

  claim (key: string, timeoutMs: number, bodySha256 = 'x'): Seen {
    const seen: Seen = {}
    const request = { organisation: 'a', service: 's', key, bodySha256, deadlineAtMs: performance.now() + timeoutMs }
    this.service.claim(request).match(outcome => { seen.outcome = outcome }, error => { seen.error = error }).catch(() => {})
    return seen
  }

  dispose (): void {
    this.service.dispose()
    this.hub.dispose()
  }
}
