/** Versions of the models on an engine: the ones it says it has and the ones it really runs. */
export class ModelTable {
  private readonly _claimed = new Map<string, number>()
  private readonly _actual = new Map<string, number>()

  constructor (private readonly _baseModel: string) {
    this.load(_baseModel, 0, true)
  }

  /** The base model and every trainer's model, which starts as version 0 on the base weights. */
  knows (model: string): boolean {
    return model === this._baseModel || model.includes('/')
  }

  /** Version that produces the model's next token. */
  version (model: string): number {
    return this._actual.get(model) ?? 0
  }

  /** With `isReal` false the engine only says that it loaded the version. */
  load (model: string, version: number, isReal: boolean): void {
    this._claimed.set(model, version)
    if (isReal) this._actual.set(model, version)
  }

  claimed (): Record<string, number> {
    return Object.fromEntries(this._claimed)
  }
}
