#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python of the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins.py */case.py
