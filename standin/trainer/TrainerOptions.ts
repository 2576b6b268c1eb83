/** Settings of a trainer. */
export interface TrainerOptions {
  organisation: string
  trainer: string
  token: string
  /** Addresses of the rollout service, used in turn after errors. */
  addresses: string[]
  /** `ip:port` of the weight store; empty means that versions are announced only. */
  weights: string
  /** Time between two versions; 0 means that no weights are published. */
  weightsEveryMs: number
  /** Steps to run; 0 means without end. */
  steps: number
  firstStep: number
  /** Steps that are submitted before the oldest one is whole. */
  ahead: number
  groups: number
  samples: number
  maxTokens: number
  /** Prompt; `{step}` and `{group}` are replaced. */
  prompt: string
  /** Time that the training of a whole step takes. */
  trainMs: number
  waitMs: number
  maxGroupsPerRead: number
  firstCursor: number
  version: number
}
