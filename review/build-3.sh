#!/bin/sh
# Builds what the scripts of review 3 start beside the entry: stand-ins of this project and of the
# review.  They need no more than the libraries of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
for package in packages/standins/persimmonstall_standins platform/persimmonstall_platform_standins; do
    rm -rf "target/review-3/$(basename "$package")"
    cp -r "$package" target/review-3/
done
python3 -m compileall -q target/review-3
