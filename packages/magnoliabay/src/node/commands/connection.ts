/** Options by which the operators' commands find an instance and their key: flags, else the environment, else a file. */
import { readFile } from 'node:fs/promises'
import * as v from 'valibot'
import { formatProblem, parseConfig } from '../config'
import { createOperatorClient } from '../operators/client'
import type { OperatorClient } from '../operators/client'
import { UsageError } from './types'
import type { CommandContext, OptionDescription } from './types'

export const CONNECTION_OPTIONS: Readonly<Record<string, OptionDescription>> = {
  instance: { type: 'string', value: 'IP:PORT', description: "Operators' address of an instance, or several separated by commas. Else MAGNOLIABAY_INSTANCE." },
  'operator-key': { type: 'string', value: 'KEY', description: 'Your operator key. Else MAGNOLIABAY_OPERATOR_KEY.' },
  ca: { type: 'string', value: 'FILE', description: 'Certificate authority of the instances, PEM; calls then use TLS.' },
  client: { type: 'string', value: 'FILE', description: 'TOML with instances, operatorKey and ca. Else MAGNOLIABAY_CLIENT.' }
}

export const JSON_OPTION: Readonly<Record<string, OptionDescription>> = {
  json: { type: 'boolean', description: 'Print JSON.' }
}

export const clientSchema = v.strictObject({
  /** Operators' addresses of instances; the next one is tried if one is unreachable. @default [] */
  instances: v.optional(v.array(v.string()), []),
  /** Your operator key. */
  operatorKey: v.optional(v.string()),
  /** File with the certificate authority of the instances, PEM. */
  ca: v.optional(v.string())
})

type ClientSettings = v.InferOutput<typeof clientSchema>

export async function connect ({ values, env }: Pick<CommandContext, 'values' | 'env'>): Promise<OperatorClient> {
  const fromFile = await readClientFile(textOf(values.client) ?? env.MAGNOLIABAY_CLIENT)
  const instances = textOf(values.instance) ?? env.MAGNOLIABAY_INSTANCE
  const addresses = instances === undefined ? fromFile.instances : instances.split(',')
  const key = textOf(values['operator-key']) ?? env.MAGNOLIABAY_OPERATOR_KEY ?? fromFile.operatorKey
  const caFile = textOf(values.ca) ?? fromFile.ca
  if (addresses.length === 0) throw new UsageError('Name an instance: --instance IP:PORT, or MAGNOLIABAY_INSTANCE.')
  if (key === undefined) throw new UsageError('Give your operator key: --operator-key KEY, or MAGNOLIABAY_OPERATOR_KEY.')
  const ca = caFile === undefined ? undefined : await readFile(caFile, 'utf8')
  return createOperatorClient({ address: addresses, key, ca })
}

async function readClientFile (file: string | undefined): Promise<ClientSettings> {
  if (file === undefined) return { instances: [] }
  const parsed = parseConfig(file, await readFile(file, 'utf8'), clientSchema)
  if (parsed.err) throw new UsageError(parsed.val.problems.map(formatProblem).join('\n'))
  return parsed.val
}

function textOf (value: string | boolean | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined
}
