#!/bin/sh
# Builds what the scripts of the second review start beside the gateway: their stand-ins are modules that run as they are, so that
# they are only checked.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.mjs; do
    node --check "$file"
done
