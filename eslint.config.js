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
    // The runtime ends the process for a rejection without a handler.
    files: ['packages/magnoliabay/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }],
      '@typescript-eslint/no-misused-promises': 'error'
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
