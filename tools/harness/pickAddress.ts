import { AddressPicker } from './AddressPicker.js'

// Test processes that run at the same time have similar pids; the multiplier keeps their port ranges apart.
const PORTS_PER_PID = 1009

const picker = new AddressPicker(process.pid * PORTS_PER_PID)

/** Picks a loopback address `127.0.0.1:<port>` whose port is free for TCP and UDP, and which `fetch` accepts. */
export async function pickAddress (): Promise<string> {
  return await picker.pick()
}
