#!/bin/sh
# Builds the stand-ins of the second independent review. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/stand2 ./review/stand2
