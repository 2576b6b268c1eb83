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

describe('HomeTable', () => {
  // Load: a new leader takes over in the middle of the steps of two trainers.
  it('keeps the homes that the leader before had dealt, as the versions show them', () => {
    const fleet = createFleet({ a: { m: 6, n: 1 }, b: { m: 2, n: 7 }, c: { m: 5, n: 1 }, d: { m: 1, n: 6 } })
    const names = new AnnouncedVersions()
    names.update('m', 6)
    names.update('n', 7)
    const homes = new ModelAssignments(fleet, names)
    expect([...homes.enginesOf('s', 'm') ?? []]).toEqual(['a', 'c'])
    expect([...homes.enginesOf('s', 'n') ?? []]).toEqual(['b', 'd'])
  })

  it('gives a service with one model no homes, and follows the demand of several', () => {
    expect(new ModelAssignments(createFleet({ a: { m: 1 }, b: { m: 1 } }), new AnnouncedVersions()).enginesOf('s', 'm')).toEqual(undefined)
    const homes = new ModelAssignments(createFleet({ a: { m: 1, n: 1 }, b: { m: 1, n: 1 }, c: { m: 1, n: 1 }, d: { m: 1, n: 1 } }), new AnnouncedVersions())
    homes.noteDemand('m', 30)
    homes.noteDemand('n', 10)
    expect([homes.enginesOf('s', 'm')?.size, homes.enginesOf('s', 'n')?.size]).toEqual([3, 1])
  })
})
