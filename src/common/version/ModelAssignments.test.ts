import { describe, it } from 'node:test'
import { expect } from 'earl'
import { FleetTable } from '../fleet/FleetTable.js'
import { testServices } from '../log/test/testServices.js'
import { ModelAssignments } from './ModelAssignments.js'
import { AnnouncedVersions } from './AnnouncedVersions.js'

function createFleet (versions: Record<string, Record<string, number>>): FleetTable {
  const fleet = new FleetTable(testServices().logger)
  for (const [id, byModel] of Object.entries(versions)) {
    fleet.apply({ id, startedAtMs: 0, service: 's', address: id, failureDomain: 'd', slots: 4, isDraining: false, versions: new Map(Object.entries(byModel)) })
  }
  return fleet
}

describe('ModelAssignments', () => {
  // A new leader takes over in the middle of the steps of two trainers.
  it('keeps the assignments of the previous leader, inferred from the loaded versions', () => {
    const fleet = createFleet({ a: { m: 6, n: 1 }, b: { m: 2, n: 7 }, c: { m: 5, n: 1 }, d: { m: 1, n: 6 } })
    const announced = new AnnouncedVersions()
    announced.update('m', 6)
    announced.update('n', 7)
    const assignments = new ModelAssignments(fleet, announced)
    expect([...assignments.enginesOf('s', 'm') ?? []]).toEqual(['a', 'c'])
    expect([...assignments.enginesOf('s', 'n') ?? []]).toEqual(['b', 'd'])
  })

  it('assigns no engines when a service has one model, and assigns by demand when it has several', () => {
    expect(new ModelAssignments(createFleet({ a: { m: 1 }, b: { m: 1 } }), new AnnouncedVersions()).enginesOf('s', 'm')).toEqual(undefined)
    const assignments = new ModelAssignments(createFleet({ a: { m: 1, n: 1 }, b: { m: 1, n: 1 }, c: { m: 1, n: 1 }, d: { m: 1, n: 1 } }), new AnnouncedVersions())
    assignments.recordDemand('m', 30)
    assignments.recordDemand('n', 10)
    expect([assignments.enginesOf('s', 'm')?.size, assignments.enginesOf('s', 'n')?.size]).toEqual([3, 1])
  })
})
