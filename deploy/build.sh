#!/usr/bin/env bash
# Build the daemon and its libraries into target/deps, or fail.
set -euo pipefail
cd "$(dirname "$0")/.."
libraries=target/deps
stamp=target/deps.stamp
# Wheels of another processor or Python cannot be imported.
inputs=$({
    cat requirements.txt
    python3 -c 'import platform, sys; print(platform.machine(), sys.version)'
} | sha256sum)

# The stamp is written last, so that an interrupted build is not reused.
install_libraries() {
    rm -rf "$stamp" "$libraries" "$libraries.new"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$libraries.new" --requirement requirements.txt
    mv "$libraries.new" "$libraries"
    echo "$inputs" >"$stamp"
}

copy_daemon() {
    rm -rf "$libraries/eelgrassweir"
    cp -r src/eelgrassweir "$libraries/eelgrassweir"
}

can_start() {
    PYTHONPATH="$libraries" python3 -c 'import eelgrassweir.mesh.main'
}

if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$inputs" ]; then
    install_libraries
fi
copy_daemon
# Files of the libraries may be missing although the stamp is there.
if ! can_start 2>/dev/null; then
    install_libraries
    copy_daemon
    can_start
fi
