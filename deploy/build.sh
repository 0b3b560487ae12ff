#!/bin/sh
# Installs the entry's dependencies and copies its packages to target/deps.
set -eu
stamp=target/deps/.installed
# Compiled dependencies serve one interpreter on one kind of machine.
wanted="$(python3 -c 'import platform, sys; print(sys.implementation.cache_tag, platform.machine())') $(cat deploy/requirements.txt constraints.txt | cksum)"
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf target/deps
    python3 -m pip install -q -U --target target/deps -c constraints.txt -r deploy/requirements.txt
    printf '%s\n' "$wanted" >"$stamp"
fi
for package in packages/core/persimmonstall packages/daemon/persimmonstall_daemon platform/persimmonstall_platform; do
    rm -rf "target/deps/$(basename "$package")"
    cp -r "$package" target/deps/
done
python3 -m compileall -q target/deps
