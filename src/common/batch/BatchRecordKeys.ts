import type { KeyRange } from '../store/KeyRange.js'

/** Sorts after '/', so that a prefix with it in place of the '/' sorts after all keys under the prefix. */
const AFTER_SLASH = '0'
const NUMBER_DIGITS = 6

/** Keys of the records of a batch, and the key ranges that contain them. */
export class BatchRecordKeys {
  static spec (batchId: string): string {
    return `batch/${batchId}`
  }

  static end (batchId: string): string {
    return `end/${batchId}`
  }

  static items (batchId: string, index: number): string {
    return `items/${batchId}/${pad(index)}`
  }

  static progress (batchId: string, itemIndex: number, part: number): string {
    return `progress/${batchId}/${pad(itemIndex)}/${pad(part)}`
  }

  static result (batchId: string, position: number): string {
    return `result/${batchId}/${pad(position)}`
  }

  static text (batchId: string, position: number, part: number): string {
    return `text/${batchId}/${pad(position)}/${pad(part)}`
  }

  /** Id of the batch that a record with this key belongs to; undefined for other keys. */
  static batchIdOf (key: string): string | undefined {
    return key.split('/')[1]
  }

  /** Range of the spec; may also contain records of other batches. */
  static specRange (batchId: string): KeyRange {
    return rangeOf(BatchRecordKeys.spec(batchId))
  }

  /** Range of the end record; may also contain records of other batches. */
  static endRange (batchId: string): KeyRange {
    return rangeOf(BatchRecordKeys.end(batchId))
  }

  static itemsRange (batchId: string): KeyRange {
    return rangeUnder(`items/${batchId}`)
  }

  static resultsRange (batchId: string): KeyRange {
    return rangeUnder(`result/${batchId}`)
  }

  /** Range of the texts of the positions from `fromPosition` up to, but not including, `untilPosition`. */
  static textsRange (batchId: string, fromPosition: number, untilPosition: number): KeyRange {
    return { afterKey: `text/${batchId}/${pad(fromPosition)}`, untilKey: `text/${batchId}/${pad(untilPosition)}` }
  }

  /** Key after which a text is read, behind those of its records that were read before. */
  static beforeText (batchId: string, position: number, recordsRead: number): string {
    return recordsRead === 0 ? `text/${batchId}/${pad(position)}` : BatchRecordKeys.text(batchId, position, recordsRead - 1)
  }

  /** Key after those of all records of a text. */
  static afterText (batchId: string, position: number): string {
    return `text/${batchId}/${pad(position)}${AFTER_SLASH}`
  }

  /** Result position and record number of the key of a text record; undefined if it belongs to no text of the batch. */
  static parseText (batchId: string, key: string): { position: number, index: number } | undefined {
    const prefix = `text/${batchId}/`
    if (!key.startsWith(prefix)) return undefined
    const [position, index] = key.slice(prefix.length).split('/').map(Number)
    return position === undefined || index === undefined ? undefined : { position, index }
  }
}

/** Range of a record and its further pieces. No key precedes another one directly, so the range starts at a prefix. */
function rangeOf (key: string): KeyRange {
  return { afterKey: key.slice(0, -1), untilKey: key + AFTER_SLASH }
}

function rangeUnder (prefix: string): KeyRange {
  return { afterKey: `${prefix}/`, untilKey: prefix + AFTER_SLASH }
}

/** Pads numbers in keys, so that keys sort numerically. */
function pad (value: number): string {
  return String(value).padStart(NUMBER_DIGITS, '0')
}
