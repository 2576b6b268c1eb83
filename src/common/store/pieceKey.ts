/** Key of a further piece of a record; sorts after the key of the record and before that of the next one. */
export function pieceKey (key: string, index: number): string {
  return `${key}/${String(index).padStart(6, '0')}`
}
