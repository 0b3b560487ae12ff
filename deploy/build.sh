#!/bin/sh
# Installs the entry's dependencies and copies its packages to target/deps.
set -eu
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ]; then
    python3 -m pip install -q -U --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
for package in packages/core/persimmonstall packages/daemon/persimmonstall_daemon platform/persimmonstall_platform; do
    rm -rf "target/deps/$(basename "$package")"
    cp -r "$package" target/deps/
done
python3 -m compileall -q target/deps
