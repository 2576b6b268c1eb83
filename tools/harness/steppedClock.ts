import { readFileSync, watchFile } from 'node:fs'

// Loaded into an entry with `--import`: moves its time of day by the milliseconds that the file states,
// as a step of the host's clock does. The monotonic clock stays, as it does there.
const POLL_MS = 100
const file = process.env['HYSSOPVALVE_CLOCK_FILE'] ?? ''
const RealDate = Date
let offsetMs = 0

function readOffset (): void {
  try {
    offsetMs = Number(readFileSync(file, 'utf8')) || 0
  } catch {
    // The file appears with the first step.
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
watchFile(file, { interval: POLL_MS, persistent: false }, readOffset)
globalThis.Date = SteppedDate as DateConstructor
