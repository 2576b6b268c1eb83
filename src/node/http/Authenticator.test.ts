import { describe, it } from 'node:test'
import { createHash } from 'node:crypto'
import { expect } from 'earl'
import { Authenticator } from './Authenticator.js'

const digest = createHash('sha256').update('token').digest('hex')
const context = (header?: string): any => ({ req: { header: () => header }, get: () => ({}) })
const authenticatorFor = (listed: string): Authenticator => {
  const revision = { organisation: 'lin-shun', revision: 1, contract: { access: { token_sha256: [listed] } } }
  return new Authenticator({ all: () => [revision], findByTokenDigest: () => revision } as any, { operatorsByTokenDigest: new Map([[listed, 'mei']]) } as any)
}

describe('Authenticator', () => {
  it('does not rely on the index of the store alone', () => {
    expect(authenticatorFor(digest).organisation(context('Bearer token')).isOk()).toEqual(true)
    expect(authenticatorFor('a'.repeat(64)).organisation(context('Bearer token')).isErr()).toEqual(true)
  })

  it('accepts the bearer scheme in any case, and nothing else', () => {
    const authenticator = authenticatorFor(digest)
    expect(authenticator.operator(context('bearer token'))._unsafeUnwrap()).toEqual('mei')
    for (const header of [undefined, '', 'token', 'Basic token', 'Bearer', 'Bearer to ken', `Bearer ${'x'.repeat(2000)}`]) {
      expect(authenticator.operator(context(header)).isErr()).toEqual(true)
    }
  })
})
