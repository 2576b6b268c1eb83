import { assignByCount } from './assignByCount.js'
import { chooseEngine } from '../../policy/chooseEngine.js'
import { rankItems } from '../../policy/rankItems.js'
import type { IClusterPolicy } from './IClusterPolicy.js'

/** The order before steps were ranked by deadline: by submission, and engines assigned by tokens. */
export const presentPolicy: IClusterPolicy = {
  order: (steps, estimator) => [...steps].sort((a, b) => a.batch.spec.submittedAtMs - b.batch.spec.submittedAtMs)
    .flatMap(step => rankItems(step.batch, estimator).map(({ state }) => ({ step, state }))),
  chooseEngine,
  assignEngines: assignByCount,
  demand: batch => batch.items.reduce((sum, { item }) => sum + (item.lengthHintTokens ?? item.tokens), 0),
  combineDemand: average => average
}
