/** Versions of the models on an engine, both as it reports them and as it actually runs them. */
export class ModelVersions {
  private readonly _reported = new Map<string, number>()
  private readonly _actual = new Map<string, number>()

  constructor (private readonly _baseModel: string) {
    this.setVersion(_baseModel, 0, true)
  }

  /** True for the base model and every trainer's model, which starts as version 0 on the base weights. */
  isServed (model: string): boolean {
    return model === this._baseModel || model.includes('/')
  }

  /** Version that generates the model's next token. */
  actualVersion (model: string): number {
    return this._actual.get(model) ?? 0
  }

  /** If `isApplied` is false, the version is only reported and the previous one stays in use. */
  setVersion (model: string, version: number, isApplied: boolean): void {
    this._reported.set(model, version)
    if (isApplied) this._actual.set(model, version)
  }

  reportedVersions (): Record<string, number> {
    return Object.fromEntries(this._reported)
  }
}
