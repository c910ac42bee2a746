#!/bin/sh
# Builds the stand-ins of the cases 7 to 10 into target/review-2/. They need no package
# outside the standard library, and no network.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2/bvreview .
