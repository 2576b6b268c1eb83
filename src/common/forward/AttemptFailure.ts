import type { AdmissionError } from '../admission/AdmissionError.js'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'

/** Why one attempt of a call returned no response. `stopped`: `checkBeforeSend` rejected, nothing was sent. */
export type AttemptFailure =
  | { stage: 'admission', error: AdmissionError }
  | { stage: 'stopped', message: string }
  | { stage: 'upstream', error: UpstreamError, upstreamId: string }
