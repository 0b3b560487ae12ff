#!/bin/sh
# Runs the case of review 3 in folder $1: exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run.
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:target/review-3:review python3 "review/$1/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
