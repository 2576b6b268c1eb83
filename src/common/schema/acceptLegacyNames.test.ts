import { describe, it } from 'node:test'
import { expect } from 'earl'
import { readIni } from '../settings/readIni.js'
import { claimRecordSchema } from './claimRecordSchema.js'
import { contractSchema } from './contractSchema.js'

const contractOf = (field: string): string => `[contract]
${field} = lin-shun
operator = mei
[access]
token_sha256 = ${'a'.repeat(64)}
[limits]
share = 3
`

// A log outlives the entries: a new entry that could not read older records would lose contracts and claims.
describe('acceptFormerNames', () => {
  it('reads contracts and records that still say customer', () => {
    for (const field of ['customer', 'organisation']) {
      expect(readIni(contractOf(field), contractSchema)._unsafeUnwrap().contract.organisation).toEqual('lin-shun')
      const record = { type: 'release', id: 'r', [field]: 'lin-shun', service: 's', key: 'k', claim_id: 'c' }
      expect(claimRecordSchema.parse(record)).toEqual({ type: 'release', id: 'r', organisation: 'lin-shun', service: 's', key: 'k', claim_id: 'c' })
    }
  })

  it('refuses both names in one section', () => {
    expect(readIni(contractOf('customer').replace('operator', 'organisation = almaskert\noperator'), contractSchema).isErr()).toEqual(true)
  })
})
