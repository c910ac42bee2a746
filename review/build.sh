#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs Go and the standard library
# only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOTOOLCHAIN=local go build -o ../bin/stand .
