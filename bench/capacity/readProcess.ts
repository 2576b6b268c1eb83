import { readFile } from 'node:fs/promises'

const MS_PER_CLOCK_TICK = 10
const KB_PER_MB = 1024

/** Reads the CPU time used so far (user and system) and the resident memory of a process from /proc. */
export async function readProcess (pid: number): Promise<{ cpuMs: number, residentMb: number }> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The process name in parentheses may contain spaces; utime and stime are the 12th and 13th field after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  const residentKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1])
  return { cpuMs: (Number(fields[11]) + Number(fields[12])) * MS_PER_CLOCK_TICK, residentMb: residentKb / KB_PER_MB }
}
