#!/bin/bash
. "$(dirname "$0")/../lib-2.sh"
run_case TestStageOrder
