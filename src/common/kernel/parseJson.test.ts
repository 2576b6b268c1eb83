import { describe, it } from 'node:test'
import { expect } from 'earl'
import { parseJson } from './parseJson.js'

describe('parseJson', () => {
  // Guards against a damaged record or response ending a reader with an exception.
  it('returns undefined for malformed, empty and missing content', () => {
    const encoder = new TextEncoder()
    expect(parseJson(encoder.encode('{"a":[1]}'))).toEqual({ a: [1] })
    for (const text of ['', '{', '\uFFFD', 'undefined']) expect(parseJson(encoder.encode(text))).toEqual(undefined)
    expect(parseJson(new Uint8Array([0xff, 0xfe]))).toEqual(undefined)
    expect(parseJson(undefined)).toEqual(undefined)
  })
})
