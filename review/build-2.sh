#!/bin/bash
# Builds the stand-ins of the scripts 4 and 5. The node itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -tags review -c -o review/bin/standin-2 ./review/standin-2
