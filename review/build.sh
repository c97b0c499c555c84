#!/bin/sh
# Builds the stand-ins: they are Python files of the standard library alone, compiled with the interpreter of
# the deploy file's build. They compile into review/standins/__pycache__, which is ignored.
cd "$(dirname "$0")/.." || exit 1
exec deploy/venv/bin/python -m compileall -q review/standins
