import { describe, it } from 'node:test'
import { expect } from 'earl'
import { EventCollector } from './EventCollector.js'
import { Timeline } from './Timeline.js'

describe('EventCollector', () => {
  // Guards against memory that grows with the log.
  it('keeps no more events than its limit, and the summary says how many it left out', () => {
    const subject = { kind: 'batch', id: 'b1' } as const
    const collector = new EventCollector(subject, 2)
    for (let second = 0; second < 5; second++) collector.add(`time=2026-02-08T03:27:0${second}+0000 entry=e1 batch=b1 reason=no_lease event=batch_not_served`)
    expect([collector.matches.size, collector.omittedCount]).toEqual([2, 3])
    expect(new Timeline(subject, collector).format().find(line => line.startsWith('summary'))).toEqual('summary batch=b1 accepted_at=none ended_at=none results=none failed_reads=2 last_leader=unknown events_left_out=3')
  })
})
