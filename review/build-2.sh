#!/bin/sh
# Sets up what the scripts of review/6 to review/10 start beside the deploy file's build: the daemon
# (`gingervane serve`) and the project's own fake servers, in the environment .venv at the root, and the
# stand-ins of review/standins, which need nothing but the deploy file's environment.
# Needs the package registry; the scripts do not.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
test -x .venv/bin/gingervane || .venv/bin/pip -q install -e .
.venv/bin/python -c "import gingervane.daemon.app, gingervane.fake_servers.vectors, gingervane.fake_servers.fleet"
.venv/bin/python -m compileall -q review/standins review/rig2
