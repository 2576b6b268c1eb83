import type { IStepTable } from './step/IStepTable.js'

/** Resolves when the trainer's state changes, after `timeoutMs`, or when the signal aborts. */
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
