#!/bin/sh
# Builds the stand-ins and drivers of all scripts of the review, the project's own stand-in of the store among them.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/rig
