#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review: target/rig2. It needs the Go toolchain
# alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/rig2 .
