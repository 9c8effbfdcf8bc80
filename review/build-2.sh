#!/bin/sh
# Builds the stand-in of the second review's scripts. Run it after the build of deploy/system.toml, in any folder.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/testdata/standin2
