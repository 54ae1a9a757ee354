#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/rig2 ./review/rig2
