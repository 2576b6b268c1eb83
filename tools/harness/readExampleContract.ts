import { readFile } from 'node:fs/promises'

const FOLDER = new URL('../../../demo/contracts/', import.meta.url)

/** Text of an example contract of the demo, by organisation. */
export async function readExampleContract (organisation: 'lin-shun' | 'almaskert'): Promise<string> {
  return await readFile(new URL(`${organisation}.ini`, FOLDER), 'utf8')
}
