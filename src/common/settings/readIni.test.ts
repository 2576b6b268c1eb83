import { describe, it } from 'node:test'
import { expect } from 'earl'
import { contractSchema } from '../schema/contractSchema.js'
import { readIni } from './readIni.js'

const DIGEST = 'a'.repeat(64)
const CONTRACT = `[contract]
organisation = lin-shun
operator = mei

[access]
token_sha256 = ${DIGEST}, ${'b'.repeat(64)}

[limits]
share = 3

[work.lookup]
service = order-app
kind = call
methods = GET
path = /orders
deadline_ms = 800

[trainer.brim]
service = shaping-llm
staleness_versions = 1
step_deadline_s = 120
weights_every_s = 240
`

describe('readIni', () => {
  it('reads nested sections, numbers and lists', () => {
    const contract = readIni(CONTRACT, contractSchema)._unsafeUnwrap()
    expect(contract.access.token_sha256).toEqual([DIGEST, 'b'.repeat(64)])
    expect(contract.limits.share).toEqual(3)
    expect(contract.work['lookup']?.methods).toEqual(['GET'])
    expect(contract.trainer['brim']?.staleness_versions).toEqual(1)
  })

  it('reports line, field and rule of every error', () => {
    const text = CONTRACT.replace('share = 3', 'share = many\ncolour = red').replace('deadline_ms = 800\n', '')
    const errors = readIni(text, contractSchema)._unsafeUnwrapErr()
    expect(errors.map(error => [error.line, error.field]).sort()).toEqual([
      [10, 'limits.colour'], [12, 'work.lookup.deadline_ms'], [9, 'limits.share']
    ])
  })

  it('reports missing fields and wrong types in the terms of the INI file', () => {
    const text = CONTRACT.replace('share = 3', 'share = many').replace(/\[access\]\n.*\n/, '').replace('deadline_ms = 800\n', '')
    const rules = readIni(text, contractSchema)._unsafeUnwrapErr().map(error => [error.field, error.rule])
    expect(rules).toEqual([
      ['access', 'is missing, must be a section'],
      ['limits.share', 'must be a number'],
      ['work.lookup.deadline_ms', 'is missing, must be a number']
    ])
  })

  it('rejects duplicate keys, which the INI library would silently override', () => {
    const errors = readIni(CONTRACT.replace('share = 3', 'share = 3\nshare = 4'), contractSchema)._unsafeUnwrapErr()
    expect(errors).toEqual([{ line: 10, field: 'limits.share', rule: 'key is already defined on line 9' }])
  })

  it('rejects a line that is neither a section, a key nor a comment', () => {
    const errors = readIni('[contract]\norganisation lin-shun\n', contractSchema)._unsafeUnwrapErr()
    expect(errors[0]?.line).toEqual(2)
  })
})
