#!/usr/bin/env bash
# Builds the stand-ins of the cases from 7 on, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig2
