import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      // `import type` beside a value import of the same module is the house style.
      'import-x/no-duplicates': 'off'
    }
  },
  {
    files: ['**/*.spec.ts'],
    rules: {
      // chai's property assertions are expressions.
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-unused-expressions': 'off'
    }
  }
]
