#!/bin/sh
# Builds the stand-ins that the scripts start. The gateway itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-stand ./review/stand
