#!/bin/sh
# Builds the stand-ins that the scripts start; they need Python's standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q support 1 2 3 4 5
