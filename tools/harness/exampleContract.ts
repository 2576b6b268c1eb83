import { readFile } from 'node:fs/promises'

const FOLDER = new URL('../../../demo/contracts/', import.meta.url)

/** Text of an example contract of the demo, by customer. */
export async function exampleContract (customer: 'lin-shun' | 'almaskert'): Promise<string> {
  return await readFile(new URL(`${customer}.ini`, FOLDER), 'utf8')
}
