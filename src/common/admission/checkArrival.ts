import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { AdmissionError } from './AdmissionError.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import { estimateService } from './estimateService.js'
import type { ServiceQueue } from './ServiceQueue.js'

/** Returns why a request must not be queued; undefined if it may be. */
export function checkArrival (request: AdmissionRequest, queue: ServiceQueue, table: IUpstreamTable, suspects: ISuspectTable): AdmissionError | undefined {
  if (request.signal?.aborted === true) {
    return { kind: 'caller_gone', message: 'caller disconnected' }
  }
  if (suspects.isBlocked(request.fingerprint)) {
    return { kind: 'request_blocked', message: 'this request crashed the upstreams that ran it' }
  }
  const isCandidate = (item: Upstream): boolean => !item.isLeaving && request.excluded?.has(item.id) !== true
  if (!table.all(request.service).some(isCandidate)) {
    return { kind: 'no_upstream', message: `service ${request.service} has no upstream for this request` }
  }
  const { minServiceTimeMs, slotIntervalMs } = estimateService(table.available(request.service), request)
  const queueOfSize = queue.queueOf(request.size)
  const waitMs = queueOfSize.size === 0 ? 0 : queueOfSize.countAhead(request.organisation, request.deadlineAtMs) * slotIntervalMs
  if (performance.now() + waitMs + minServiceTimeMs >= request.deadlineAtMs) {
    return { kind: 'deadline_unreachable', message: `estimated time of ${Math.round(waitMs + minServiceTimeMs)} ms exceeds the deadline` }
  }
  return undefined
}
