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
import { chatStyle } from '../completion/chatStyle.js'
import { completionSchema } from '../completion/completionSchema.js'
import type { CompletionStyle } from '../completion/CompletionStyle.js'
import type { GenerationInput } from '../completion/GenerationInput.js'
import { GenerationResponder } from '../completion/GenerationResponder.js'
import type { IRoutes } from './IRoutes.js'
import { readDeadline } from '../request/readDeadline.js'
import { readJson } from '../request/readJson.js'
import { samplingSchema } from '../completion/samplingSchema.js'
import { selectGenerationClass } from '../completion/selectGenerationClass.js'
import { sendError } from '../error/sendError.js'
import { textStyle } from '../completion/textStyle.js'

/** OpenAI-compatible generation endpoints. */
export class GenerationRoutes implements IRoutes {
  constructor (
    @authenticatorId private readonly _authenticator: Authenticator,
    @generatorId private readonly _generator: IGenerator,
    @entrySettingsId private readonly _settings: EntrySettings
  ) {}

  mount (app: Hono<AppEnv>): void {
    addRoute(app, '/v1/completions', {
      POST: async context => await this._handle(context, completionSchema, body => ({ ...toInput(body), prompt: body.prompt }), textStyle)
    })
    addRoute(app, '/v1/chat/completions', {
      POST: async context => await this._handle(context, chatCompletionSchema, toChatInput, chatStyle)
    })
  }

  private async _handle<T extends z.ZodType> (context: Context<AppEnv>, schema: T, map: (body: z.output<T>) => GenerationInput, style: CompletionStyle): Promise<Response> {
    const organisation = this._authenticator.organisation(context)
    if (organisation.isErr()) return sendError(context, organisation.error)
    const body = await readJson(context, schema)
    if (body.isErr()) return sendError(context, body.error)
    const input = map(body.value)
    const selected = selectGenerationClass(organisation.value.contract, input.service, input.maxTokens)
    if (selected.isErr()) return sendError(context, selected.error)
    const { name, workClass } = selected.value
    const deadline = readDeadline(context, Math.min(workClass.deadline_ms, this._settings.maxStreamMs))
    if (deadline.isErr()) return sendError(context, deadline.error)
    const record = context.get('record')
    record.workClass = name
    const request: GenerationRequest = {
      requestId: record.requestId,
      organisation: organisation.value.organisation,
      service: input.service,
      model: workClass.trainer === undefined ? input.service : `${organisation.value.organisation}/${workClass.trainer}`,
      workClass: name,
      size: workClass.size,
      prompt: input.prompt,
      maxTokens: input.maxTokens ?? workClass.max_tokens,
      parameters: input.parameters,
      deadlineAtMs: deadline.value,
      signal: context.req.raw.signal,
      needsOrigin: false
    }
    return await new GenerationResponder(context, style, input).respond(this._generator.generate(request))
  }
}

function toInput (body: Omit<z.output<typeof completionSchema>, 'prompt'>): Omit<GenerationInput, 'prompt'> {
  return {
    service: body.model,
    maxTokens: body.max_tokens,
    isStream: body.stream,
    includeUsage: body.stream_options?.include_usage ?? false,
    parameters: samplingSchema.parse(body)
  }
}

/** Engines take a prompt only, so the messages are written one after the other with their roles. */
function toChatInput (body: z.output<typeof chatCompletionSchema>): GenerationInput {
  const lines = body.messages.map(message => `${message.role}: ${message.content}\n`)
  return { ...toInput(body), maxTokens: body.max_completion_tokens ?? body.max_tokens, prompt: `${lines.join('')}assistant:` }
}
