/** Decodes base64. */
export function fromBase64 (text: string): Uint8Array {
  return Uint8Array.from(atob(text), (char) => char.charCodeAt(0))
}
