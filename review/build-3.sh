#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. It needs no network: the module has no requirements.
set -e
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-3 .
