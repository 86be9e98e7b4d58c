#!/bin/sh
# The stand-ins need nothing but the environment that the build of the deploy file makes; they are compiled ahead.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
