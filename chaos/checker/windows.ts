/** Allowances of the rules, in milliseconds. */
export const windows = {
  /** Membership lag, list poll and gossip add up to below 2 s; the design grants a few seconds. */
  leavingMs: 5000,
  /** A published contract passes the log and one long-poll read; the target is 19 s. */
  contractMs: 10_000,
  /** An entry answers at the deadline; the rest is scheduling of a busy machine. */
  hangMarginMs: 10_000,
  /** Clock readings before and after an action are taken in different processes of one machine. */
  clockMs: 50
}
