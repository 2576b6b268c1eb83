import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { Sha256Digest } from '../../node/upstream/Sha256Digest.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { OrganisationConfig } from '../routing/OrganisationConfig.js'
import { RouteTable } from '../routing/RouteTable.js'
import { testServices } from '../log/test/testServices.js'
import { OrganisationTable } from './OrganisationTable.js'

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

describe('OrganisationTable', () => {
  let routes: RouteTable
  let errors: string[]
  let lines: string[]
  let table: OrganisationTable
  let version: number

  beforeEach(() => {
    version = 0
    errors = []
    lines = []
    const record = (fields: Record<string, unknown>, event: string): void => { lines.push(`${event} ${JSON.stringify(fields)}`) }
    const logger: ILogger = {
      info: record,
      warn: record,
      debug: record,
      error: (fields, event) => {
        errors.push(`${event} ${String(fields['organisation'])} ${String(fields['used_for'])}`)
        record(fields, event)
      }
    }
    routes = new RouteTable(testServices().logger)
    table = new OrganisationTable(routes, new Sha256Digest(), logger)
  })

  const configure = (organisations?: OrganisationConfig[]): void => {
    routes.apply({ version: ++version, routes: [], services: new Map(), limits, organisations })
  }

  it('finds an organisation by each of its keys, with its priority', () => {
    configure([{ name: 'huka', apiKeys: ['k1', 'k2'], priority: 0 }, { name: 'puhu', apiKeys: ['k3'] }])
    expect(['k1', 'k2', 'k3'].map(key => table.find(key)?.name)).toEqual(['huka', 'huka', 'puhu'])
    expect([table.find('k1')?.priority, table.find('k3')?.priority]).toEqual([0, undefined])
  })

  it('finds nothing for unknown, empty or partial keys, also where an empty key is configured', () => {
    configure([{ name: 'huka', apiKeys: ['key-1', ''] }])
    for (const key of ['', 'key', 'key-11', 'KEY-1', ' key-1']) expect(table.find(key)).toEqual(undefined)
    expect(errors).toEqual(['api_key_empty huka undefined'])
  })

  it('follows the configuration, including one that was in force before', () => {
    expect([table.isConfigured, table.isEnabled]).toEqual([false, false])
    configure([{ name: 'huka', apiKeys: ['k1'] }])
    expect([table.isConfigured, table.isEnabled]).toEqual([true, true])
    configure([{ name: 'huka', apiKeys: ['k2'] }])
    expect([table.find('k1'), table.find('k2')?.name]).toEqual([undefined, 'huka'])
    expect(new OrganisationTable(routes, new Sha256Digest(), testServices().logger).find('k2')?.name).toEqual('huka')
    configure()
    expect([table.isConfigured, table.isEnabled, table.find('k2')]).toEqual([true, false, undefined])
  })

  // Guards against access for all when the operator has removed the last organisation, but not the list.
  it('is enabled with an empty list', () => {
    configure([])
    expect([table.isEnabled, table.find('k1')]).toEqual([true, undefined])
  })

  // Guards against a caller that is one organisation at one entry and another one at the next.
  it('gives a key of two organisations to the first by name, and logs it as an error without the key', () => {
    const organisations = [{ name: 'puhu', apiKeys: ['shared-key', 'k3'] }, { name: 'huka', apiKeys: ['shared-key'] }]
    configure(organisations)
    expect([table.find('shared-key')?.name, table.find('k3')?.name]).toEqual(['huka', 'puhu'])
    configure([...organisations].reverse())
    expect(table.find('shared-key')?.name).toEqual('huka')
    expect(errors).toEqual(Array(2).fill('api_key_of_two_organisations puhu huka'))
    expect(lines.filter(line => line.includes('shared-key') || line.includes('k3'))).toEqual([])
  })

  it('accepts a key that one organisation lists twice', () => {
    configure([{ name: 'huka', apiKeys: ['k1', 'k1'] }, { name: 'huka', apiKeys: ['k1', 'k2'] }])
    expect([table.find('k1')?.name, table.find('k2')?.name, errors.length]).toEqual(['huka', 'huka', 0])
  })
})
