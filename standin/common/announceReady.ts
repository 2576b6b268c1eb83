/** Prints the line that tells the harness that the stand-in is listening, and makes the process exit on SIGTERM. */
export function announceReady (address: string): void {
  process.once('SIGTERM', () => process.exit(0))
  console.log(`ready ${address}`)
}
