import { hash } from '../common/hash.js'
import { TOKEN_IDS_PER_VERSION } from './TOKEN_IDS_PER_VERSION.js'

const FIXED_LENGTH = /\blen=(\d+)\b/
const PARETO_LENGTH = /\blen=pareto:(\d+)\b/
// Shape at which about 1 of 16 generations runs 10 times longer than the shortest.
const PARETO_SHAPE = 1.2
const HASH_RANGE = 2 ** 32

/** Deterministic token generator: each token depends only on prompt, model, seed, version and index. */
export class TokenSource {
  private readonly _key: string

  constructor (private readonly _prompt: string, model: string, seed: number) {
    this._key = `${hash.toHex(_prompt)}/${model}/${seed}`
  }

  /** Token id at an index of the output if the given version generates it. */
  tokenAt (version: number, index: number): number {
    return version * TOKEN_IDS_PER_VERSION + hash.toUint32(`${this._key}/${index}`) % TOKEN_IDS_PER_VERSION
  }

  /**
   * Length of the complete output, at most `maxTokens`: N (which may be 0) for `len=N` in the prompt, drawn from a
   * Pareto distribution with minimum N for `len=pareto:N`, and `maxTokens` otherwise.
   */
  outputTokens (maxTokens: number): number {
    const fixed = FIXED_LENGTH.exec(this._prompt)?.[1]
    if (fixed !== undefined) return Math.min(maxTokens, Number(fixed))
    const minimum = PARETO_LENGTH.exec(this._prompt)?.[1]
    if (minimum === undefined) return maxTokens
    const uniform = (hash.toUint32(`${this._key}/length`) + 1) / (HASH_RANGE + 1)
    const length = Math.ceil(Number(minimum) * uniform ** (-1 / PARETO_SHAPE))
    return Math.min(maxTokens, Math.max(1, length))
  }
}
