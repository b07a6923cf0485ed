#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases review/6 to review/10, after the build of the deploy file. It needs no network: the
# module in standin-2 has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin
CGO_ENABLED=0 GOWORK=off GOTOOLCHAIN=local GOFLAGS= GOPROXY=off go build -trimpath -o ../../bin/review-2 .
