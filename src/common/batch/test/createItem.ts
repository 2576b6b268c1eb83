import type { BatchItem } from '../record/BatchItem.js'

/** Creates an item of a group, with an optional length hint. */
export function createItem (id: string, group: string, lengthHintTokens?: number): BatchItem {
  const item = { id, group, path: `/batches/${id}`, headers: {}, bodyBase64: '', promptTokens: 10, tokens: 100 }
  return lengthHintTokens === undefined ? item : { ...item, lengthHintTokens }
}
