import { before, describe, it } from 'node:test'
import { expect } from 'earl'
import { XxHash } from '../hash/XxHash.js'
import { fingerprintCall } from './fingerprintCall.js'

describe('fingerprintCall', () => {
  const call = { method: 'POST', path: '/a', headers: { host: 'h', 'request-id': '1' }, body: Buffer.from('body') }
  let hasher: XxHash

  before(async () => { hasher = await XxHash.create() })

  // Guards against fingerprints that miss the sendings of one request because their ids or deadlines differ.
  it('is the same for each sending of a request', () => {
    const again = { ...call, headers: { 'deadline-ms': '80', 'request-id': '2', host: 'h' }, body: Buffer.from('body') }
    expect(fingerprintCall(hasher, again)).toEqual(fingerprintCall(hasher, call))
  })

  it('differs between methods, hosts, paths and bodies', () => {
    const others = [{ ...call, method: 'PUT' }, { ...call, path: '/b' }, { ...call, headers: { host: 'i' } }, { ...call, body: Buffer.from('bodY') }, { ...call, body: new Uint8Array() }]
    const fingerprints = [call, ...others].map(item => fingerprintCall(hasher, item))
    expect(new Set(fingerprints).size).toEqual(fingerprints.length)
    expect(fingerprints.every(fingerprint => /^[0-9a-f]{16}$/.test(fingerprint))).toEqual(true)
  })
})
