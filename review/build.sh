#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
GOWORK=off go build -C review/rig -o ../../target/review/rig .
