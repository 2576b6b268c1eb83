import type { Context, Hono } from 'hono'
import type { z } from 'zod'
import type { IGenerator } from '../../../common/generation/IGenerator.js'
import { generatorId } from '../../../common/generation/generatorId.js'
import type { GenerationRequest } from '../../../common/generation/GenerationRequest.js'
import type { EntrySettings } from '../../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../../common/settings/entrySettingsId.js'
import { addRoute } from './addRoute.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { Authenticator } from '../Authenticator.js'
import { authenticatorId } from '../authenticatorId.js'
import { chatCompletionSchema } from '../completion/chatCompletionSchema.js'
import { chatFormat } from '../completion/chatFormat.js'
import { completionSchema } from '../completion/completionSchema.js'
import type { CompletionFormat } from '../completion/CompletionFormat.js'
import type { GenerationInput } from '../completion/GenerationInput.js'
import { GenerationResponder } from '../completion/GenerationResponder.js'
import type { IRoutes } from './IRoutes.js'
import { readDeadline } from '../request/readDeadline.js'
import { readJson } from '../request/readJson.js'
import { samplingSchema } from '../completion/samplingSchema.js'
import { selectGenerationWorkClass } from '../completion/selectGenerationWorkClass.js'
import { sendError } from '../error/sendError.js'
import { textFormat } from '../completion/textFormat.js'

/** OpenAI-compatible generation endpoints. */
export class GenerationRoutes implements IRoutes {
  constructor (
    @authenticatorId private readonly _authenticator: Authenticator,
    @generatorId private readonly _generator: IGenerator,
    @entrySettingsId private readonly _settings: EntrySettings
  ) {}

  mount (app: Hono<AppEnv>): void {
    addRoute(app, '/v1/completions', {
      POST: async context => await this._handle(context, completionSchema, body => ({ ...toCommonInput(body), prompt: body.prompt }), textFormat)
    })
    addRoute(app, '/v1/chat/completions', {
      POST: async context => await this._handle(context, chatCompletionSchema, toChatInput, chatFormat)
    })
  }

  private async _handle<T extends z.ZodType> (context: Context<AppEnv>, schema: T, toGenerationInput: (body: z.output<T>) => GenerationInput, format: CompletionFormat): Promise<Response> {
    const revision = this._authenticator.authenticateOrganisation(context)
    if (revision.isErr()) return sendError(context, revision.error)
    const body = await readJson(context, schema)
    if (body.isErr()) return sendError(context, body.error)
    const input = toGenerationInput(body.value)
    const selected = selectGenerationWorkClass(revision.value.contract, input.service, input.maxTokens)
    if (selected.isErr()) return sendError(context, selected.error)
    const { name, workClass } = selected.value
    const deadline = readDeadline(context, Math.min(workClass.deadline_ms, this._settings.maxStreamMs))
    if (deadline.isErr()) return sendError(context, deadline.error)
    const record = context.get('record')
    record.workClass = name
    const request: GenerationRequest = {
      requestId: record.requestId,
      organisation: revision.value.organisation,
      service: input.service,
      model: workClass.trainer === undefined ? input.service : `${revision.value.organisation}/${workClass.trainer}`,
      workClass: name,
      size: workClass.size,
      prompt: input.prompt,
      maxTokens: input.maxTokens ?? workClass.max_tokens,
      parameters: input.parameters,
      deadlineAtMs: deadline.value,
      signal: context.req.raw.signal,
      needsOrigin: false
    }
    return await new GenerationResponder(context, format, input).respond(this._generator.generate(request))
  }
}

function toCommonInput (body: Omit<z.output<typeof completionSchema>, 'prompt'>): Omit<GenerationInput, 'prompt'> {
  return {
    service: body.model,
    maxTokens: body.max_tokens,
    isStream: body.stream,
    includeUsage: body.stream_options?.include_usage ?? false,
    parameters: samplingSchema.parse(body)
  }
}

/** Engines accept only a single prompt, so the messages are concatenated, each with its role. */
function toChatInput (body: z.output<typeof chatCompletionSchema>): GenerationInput {
  const lines = body.messages.map(message => `${message.role}: ${message.content}\n`)
  return { ...toCommonInput(body), maxTokens: body.max_completion_tokens ?? body.max_tokens, prompt: `${lines.join('')}assistant:` }
}
