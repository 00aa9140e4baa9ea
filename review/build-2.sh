#!/bin/sh
# Builds the stand-ins of cases 6 and up: Python without a compiled part, checked by importing.
# tests/platform/store_server.py, the project's own store, is imported by them.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=".:target/deps"
python3 -c "import review.standins2.client, review.standins2.deployment, tests.platform.store_server"
