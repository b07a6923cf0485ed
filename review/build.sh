#!/usr/bin/env bash
# Builds the stand-in that the cases start. It needs Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOWORK=off GOTOOLCHAIN=local GOFLAGS= GOPROXY=off go build -trimpath -o ../bin/standin .
