#!/usr/bin/env bash
# A known fault, see KNOWN-RED.txt.
cd "$(dirname "$0")/../.."
OPEN=1 "${BUILD:-build}/tests/replies_twice"
