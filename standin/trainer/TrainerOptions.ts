/** Settings of a trainer. */
export interface TrainerOptions {
  organisation: string
  trainer: string
  token: string
  /** Addresses of the rollout service; after an error the next one is used, in rotation. */
  addresses: string[]
  /** `ip:port` of the weight store; if empty, versions are announced without storing weights. */
  weights: string
  /** Interval between published versions; 0 means that no new versions are published. */
  weightsEveryMs: number
  /** Number of steps to run; 0 means no limit. */
  steps: number
  firstStep: number
  /** Number of steps submitted in advance while the oldest step is incomplete. */
  ahead: number
  groups: number
  samples: number
  maxTokens: number
  /** Prompt template; `{step}` and `{group}` are replaced by the indexes of step and group. */
  prompt: string
  /** Time that training takes for each completed step. */
  trainMs: number
  waitMs: number
  maxGroupsPerRead: number
  firstCursor: number
  version: number
}
