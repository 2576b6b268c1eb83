import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { CallerAuthenticator } from './CallerAuthenticator.js'

const KEY = 'secret-key-1'
const UNKNOWN_KEY = 'secret-key-2'

describe('CallerAuthenticator', () => {
  let time: VirtualTime
  let organisations: { isConfigured: boolean, isEnabled: boolean, find: (apiKey: string) => { name: string, keyDigests: [] } | undefined }
  let isFresh: boolean
  let lines: string[]
  let counts: string[]
  let authenticator: CallerAuthenticator

  beforeEach(() => {
    time = new VirtualTime()
    organisations = { isConfigured: true, isEnabled: true, find: apiKey => apiKey === KEY ? { name: 'huka', keyDigests: [] } : undefined }
    isFresh = true
    lines = []
    counts = []
    const log = (fields: Record<string, unknown>, event: string): void => { lines.push(`${event} ${JSON.stringify(fields)}`) }
    authenticator = new CallerAuthenticator(organisations, { isFresh: () => isFresh }, { info: log, warn: log, error: log, debug: log }, {
      count: (name, labels) => counts.push(`${name} ${JSON.stringify(labels)}`),
      gauge () {},
      duration () {}
    })
  })
  afterEach(() => time.restore())

  /** Name of the organisation, '' without one, or the error. */
  const outcome = (apiKey: string | undefined, isPublic = false): string =>
    authenticator.authenticate(apiKey, isPublic, 'orders').match(organisation => organisation?.name ?? '', error => error)

  it('accepts a known key and rejects unknown, empty and missing ones', () => {
    expect([KEY, UNKNOWN_KEY, '', undefined].map(key => outcome(key))).toEqual(['huka', 'unknown_key', 'unknown_key', 'unknown_key'])
  })

  it('needs no key on public routes, and gives their callers no organisation', () => {
    expect([KEY, UNKNOWN_KEY, undefined].map(key => outcome(key, true))).toEqual(['', '', ''])
  })

  it('needs no key, and no fresh configuration, where no organisations are configured', () => {
    organisations.isEnabled = false
    isFresh = false
    expect([KEY, UNKNOWN_KEY, undefined].map(key => outcome(key))).toEqual(['', '', ''])
  })

  // Guards against 401 for a key that was added in a configuration that this process has not read.
  it('rejects all keys alike while the configuration is stale, but serves public routes', () => {
    isFresh = false
    expect([KEY, UNKNOWN_KEY, undefined].map(key => outcome(key))).toEqual(Array(3).fill('config_stale'))
    expect(outcome(undefined, true)).toEqual('')
  })

  // Guards against access for all at a process that has just started.
  it('rejects everything without a configuration, and never because of the key', () => {
    organisations.isConfigured = false
    organisations.isEnabled = false
    expect([outcome(KEY), outcome(undefined), outcome(undefined, true)]).toEqual(Array(3).fill('config_stale'))
  })

  it('counts each rejection by route and reason, and logs them without the key', async () => {
    for (const key of [UNKNOWN_KEY, undefined, KEY]) outcome(key)
    isFresh = false
    outcome(KEY)
    expect(counts).toEqual(['unknown_key', 'key_missing', 'config_stale'].map(reason => `keys_refused ${JSON.stringify({ route: 'orders', reason })}`))
    expect(lines.length).toEqual(3)
    expect([...lines, ...counts].filter(line => line.includes('secret'))).toEqual([])
  })

  // Guards against callers without a key who fill the log, so that other warnings are dropped.
  it('logs at most one line per second for a route and reason, with the number of rejections', async () => {
    for (let count = 0; count < 500; count++) outcome(UNKNOWN_KEY)
    await time.advance(1000)
    outcome(UNKNOWN_KEY)
    expect(lines).toEqual([1, 500].map(refused => `key_refused ${JSON.stringify({ route: 'orders', reason: 'unknown_key', refused })}`))
    expect(counts.length).toEqual(501)
  })
})
