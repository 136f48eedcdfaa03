#!/bin/sh
# Builds what the scripts of the cases from 6 on start, beside the build of the deploy file: the
# stand-ins are Python files of their folders, which need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q $(ls -d review/[6-9] review/10 2>/dev/null)
