import { describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { chooseService } from './chooseService.js'
import type { Route } from './Route.js'
import { RouteTable } from './RouteTable.js'
import type { RoutingConfig } from './RoutingConfig.js'

const route = (name: string, pathPrefix: string, host = 'one.example'): Route => ({
  name,
  host,
  pathPrefix,
  kind: 'idempotent',
  services: [{ name: 's', weight: 1 }],
  maxAttempts: 2,
  timeoutMs: 1000,
  targetLatencyMs: 100,
  priority: 0,
  isResumable: false,
  batchDeadlineMs: 0,
  batchRetentionMs: 0,
  isSingleVersion: false
})
const config = (version: number, ...routes: Route[]): RoutingConfig =>
  ({ version, routes, services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })

describe('RouteTable', () => {
  it('selects the longest prefix of the host, in whatever case and with whatever port the host is written', () => {
    const table = new RouteTable(testServices().logger)
    table.apply(config(1, route('short', '/a/'), route('long', '/a/b/'), route('other', '/a/b/c/', 'two.example')))
    expect(table.find('ONE.example:8080', '/a/b/c/d')?.name).toEqual('long')
    expect(table.find('one.example', '/a/x')?.name).toEqual('short')
    expect(table.find('one.example', '/a')).toEqual(undefined)
    expect(table.find('three.example', '/a/')).toEqual(undefined)
  })

  it('never goes back to an older configuration', () => {
    const table = new RouteTable(testServices().logger)
    expect(table.apply(config(5, route('new', '/a/')))).toEqual(true)
    expect(table.apply(config(4, route('old', '/a/')))).toEqual(false)
    expect(table.apply(config(5, route('same', '/a/')))).toEqual(false)
    expect(table.find('one.example', '/a/')?.name).toEqual('new')
  })
})

describe('pickService', () => {
  it('splits by weight', () => {
    const split = { ...route('r', '/'), services: [{ name: 'a', weight: 90 }, { name: 'b', weight: 10 }] }
    expect([0, 0.89, 0.91, 1].map(fraction => chooseService(split, fraction))).toEqual(['a', 'a', 'b', 'b'])
  })
})
