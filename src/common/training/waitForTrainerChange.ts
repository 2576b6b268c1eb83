import type { IStepTable } from './step/IStepTable.js'

/** Waits for a change of the trainer's state, at most `timeoutMs` and until the signal aborts. */
export async function waitForTrainerChange (table: IStepTable, organisation: string, trainer: string, timeoutMs: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer)
      subscription.dispose()
      signal.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, timeoutMs)
    const subscription = table.onChange((change) => {
      if (change.organisation === organisation && change.trainer === trainer) finish()
    })
    signal.addEventListener('abort', finish, { once: true })
  })
}
