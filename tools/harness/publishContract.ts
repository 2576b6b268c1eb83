import { contractSchema } from '../../src/common/schema/contractSchema.js'
import { readIni } from '../../src/common/settings/readIni.js'
import { fetchJson } from './fetchJson.js'
import { bearerTokens } from './bearerTokens.js'
import { waitUntil } from './waitUntil.js'

/** Publishes a contract through an entry's admin API on top of the revision in force there. */
export async function publishContract (address: string, text: string, token = bearerTokens.operators.mei): Promise<any> {
  const contract = readIni(text, contractSchema)
  if (contract.isErr()) throw new Error(`invalid contract: ${JSON.stringify(contract.error)}`)
  const path = `/admin/v1/contracts/${contract.value.contract.organisation}`
  return await waitUntil(`publish ${path}`, async () => {
    const current = await fetchJson('GET', address, path, undefined, token).catch(() => undefined)
    const baseRevision: number = current?.revision ?? 0
    return await fetchJson('POST', address, path, { base_revision: baseRevision, text }, token)
  })
}
