/** Prints the line by which the harness learns that a stand-in listens, and makes SIGTERM end it. */
export function announceReady (address: string): void {
  process.once('SIGTERM', () => process.exit(0))
  console.log(`ready ${address}`)
}
