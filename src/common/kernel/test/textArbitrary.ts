import fc from 'fast-check'

/** Characters that a decoder or a trim may drop, replace or split: byte order marks, white space, controls, long encodings. */
const FRAGILE_CHARACTERS = ['\ufeff', '\ufffd', '\u2028', '\u00a0', '\u0085', '\0', ' ', '\t', '\v', 'a', ':', 'é', '€', '😀']

/** Text of one line with characters of any length in UTF-8. */
export const textArbitrary = fc.oneof(
  fc.array(fc.constantFrom(...FRAGILE_CHARACTERS), { maxLength: 12 }).map(characters => characters.join('')),
  fc.string({ unit: 'binary', maxLength: 12 }).map(text => text.replace(/[\r\n]/g, ''))
)
