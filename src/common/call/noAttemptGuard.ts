import type { IAttemptGuard } from './IAttemptGuard.js'

/** Guard of calls whose content is known to be sound. */
export const noAttemptGuard: IAttemptGuard = {
  mayStart: () => true,
  onEnded: () => {}
}
