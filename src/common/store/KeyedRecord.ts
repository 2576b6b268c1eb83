/** A record of a keyed topic; a record without a value deletes its key. */
export interface KeyedRecord {
  key: string
  value?: Uint8Array
  offset: number
}
