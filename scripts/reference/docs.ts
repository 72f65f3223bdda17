/** Reads doc comments of schemas, keyed by the path of the documented field. */
import { readFileSync } from 'node:fs'
import ts from 'typescript'

export type FieldDocs = ReadonlyMap<string, string>

/** Reads the doc comments of the schema that `file` declares under the name `schema`. */
export function readFieldDocs (file: string, schema: string): FieldDocs {
  const source = ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true)
  const declared = new Map<string, ts.Expression>()
  source.forEachChild(function visit (node) {
    if (ts.isVariableDeclaration(node) && node.initializer !== undefined) declared.set(node.name.getText(), node.initializer)
    node.forEachChild(visit)
  })
  const docs = new Map<string, string>()

  const walk = (node: ts.Node | undefined, path: string): void => {
    if (node === undefined) return
    if (ts.isIdentifier(node)) return walk(declared.get(node.text), path)
    if (ts.isCallExpression(node)) return node.arguments.forEach(argument => walk(argument, path))
    if (ts.isObjectLiteralExpression(node)) return node.properties.forEach(property => walkProperty(property, path))
    if (ts.isSpreadAssignment(node) || ts.isPropertyAccessExpression(node)) walk(node.expression, path)
  }
  const walkProperty = (property: ts.ObjectLiteralElementLike, path: string): void => {
    if (ts.isSpreadAssignment(property)) return walk(property.expression, path)
    const name = property.name?.getText() ?? ''
    const fullPath = path === '' ? name : `${path}.${name}`
    const text = ts.getJSDocCommentsAndTags(property).map(doc => ts.isJSDoc(doc) ? ts.getTextOfJSDocComment(doc.comment) ?? '' : '').join(' ').trim()
    if (text !== '') docs.set(fullPath, text)
    if (ts.isPropertyAssignment(property)) walk(property.initializer, fullPath)
  }
  walk(declared.get(schema), '')
  return docs
}
