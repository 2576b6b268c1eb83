import { Disposable } from '../../kernel/Disposable.js'

/** A runner that runs no items. */
export class IdleRunner extends Disposable {
  handoffProgress (): never[] {
    return []
  }
}
