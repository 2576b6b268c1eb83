import { readFileSync, watchFile } from 'node:fs'

// Loaded into an entry with `--import`: shifts its wall clock by the milliseconds that the file contains,
// like a step of the host's clock. The monotonic clock is unaffected, as in a real step.
const POLL_MS = 100
const offsetFile = process.env['HYSSOPVALVE_CLOCK_FILE'] ?? ''
const RealDate = Date
let offsetMs = 0

function readOffset (): void {
  try {
    offsetMs = Number(readFileSync(offsetFile, 'utf8')) || 0
  } catch {
    // The file does not exist before the first step.
    offsetMs = 0
  }
}

class SteppedDate extends RealDate {
  constructor (...args: [] | [string | number | Date]) {
    super(args.length === 0 ? SteppedDate.now() : args[0])
  }

  static override now (): number {
    return RealDate.now() + offsetMs
  }
}

readOffset()
watchFile(offsetFile, { interval: POLL_MS, persistent: false }, readOffset)
globalThis.Date = SteppedDate as DateConstructor
