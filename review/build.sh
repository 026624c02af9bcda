#!/bin/bash
# Builds the driver of the review's scripts, with the stand-ins that it contains, into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin ./review/_standin
