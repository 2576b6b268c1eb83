/** Reads the whole body of a message; rejects if it breaks off. */
export async function readBody (message) {
  const chunks = []
  for await (const chunk of message) chunks.push(chunk)
  return Buffer.concat(chunks)
}
