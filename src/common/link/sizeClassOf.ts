/** Largest body of class 0. Bodies of all slots of the largest deployment take less than half a second on the slowest link. */
const MAX_SHORT_BYTES = 2048
/** Ratio of the largest and the smallest body of the other classes. */
const CLASS_FACTOR = 4

/** Class of bodies of about this size, which wait for each other on a slow link; 0 for short ones, which never wait. */
export function sizeClassOf (bytes: number): number {
  return bytes <= MAX_SHORT_BYTES ? 0 : Math.ceil(Math.log(bytes / MAX_SHORT_BYTES) / Math.log(CLASS_FACTOR))
}
