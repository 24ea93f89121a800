#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain modules of Node.js without dependencies, so they are only checked for syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/case.mjs; do
    node --check "$file"
done
