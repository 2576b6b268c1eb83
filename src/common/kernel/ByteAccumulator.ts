import { releaseBytes } from './releaseBytes.js'

/** `ArrayBuffer` of ES2024: it reserves addresses for its largest size, and uses memory only for its present one. */
interface ResizableArrayBuffer extends ArrayBuffer { resize (bytes: number): void }
type ResizableArrayBufferConstructor = new (bytes: number, options: { maxByteLength: number }) => ResizableArrayBuffer

/** Up to this size, the bytes are copied when the buffer grows; above it, the buffer grows in place, by steps of this size. */
const STEP_BYTES = 65_536
const MIN_CAPACITY_BYTES = 512

/**
 * Collects the chunks of a body in one contiguous buffer. However the body is chunked, it costs its bytes and at most
 * one step of 64 KB, also while it grows.
 */
export class ByteAccumulator {
  private _bytes: Uint8Array = new Uint8Array(0)
  private _resizable?: ResizableArrayBuffer
  private _length = 0

  /** The caller appends no more than `maxBytes` in total. */
  constructor (private readonly _maxBytes: number) {}

  get length (): number {
    return this._length
  }

  /** Memory in use. */
  get capacityBytes (): number {
    return this._resizable?.byteLength ?? this._bytes.length
  }

  append (chunk: Uint8Array): void {
    if (this._length === 0 && chunk.length > 0) {
      // Most bodies have one chunk, which needs no copy.
      this._bytes = chunk
    } else if (chunk.length > 0) {
      this._reserve(this._length + chunk.length)
      this._bytes.set(chunk, this._length)
    }
    this._length += chunk.length
  }

  /** Returns the bytes, and starts again with none. */
  take (): Uint8Array {
    const bytes = this._resizable === undefined ? this._bytes.subarray(0, this._length) : new Uint8Array(this._resizable, 0, this._length)
    this._reset()
    return bytes
  }

  /** Discards the bytes and frees their memory. */
  release (): void {
    const bytes = this._bytes
    this._reset()
    releaseBytes(bytes)
  }

  private _reset (): void {
    this._bytes = new Uint8Array(0)
    this._resizable = undefined
    this._length = 0
  }

  private _reserve (bytes: number): void {
    if (this._resizable !== undefined) {
      if (bytes > this._resizable.byteLength) this._resizable.resize(this._toStep(bytes))
      return
    }
    if (bytes <= this._bytes.length) return
    const old = this._bytes.subarray(0, this._length)
    if (bytes > STEP_BYTES) {
      this._resizable = new (ArrayBuffer as unknown as ResizableArrayBufferConstructor)(this._toStep(bytes), { maxByteLength: Math.max(this._maxBytes, bytes) })
      // Without a length, the view follows the size of the buffer.
      this._bytes = new Uint8Array(this._resizable)
    } else {
      this._bytes = new Uint8Array(Math.min(STEP_BYTES, Math.max(MIN_CAPACITY_BYTES, 2 * bytes)))
    }
    this._bytes.set(old)
  }

  private _toStep (bytes: number): number {
    return Math.min(Math.max(this._maxBytes, bytes), Math.ceil(bytes / STEP_BYTES) * STEP_BYTES)
  }
}
