/** Time tolerances of the rules, in milliseconds. */
export const tolerances = {
  /** Time for a leaving mark to reach all entries. Membership lag, list poll and gossip add up to less than 2 s; the design allows a few seconds. */
  leavingPropagationMs: 5000,
  /** Time for a published contract to come into force. It passes the log and one long-poll read; the target is 19 s. */
  contractPropagationMs: 10_000,
  /** Time after the deadline until a call counts as hanging. An entry responds at the deadline; the margin covers scheduling delays of a busy host. */
  hangMarginMs: 10_000,
  /** Difference between clock readings before and after an action, which are taken in different processes of one host. */
  clockSkewMs: 50
}
