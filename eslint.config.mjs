// The Airbnb style guide with TypeScript; each rule set here says where the house style differs.
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['dist/', 'target/', 'node_modules/', 'src/peer/generated/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // The house style asks for `for of` loops with early exits, written straight down.
      'no-restricted-syntax': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // Modules name their public face; a default export has no name of its own.
      'import-x/prefer-default-export': 'off',
      // TypeScript resolves these itself, with the .js endings that Node needs.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      // Named functions may be read before the helpers that they call.
      '@typescript-eslint/no-use-before-define': 'off',
      'no-use-before-define': 'off',
      // Settings and reports keep the names that operators write in INI and JSON.
      camelcase: 'off',
      '@typescript-eslint/naming-convention': 'off',
      'no-underscore-dangle': 'off',
      // Parameter properties keep a class short.
      'no-useless-constructor': 'off',
      'no-empty-function': 'off',
      '@typescript-eslint/no-useless-constructor': 'off',
      'max-classes-per-file': 'off',
      'class-methods-use-this': 'off',
      // Counters and other entities are changed through the parameter that names them.
      'no-param-reassign': ['error', { props: false }],
      'no-plusplus': 'error',
      'consistent-return': 'off',
      'default-case': 'off',
    },
  },
  // Within the gateway what concerns targets knows nothing of requests, and neither knows the daemon that is made of them.
  ...[
    ['targets', ['requests', 'fleet']],
    ['requests', ['fleet']],
    ['fleet', ['requests', 'targets']],
  ].map(([room, others]) => ({
    files: [`src/gateway/${room}/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            ...others.map((other) => `../${other}/*`),
            ...['../gateway.js', '../status.js', '../directory.js', '../index.js'],
          ],
        },
      ],
    },
  })),
  {
    files: ['test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-unused-expressions': 'off',
      'n/no-sync': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Tables of cases share the fixtures of their `describe`.
      '@typescript-eslint/no-loop-func': 'off',
    },
  },
  {
    files: ['scripts/**', '*.mjs', 'src/bin/**', 'src/cli/**', 'src/demo/**', 'src/tool/**'],
    rules: {
      'no-console': 'off',
      'n/no-process-exit': 'off',
      // The published programs are the compiled ones, so the rule looks in the wrong place.
      'n/hashbang': 'off',
      'n/no-sync': 'off',
      'n/prefer-promises/fs': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['**/*.mjs'],
    rules: { 'n/no-sync': 'off', 'import-x/no-extraneous-dependencies': 'off' },
  },
];
