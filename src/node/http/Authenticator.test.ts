import { describe, it } from 'node:test'
import { createHash } from 'node:crypto'
import { expect } from 'earl'
import { Authenticator } from './Authenticator.js'

const digest = createHash('sha256').update('token').digest('hex')
const context = (header?: string): any => ({ req: { header: () => header }, get: () => ({}) })
const createAuthenticator = (listedDigest: string): Authenticator => {
  const revision = { organisation: 'lin-shun', revision: 1, contract: { access: { token_sha256: [listedDigest] } } }
  return new Authenticator({ all: () => [revision], findByTokenDigest: () => revision } as any, { operatorsByTokenDigest: new Map([[listedDigest, 'mei']]) } as any)
}

describe('Authenticator', () => {
  it('verifies the token digest that the store found by its index', () => {
    expect(createAuthenticator(digest).authenticateOrganisation(context('Bearer token')).isOk()).toEqual(true)
    expect(createAuthenticator('a'.repeat(64)).authenticateOrganisation(context('Bearer token')).isErr()).toEqual(true)
  })

  it('accepts only the bearer scheme, in upper or lower case', () => {
    const authenticator = createAuthenticator(digest)
    expect(authenticator.authenticateOperator(context('bearer token'))._unsafeUnwrap()).toEqual('mei')
    for (const header of [undefined, '', 'token', 'Basic token', 'Bearer', 'Bearer to ken', `Bearer ${'x'.repeat(2000)}`]) {
      expect(authenticator.authenticateOperator(context(header)).isErr()).toEqual(true)
    }
  })
})
