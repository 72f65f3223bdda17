#!/usr/bin/env bash
# Builds what the scripts of the review start beside the program: the project's stand-in of the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
node_modules/.bin/esbuild review/lib/store.ts --bundle --platform=node --target=node20 --format=cjs --main-fields=module,main --log-level=warning --log-override:import-is-undefined=silent --outfile=target/review/store.cjs
