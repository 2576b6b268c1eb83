/** Bytes per call of String.fromCharCode, because the number of arguments of a call is limited. */
const CHUNK_BYTES = 8_192

/** Encodes bytes as base64. */
export function toBase64 (bytes: Uint8Array): string {
  let text = ''
  for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
    text += String.fromCharCode(...bytes.subarray(start, start + CHUNK_BYTES))
  }
  return btoa(text)
}
