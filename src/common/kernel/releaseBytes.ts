import { isReleasable } from './isReleasable.js'

/** A buffer that grew in place, see `ByteAccumulator`. */
interface ResizableBuffer { resize (bytes: number): void }

/**
 * Frees the memory of a large body that nobody reads any more. Without this, bodies of tens of megabytes stay resident
 * until a garbage collection, and a few of them exceed the memory of a small host. Has no effect on other buffers.
 */
export function releaseBytes (bytes: Uint8Array): void {
  if (isReleasable(bytes)) (bytes.buffer as unknown as ResizableBuffer).resize(0)
}
