import { hash } from '../common/hash.js'
import { PREFIX_BLOCK_TOKENS } from './PREFIX_BLOCK_TOKENS.js'

/** Hashes of the prompt's prefixes of 1, 2, ... complete blocks, by which cache events identify them. */
export function prefixHashes (model: string, prompt: string): string[] {
  const words = prompt.split(/\s+/)
  const hashes: string[] = []
  let previous = model
  for (let end = PREFIX_BLOCK_TOKENS; end <= words.length; end += PREFIX_BLOCK_TOKENS) {
    previous = hash.toHex(`${previous}\n${words.slice(end - PREFIX_BLOCK_TOKENS, end).join(' ')}`)
    hashes.push(previous)
  }
  return hashes
}
