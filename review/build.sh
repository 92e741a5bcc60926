#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. The cases also need target/gradetiller-node, which the
# build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
