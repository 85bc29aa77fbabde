#!/usr/bin/env bash
# Plays a fault that REPORT.md lists besides the cases: further.sh crash|move|memory|smuggle.
# It needs what the cases need, and exits as their scripts do. The record goes into
# target/review/.
cd "$(dirname "$0")/.." || exit 2
export TROUBLE="${TROUBLE-1}" RIG_ROOT="$PWD"
exec target/review/rig "${1:?which}" "target/review/$1.txt"
