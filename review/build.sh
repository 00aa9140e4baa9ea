#!/bin/sh
# The stand-ins need Python 3.11 and its standard library alone; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins [1-5]
