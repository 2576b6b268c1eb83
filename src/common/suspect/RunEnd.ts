/** How the run of a call at an upstream ended. */
export type RunEnd =
  /** The upstream responded. */
  | 'responded'
  /** The upstream or the connection to it broke off. */
  | 'broken'
  /** This entry ended it without a response, and the upstream may still be running it. */
  | 'abandoned'
