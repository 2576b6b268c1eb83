import { readFile } from 'node:fs/promises'

const CONTRACTS_URL = new URL('../../../demo/contracts/', import.meta.url)

/** Reads the example contract (INI) of an organisation from the demo. */
export async function readExampleContract (organisation: 'lin-shun' | 'almaskert'): Promise<string> {
  return await readFile(new URL(`${organisation}.ini`, CONTRACTS_URL), 'utf8')
}
